#include "LibGateway/ServerDirectory.h"
#include "LibStore/StoreEpoch.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

constexpr Instant kNow = seconds(100);

class DirectoryOfTwoServers : public testing::Test
{
protected:
  DirectoryOfTwoServers()
  {
    Put("s1", "10.0.0.1:80", 1);
    Put("s2", "10.0.0.2:80", 2);
  }

  void Put(const std::string& aId, const std::string& aAddress, std::uint64_t aRevision)
  {
    directory_.Put(kNow, { aId, "rates", aAddress, "hall", 4, false, aRevision });
  }

  bool IsListedAt(const std::string& aId, Duration aAfter)
  {
    directory_.Expire(kNow + aAfter);
    return directory_.Find(aId) != nullptr;
  }

  // Drops the first server; one second later an older copy of the store lists it again.
  void DropAndListAgainByACopy()
  {
    directory_.Remove(kNow, "s1");
    ASSERT_FALSE(IsListedAt("s1", seconds(1)));
    directory_.OnStoreRolledBack(kNow + seconds(1));
    directory_.Put(kNow + seconds(1),
                   { "s1", "rates", "10.0.0.1:80", "hall", 4, false, MakeVersion(2, 1) });
  }

  ServerDirectory directory_;
};

TEST_F(DirectoryOfTwoServers, RecordDisappearsWhileStoreIsAvailable_IsDroppedSoon)
{
  directory_.Remove(kNow, "s1");
  EXPECT_TRUE(IsListedAt("s1", milliseconds(100)));
  EXPECT_FALSE(IsListedAt("s1", milliseconds(400)));
  EXPECT_TRUE(IsListedAt("s2", seconds(60)));
}

TEST_F(DirectoryOfTwoServers, RecordDisappearsAfterOutage_IsKeptUntilRunningServersAreBack)
{
  directory_.OnStoreLost(kNow);
  directory_.OnStoreRegained(kNow + seconds(4));
  directory_.Remove(kNow + seconds(4), "s1");
  EXPECT_TRUE(IsListedAt("s1", seconds(6)));
  EXPECT_FALSE(IsListedAt("s1", milliseconds(6400)));
}

TEST_F(DirectoryOfTwoServers, RecordReturnsInTime_IsNotDropped)
{
  directory_.OnStoreRegained(kNow);
  directory_.Remove(kNow, "s1");
  Put("s1", "10.0.0.1:80", 9);
  EXPECT_TRUE(IsListedAt("s1", seconds(60)));
}

// The next tests cover the three acknowledged states that an older copy of the store reverts.
TEST_F(DirectoryOfTwoServers, CopyShowsALeavingServerAsReady_StaysLeavingUntilItCouldRepeatIt)
{
  directory_.Put(kNow, { "s1", "rates", "10.0.0.1:80", "hall", 4, true, 3 });
  directory_.OnStoreRolledBack(kNow);
  Put("s1", "10.0.0.1:80", MakeVersion(2, 1));
  EXPECT_FALSE(directory_.Find("s1")->AcceptsWork());
  directory_.Expire(kNow + milliseconds(2200));
  EXPECT_FALSE(directory_.Find("s1")->AcceptsWork());
  EXPECT_TRUE(directory_.Expire(kNow + milliseconds(2400)));
  EXPECT_TRUE(directory_.Find("s1")->AcceptsWork());
}

TEST_F(DirectoryOfTwoServers, LeavingServerRepeatsItAfterTheCopy_StaysLeaving)
{
  directory_.Put(kNow, { "s1", "rates", "10.0.0.1:80", "hall", 4, true, 3 });
  directory_.OnStoreRolledBack(kNow);
  Put("s1", "10.0.0.1:80", MakeVersion(2, 1));
  directory_.Put(kNow, { "s1", "rates", "10.0.0.1:80", "hall", 4, true, MakeVersion(2, 9) });
  EXPECT_FALSE(directory_.Expire(kNow + seconds(3)));
  EXPECT_FALSE(directory_.Find("s1")->AcceptsWork());
}

TEST_F(DirectoryOfTwoServers, CopyListsAServerThatWasGone_ItIsUsedOnlyIfItStaysListed)
{
  ASSERT_NO_FATAL_FAILURE(DropAndListAgainByACopy());
  EXPECT_FALSE(IsListedAt("s1", seconds(3)));
  EXPECT_TRUE(IsListedAt("s1", milliseconds(3400)));
}

TEST_F(DirectoryOfTwoServers, GoneServerOfTheCopyDisappearsAgain_ItIsNeverUsed)
{
  ASSERT_NO_FATAL_FAILURE(DropAndListAgainByACopy());
  directory_.Remove(kNow + seconds(2), "s1");
  EXPECT_FALSE(IsListedAt("s1", seconds(5)));
}

TEST_F(DirectoryOfTwoServers, CopyLacksAServer_IsKeptUntilItCouldRegisterAgain)
{
  directory_.OnStoreRolledBack(kNow);
  directory_.Remove(kNow, "s1");
  EXPECT_TRUE(IsListedAt("s1", milliseconds(2200)));
  EXPECT_FALSE(IsListedAt("s1", milliseconds(2400)));
}

TEST_F(DirectoryOfTwoServers, CopyLacksADrainedHall_StaysDrainedUntilOperatorsCouldRepeatIt)
{
  directory_.DrainHall("hall");
  directory_.OnStoreRolledBack(kNow);
  directory_.RestoreHall(kNow, "hall");
  EXPECT_FALSE(directory_.Find("s1")->AcceptsWork());
  directory_.DrainHall("hall");
  directory_.Expire(kNow + seconds(3));
  EXPECT_FALSE(directory_.Find("s1")->AcceptsWork());
  directory_.RestoreHall(kNow + seconds(3), "hall");
  EXPECT_TRUE(directory_.Find("s1")->AcceptsWork());
}

TEST_F(DirectoryOfTwoServers, CopyLacksADrainedHallAndNobodyRepeatsIt_IsRestored)
{
  directory_.DrainHall("hall");
  directory_.OnStoreRolledBack(kNow);
  directory_.RestoreHall(kNow, "hall");
  EXPECT_TRUE(directory_.Expire(kNow + milliseconds(2400)));
  EXPECT_TRUE(directory_.Find("s1")->AcceptsWork());
}

TEST_F(DirectoryOfTwoServers, FormerIncarnationIsListedByTheCopy_LaterOneHasNotEnded)
{
  Put("s3", "10.0.0.1:80", 7);
  directory_.Remove(kNow, "s1");
  ASSERT_FALSE(IsListedAt("s1", seconds(1)));
  directory_.OnStoreRolledBack(kNow);
  // The same write as before, in the next epoch of the store.
  Put("s1", "10.0.0.1:80", MakeVersion(1, 1));
  directory_.Expire(kNow + seconds(3));
  EXPECT_FALSE(directory_.HasEnded("s3"));
  EXPECT_TRUE(directory_.HasEnded("s1"));
}

TEST_F(DirectoryOfTwoServers, WholeListLacksServer_ServerHasDisappeared)
{
  directory_.Replace(kNow, { *directory_.Find("s2") });
  EXPECT_FALSE(IsListedAt("s1", seconds(1)));
  EXPECT_TRUE(IsListedAt("s2", seconds(1)));
}

TEST_F(DirectoryOfTwoServers, LaterIncarnationHasTheAddress_FormerOneHasEnded)
{
  EXPECT_FALSE(directory_.HasEnded("s1"));
  Put("s3", "10.0.0.1:80", 7);
  EXPECT_TRUE(directory_.HasEnded("s1"));
  EXPECT_FALSE(directory_.HasEnded("s3"));
}

// Guards against a write of a server that has ended, carried out late, which made the server that
// lives at its address count as ended: its keys passed to others while it held them.
TEST_F(DirectoryOfTwoServers, FormerServerWritesItsRecordLate_TheLivingOneHasNotEnded)
{
  Put("s3", "10.0.0.1:80", 3);
  ASSERT_TRUE(directory_.HasEnded("s1"));
  Put("s1", "10.0.0.1:80", 4);
  EXPECT_FALSE(directory_.HasEnded("s3"));
  EXPECT_TRUE(directory_.HasEnded("s1"));
}

// As above, for an instance that has started since the former record was dropped.
TEST_F(DirectoryOfTwoServers, UnknownFormerServerWritesItsRecordLate_TheLivingOneHasNotEnded)
{
  directory_.OnFirstList(kNow);
  Put("s3", "10.0.0.3:80", 3);
  directory_.Put(kNow + seconds(10), { "s0", "rates", "10.0.0.3:80", "hall", 4, false, 4 });
  EXPECT_FALSE(directory_.HasEnded("s3"));
  EXPECT_FALSE(directory_.HasEnded("s0"));
  directory_.Put(kNow + seconds(20), { "s4", "rates", "10.0.0.3:80", "hall", 4, false, 5 });
  EXPECT_TRUE(directory_.HasEnded("s3"));
  EXPECT_TRUE(directory_.HasEnded("s0"));
}

TEST_F(DirectoryOfTwoServers, FirstListHasTwoServersAtAnAddress_TheOneThatIsNotThereHasEnded)
{
  directory_.OnFirstList(kNow);
  Put("s3", "10.0.0.3:80", 3);
  Put("s4", "10.0.0.3:80", 4);
  EXPECT_FALSE(directory_.HasEnded("s3"));
  EXPECT_FALSE(directory_.HasEnded("s4"));
  EXPECT_TRUE(directory_.RecordEnded("s4", 0));
  EXPECT_TRUE(directory_.HasEnded("s4"));
  EXPECT_FALSE(directory_.HasEnded("s3"));
}

TEST_F(DirectoryOfTwoServers, LaterListedServerIsNotAtTheAddress_FormerOneHasNotEnded)
{
  Put("s3", "10.0.0.1:80", 7);
  ASSERT_TRUE(directory_.HasEnded("s1"));
  EXPECT_FALSE(directory_.IsProvenEnded("s1")) << "a record may be written late";
  EXPECT_TRUE(directory_.RecordEnded("s3", 0));
  EXPECT_FALSE(directory_.HasEnded("s1"));
  EXPECT_TRUE(directory_.IsProvenEnded("s3"));
}

TEST_F(DirectoryOfTwoServers, EndedServerIsListedAgain_HasStillEndedUnlessItIsALaterIncarnation)
{
  EXPECT_TRUE(directory_.RecordEnded("s1", 0));
  EXPECT_FALSE(directory_.RecordEnded("s1", 0)) << "known already";
  Put("s1", "10.0.0.1:80", 5);
  EXPECT_TRUE(directory_.IsProvenEnded("s1"));
  directory_.Remove(kNow, "s1");
  ASSERT_FALSE(IsListedAt("s1", seconds(1)));
  Put("s1", "10.0.0.1:80", 6);
  EXPECT_TRUE(directory_.HasEnded("s1"));
  ServerRecord later{ "s1", "rates", "10.0.0.1:80", "hall", 4, false, 7 };
  later.incarnation_ = 2;
  directory_.Put(kNow, later);
  EXPECT_FALSE(directory_.HasEnded("s1"));
  EXPECT_FALSE(directory_.RecordEnded("s1", 1)) << "of the former incarnation";
}

// The later incarnation under the same id has the address, not the server listed there meanwhile.
TEST_F(DirectoryOfTwoServers, ServerStartsAgainUnderItsIdAfterAnother_TheOtherHasEnded)
{
  Put("s3", "10.0.0.1:80", 7);
  ServerRecord later{ "s1", "rates", "10.0.0.1:80", "hall", 4, false, 8 };
  later.incarnation_ = 2;
  directory_.Put(kNow, later);
  EXPECT_FALSE(directory_.HasEnded("s1"));
  EXPECT_TRUE(directory_.HasEnded("s3"));
}

TEST_F(DirectoryOfTwoServers, FormerServerIsListedAgainAfterItsRecordLapsed_TheLivingOneHasNotEnded)
{
  Put("s3", "10.0.0.1:80", 3);
  directory_.Remove(kNow, "s1");
  ASSERT_FALSE(IsListedAt("s1", seconds(1)));
  Put("s1", "10.0.0.1:80", 9);
  EXPECT_FALSE(directory_.HasEnded("s3"));
  EXPECT_TRUE(directory_.HasEnded("s1"));
}

TEST_F(DirectoryOfTwoServers, AddressIsReusedAfterRecordWasDropped_FormerIncarnationHasEnded)
{
  directory_.Remove(kNow, "s1");
  ASSERT_FALSE(IsListedAt("s1", seconds(1)));
  EXPECT_FALSE(directory_.HasEnded("s1"));
  directory_.Put(kNow, { "other", "bookings", "10.0.0.1:80", "hall", 4, false, 8 });
  EXPECT_TRUE(directory_.HasEnded("s1"));
}

TEST_F(DirectoryOfTwoServers, IncarnationWasNeverListed_HasNotEnded)
{
  EXPECT_FALSE(directory_.HasEnded("unknown"));
}

TEST_F(DirectoryOfTwoServers, HallIsDrained_ItsServersAcceptNoWorkUntilItIsRestored)
{
  directory_.DrainHall("hall");
  EXPECT_FALSE(directory_.Find("s1")->AcceptsWork());
  Put("s3", "10.0.0.3:80", 3);
  EXPECT_FALSE(directory_.Find("s3")->AcceptsWork()) << "listed while its hall is drained";
  directory_.DrainHall("other");
  directory_.RestoreHall(kNow, "hall");
  EXPECT_TRUE(directory_.Find("s1")->AcceptsWork());
  EXPECT_TRUE(directory_.Find("s3")->AcceptsWork());
}

TEST_F(DirectoryOfTwoServers, HallIsRestored_ItsServersAreInSlowStartUntilTheyReportOtherwise)
{
  directory_.RestoreHall(kNow, "hall");
  EXPECT_FALSE(directory_.Find("s1")->IsInSlowStart(kNow)) << "it was not drained";
  directory_.DrainHall("hall");
  directory_.RestoreHall(kNow, "hall");
  EXPECT_TRUE(directory_.Find("s1")->IsInSlowStart(kNow + seconds(2)));
  EXPECT_FALSE(directory_.Find("s1")->IsInSlowStart(kNow + seconds(3)));
  Put("s1", "10.0.0.1:80", 3);
  EXPECT_FALSE(directory_.Find("s1")->IsInSlowStart(kNow));
}

TEST_F(DirectoryOfTwoServers, ServerReportsRemainingSlowStart_CountsFromTheReport)
{
  ServerRecord record{ "s4", "rates", "10.0.0.4:80", "hall", 4, false, 4 };
  record.slowStartLeft_ = seconds(3);
  directory_.Put(kNow, record);
  EXPECT_TRUE(directory_.Find("s4")->IsInSlowStart(kNow + milliseconds(2900)));
  EXPECT_FALSE(directory_.Find("s4")->IsInSlowStart(kNow + milliseconds(3100)));
}

// The update came from an instance that reaches the store: the server has left, and must get
// nothing 2.5 s later, however long this instance itself cannot reach the store.
TEST_F(DirectoryOfTwoServers,
       RecordDisappearsInAnOutageOfThisInstanceAlone_ReconnectingDoesNotKeepItLonger)
{
  directory_.OnStoreLost(kNow);
  directory_.Remove(kNow + seconds(4), "s1");
  directory_.OnStoreRegained(kNow + milliseconds(4800));
  EXPECT_TRUE(IsListedAt("s1", milliseconds(6200)));
  EXPECT_FALSE(IsListedAt("s1", milliseconds(6400)));
}

// Guards against the use of a leaving server whose record does not say so.
TEST_F(DirectoryOfTwoServers, AnswerAnnouncesThatAServerLeaves_RecordsOfItsIncarnationDoNotRevertIt)
{
  EXPECT_TRUE(directory_.RecordLeaving(kNow, "s1", 0));
  EXPECT_FALSE(directory_.Find("s1")->AcceptsWork());
  EXPECT_TRUE(directory_.Find("s2")->AcceptsWork());
  Put("s1", "10.0.0.1:80", 9);
  EXPECT_FALSE(directory_.Find("s1")->AcceptsWork());
  directory_.Remove(kNow, "s1");
  EXPECT_FALSE(IsListedAt("s1", seconds(1)));
  Put("s1", "10.0.0.1:80", 12);
  EXPECT_FALSE(directory_.Find("s1")->AcceptsWork());
  ServerRecord nextIncarnation{ "s1", "rates", "10.0.0.1:80", "hall", 4, false, 13 };
  nextIncarnation.incarnation_ = 200;
  directory_.Put(kNow, nextIncarnation);
  EXPECT_TRUE(directory_.Find("s1")->AcceptsWork());
}

// Guards against an older dropped record that hides what was learned of the server since.
TEST_F(DirectoryOfTwoServers, ServerIsDroppedAgain_LatestRecordIsKept)
{
  directory_.Remove(kNow, "s1");
  ASSERT_FALSE(IsListedAt("s1", seconds(1)));
  Put("s1", "10.0.0.9:80", 9);
  directory_.RecordLeaving(kNow, "s1", 0);
  directory_.Remove(kNow, "s1");
  ASSERT_FALSE(IsListedAt("s1", seconds(1)));
  EXPECT_EQ(directory_.FindAny("s1")->address_, "10.0.0.9:80");
  Put("s1", "10.0.0.9:80", 12);
  EXPECT_FALSE(directory_.Find("s1")->AcceptsWork());
}

} // namespace

} // namespace latchslip
