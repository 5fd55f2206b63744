#include "LibMembership/Membership.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

std::vector<ListedInstance>
ListOf(int aCount)
{
  std::vector<ListedInstance> list;
  for (int number = 1; number <= aCount; ++number) {
    list.push_back({ "i" + std::to_string(number), "127.0.0.1:7000", "a", false });
  }
  return list;
}

class MembershipOfFour : public testing::Test
{
protected:
  MembershipOfFour()
    : members_("i1#a", "a", MembershipTiming{})
  {
    members_.OnList(now_, ListOf(4));
    for (const auto* id : { "i2#a", "i3#a", "i4#a" }) {
      members_.OnContact(now_, id, "b", false);
    }
  }

  // Advances the clock by aSpan, with heartbeats from the named instances, and returns the changes
  // of suspicion.
  std::vector<SuspicionChange> Run(Duration aSpan, const std::vector<std::string>& aSenders)
  {
    std::vector<SuspicionChange> changes;
    const auto end = now_ + aSpan;
    while (now_ < end) {
      now_ += milliseconds(50);
      for (const auto& id : aSenders) {
        members_.OnHeartbeat(now_, id, false);
      }
      for (const auto& change : members_.Tick(now_)) {
        changes.push_back(change);
      }
    }
    return changes;
  }

  Instant now_ = seconds(10);
  Membership members_;
};

TEST_F(MembershipOfFour, AllSendHeartbeats_AllAreLive)
{
  EXPECT_TRUE(Run(seconds(3), { "i2#a", "i3#a", "i4#a" }).empty());
  EXPECT_EQ(members_.LiveInstances(now_).size(), 4U);
}

TEST_F(MembershipOfFour, OneIsSilentForThisInstance_OneSuspicionIsNotEnough)
{
  const auto changes = Run(seconds(1), { "i2#a", "i3#a" });
  ASSERT_FALSE(changes.empty());
  EXPECT_EQ(changes[0].target_, "i4#a");
  EXPECT_TRUE(members_.IsLive(now_, "i4#a"));
}

TEST_F(MembershipOfFour, TwoWatchersSuspectIt_IsNotLiveUntilItsNextHeartbeat)
{
  Run(seconds(1), { "i2#a", "i3#a" });
  members_.OnSuspicion(now_, "i2#a", "i4#a", true);
  EXPECT_FALSE(members_.IsLive(now_, "i4#a"));
  Run(milliseconds(200), { "i2#a", "i3#a", "i4#a" });
  EXPECT_TRUE(members_.IsLive(now_, "i4#a"));
}

TEST_F(MembershipOfFour, ThisProcessWasPaused_SuspectsNone)
{
  Run(seconds(1), { "i2#a", "i3#a", "i4#a" });
  now_ += seconds(5);
  EXPECT_TRUE(members_.Tick(now_).empty());
  EXPECT_EQ(members_.LiveInstances(now_).size(), 4U);
}

TEST_F(MembershipOfFour, NewIncarnationConnects_OldOneHasStopped)
{
  EXPECT_FALSE(members_.HasStopped(now_, "i2#a"));
  members_.OnContact(now_, "i2#b", "b", false);
  EXPECT_TRUE(members_.HasStopped(now_, "i2#a"));
  EXPECT_FALSE(members_.IsLive(now_, "i2#a"));
  EXPECT_TRUE(members_.IsLive(now_, "i2#b"));
}

TEST_F(MembershipOfFour, RemovedFromTheList_HasStoppedAfterTheBound)
{
  members_.OnList(now_, ListOf(3));
  EXPECT_FALSE(members_.HasStopped(now_, "i4#a"));
  EXPECT_TRUE(members_.HasStopped(now_ + seconds(2), "i4#a"));
}

TEST_F(MembershipOfFour, SilentButListed_HasNotStopped)
{
  Run(seconds(60), {});
  EXPECT_FALSE(members_.HasStopped(now_, "i4#a"));
}

TEST_F(MembershipOfFour, ContactWithOne_IsNoMajority)
{
  now_ += seconds(10);
  members_.OnHeartbeat(now_, "i2#a", false);
  EXPECT_FALSE(members_.HasMajorityContact(now_, seconds(3)));
  members_.OnHeartbeat(now_, "i3#a", false);
  EXPECT_TRUE(members_.HasMajorityContact(now_, seconds(3)));
}

TEST(Membership, FleetIsLarge_HasThreeWatchers)
{
  Membership members("i1#a", "a", MembershipTiming{});
  members.OnList(seconds(1), ListOf(500));
  EXPECT_EQ(members.WatcherNames().size(), 3U);
}

TEST(Membership, JustStarted_PeersWithoutContactCountAsLiveForAWhile)
{
  Membership members("i1#a", "a", MembershipTiming{});
  members.OnList(seconds(1), ListOf(4));
  EXPECT_FALSE(members.IsSettled(seconds(1)));
  EXPECT_TRUE(members.IsLive(seconds(1), "i2#a"));
  EXPECT_TRUE(members.IsSettled(seconds(3)));
  EXPECT_FALSE(members.IsLive(seconds(4), "i2#a"));
}

} // namespace

} // namespace latchslip
