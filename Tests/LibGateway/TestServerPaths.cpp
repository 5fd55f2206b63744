#include "../CountingEventSink.h"
#include "LibGateway/PathSearch.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

// An instance of hall "a" with one other in its hall, "a2:1", and two in hall "b".
class PathsOfAnInstance : public testing::Test
{
protected:
  PathsOfAnInstance()
  {
    paths_.SetPeers({ { "a2:1", { "a", 1 } }, { "b1:1", { "b", 1 } }, { "b2:1", { "b", 1 } } });
  }

  // Whether this send would go directly.
  bool IsDirect(const std::string& aServer)
  {
    return paths_.Choose(now_, aServer, {}) == std::string();
  }

  void FailDirectly(const std::string& aServer)
  {
    paths_.OnEnded(now_, aServer, "", PathResult::Unreachable);
  }

  void CutOff()
  {
    for (const auto* server : { "s1", "s2", "s3" }) {
      FailDirectly(server);
    }
  }

  Instant now_ = seconds(100);
  CountingEventSink events_;
  ServerPaths paths_{ "a", 1, events_ };
  PathSearch search_;
};

TEST_F(PathsOfAnInstance, ServerIsReached_SentDirectly)
{
  EXPECT_TRUE(IsDirect("s1"));
  paths_.OnEnded(now_, "s1", "", PathResult::Reached);
  EXPECT_TRUE(IsDirect("s1"));
}

TEST_F(PathsOfAnInstance, OneServerCannotBeReached_OnlyItsRequestsAreRelayedForAWhile)
{
  FailDirectly("s1");
  EXPECT_FALSE(IsDirect("s1"));
  EXPECT_TRUE(IsDirect("s2"));
  EXPECT_FALSE(paths_.IsCutOff());
  now_ += milliseconds(200);
  EXPECT_TRUE(IsDirect("s1"));
}

TEST_F(PathsOfAnInstance, SeveralCannotBeReachedInARow_AllIsRelayedUntilAProbeSucceeds)
{
  CutOff();
  EXPECT_TRUE(paths_.IsCutOff());
  EXPECT_EQ(events_.CountOf(Event::ServerLinksCut), 1);
  now_ += seconds(60);
  EXPECT_FALSE(IsDirect("s9"));
  paths_.OnProbeEnded(now_, false);
  EXPECT_FALSE(IsDirect("s9"));
  paths_.OnProbeEnded(now_, true);
  EXPECT_TRUE(IsDirect("s1"));
  EXPECT_EQ(events_.CountOf(Event::ServerLinksRestored), 1);
}

TEST_F(PathsOfAnInstance, OthersAnswerInBetween_IsNotCutOff)
{
  for (const auto* server : { "s1", "s2", "s3", "s4" }) {
    FailDirectly(server);
    paths_.OnEnded(now_, "s9", "", PathResult::Reached);
  }
  EXPECT_FALSE(paths_.IsCutOff());
}

TEST_F(PathsOfAnInstance, CutOff_ProbesEachServerInTurnAtAnInterval)
{
  EXPECT_EQ(paths_.TakeProbe(now_), std::nullopt);
  CutOff();
  EXPECT_EQ(paths_.TakeProbe(now_), "s1");
  EXPECT_EQ(paths_.TakeProbe(now_ + milliseconds(100)), std::nullopt);
  EXPECT_EQ(paths_.TakeProbe(now_ + milliseconds(400)), "s2");
  EXPECT_EQ(paths_.TakeProbe(now_ + milliseconds(800)), "s3");
  EXPECT_EQ(paths_.TakeProbe(now_ + milliseconds(1200)), "s1");
}

TEST_F(PathsOfAnInstance, UnreachedServersAreUnlisted_IsNotCutOffByThem)
{
  CutOff();
  paths_.KeepServers([](const std::string& aServer) { return aServer == "s1"; });
  EXPECT_FALSE(paths_.IsCutOff());
}

TEST_F(PathsOfAnInstance, Relays_OwnHallFirstAndOthersOnceOneOfItDeclines)
{
  CutOff();
  EXPECT_EQ(paths_.Choose(now_, "s1", {}), "a2:1");
  paths_.OnEnded(now_, "s1", "a2:1", PathResult::NotTried);
  EXPECT_EQ(paths_.Choose(now_, "s1", {}).value().front(), 'b');
  // After a while it is asked again.
  now_ += milliseconds(500);
  EXPECT_EQ(paths_.Choose(now_, "s1", {}), "a2:1");
}

TEST_F(PathsOfAnInstance, OneRelayHasMoreUnderWay_TheOtherIsChosen)
{
  CutOff();
  paths_.SetPeers({ { "b1:1", { "b", 1 } }, { "b2:1", { "b", 1 } } });
  paths_.OnSent("b1:1");
  EXPECT_EQ(paths_.Choose(now_, "s1", {}), "b2:1");
  paths_.OnEnded(now_, "s1", "b1:1", PathResult::Reached);
  paths_.OnSent("b2:1");
  EXPECT_EQ(paths_.Choose(now_, "s1", {}), "b1:1");
}

TEST_F(PathsOfAnInstance, CutOffAndNobodyRelays_HasNoPath)
{
  CutOff();
  EXPECT_TRUE(paths_.HasPath(now_));
  for (const auto* peer : { "a2:1", "b1:1", "b2:1" }) {
    paths_.OnEnded(now_, "s1", peer, PathResult::NotTried);
  }
  EXPECT_FALSE(paths_.HasPath(now_));
  EXPECT_TRUE(paths_.HasPath(now_ + milliseconds(500)));
}

TEST_F(PathsOfAnInstance, NoOtherInstance_AlwaysSendsDirectly)
{
  paths_.SetPeers({});
  CutOff();
  EXPECT_TRUE(paths_.HasPath(now_));
  search_.Begin(now_, paths_, "s1");
  EXPECT_EQ(search_.Relay(), "");
}

TEST_F(PathsOfAnInstance, SecondInstanceCannotReachTheServer_ServerIsUnreachable)
{
  search_.Begin(now_, paths_, "s1");
  EXPECT_EQ(search_.Relay(), "");
  ASSERT_TRUE(search_.TryNext(now_, paths_, "s1", PathResult::Unreachable, true));
  EXPECT_EQ(search_.Relay(), "a2:1");
  EXPECT_FALSE(search_.IsServerUnreachable());
  EXPECT_FALSE(search_.TryNext(now_, paths_, "s1", PathResult::Unreachable, true));
  EXPECT_TRUE(search_.IsServerUnreachable());
}

TEST_F(PathsOfAnInstance, OthersDecline_ServerIsNotCalledUnreachable)
{
  search_.Begin(now_, paths_, "s1");
  bool goesOn = search_.TryNext(now_, paths_, "s1", PathResult::Unreachable, true);
  while (goesOn) {
    goesOn = search_.TryNext(now_, paths_, "s1", PathResult::NotTried, true);
  }
  EXPECT_FALSE(search_.IsServerUnreachable());
}

TEST_F(PathsOfAnInstance, TwoThatMayBeCutOffCannotReachTheServer_ServerIsUnreachable)
{
  search_.Begin(now_, paths_, "s1");
  ASSERT_TRUE(search_.TryNext(now_, paths_, "s1", PathResult::Unreachable, true));
  ASSERT_TRUE(search_.TryNext(now_, paths_, "s1", PathResult::UnreachableInDoubt, true));
  EXPECT_FALSE(search_.IsServerUnreachable());
  EXPECT_FALSE(search_.TryNext(now_, paths_, "s1", PathResult::UnreachableInDoubt, true));
  EXPECT_TRUE(search_.IsServerUnreachable());
}

TEST_F(PathsOfAnInstance, RequestMayHaveBeenRead_IsNotSentOnAnotherPath)
{
  search_.Begin(now_, paths_, "s1");
  EXPECT_FALSE(search_.TryNext(now_, paths_, "s1", PathResult::Unreachable, false));
}

} // namespace

} // namespace latchslip
