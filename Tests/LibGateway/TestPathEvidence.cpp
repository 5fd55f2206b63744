// What failures to reach servers, and what relays say of these servers, tell an instance about its
// own links.

#include "../CountingEventSink.h"
#include "LibGateway/PathSearch.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

// An instance of hall "a" with two others in its hall and one in hall "b".
class InstanceThatMissesServers : public testing::Test
{
protected:
  InstanceThatMissesServers()
  {
    paths_.SetPeers({ { "a2:1", { "a", 1 } }, { "a3:1", { "a", 1 } }, { "b1:1", { "b", 1 } } });
  }

  // A server answers over a direct path.
  void Answer(const std::string& aServer)
  {
    paths_.OnEnded(now_, aServer, "", PathResult::Reached);
  }

  // A request to the server fails directly. Returns whether a relay is asked.
  bool Fail(const std::string& aServer)
  {
    search_.Begin(now_, paths_, aServer);
    EXPECT_EQ(search_.Relay(), "");
    return search_.TryNext(now_, paths_, aServer, PathResult::Unreachable, true);
  }

  // As Fail; the relay that is asked answers so.
  void FailAndAsk(const std::string& aServer, PathResult aAnswer)
  {
    ASSERT_TRUE(Fail(aServer));
    search_.TryNext(now_, paths_, aServer, aAnswer, aAnswer != PathResult::Reached);
  }

  // As Fail; all relays that are asked decline.
  void FailAndNobodyTells(const std::string& aServer)
  {
    bool goesOn = Fail(aServer);
    while (goesOn) {
      goesOn = search_.TryNext(now_, paths_, aServer, PathResult::NotTried, true);
    }
  }

  // The connection to the server is reset.
  void Reset(const std::string& aServer)
  {
    paths_.OnEnded(now_, aServer, "", PathResult::NoAnswer);
  }

  Instant now_ = seconds(100);
  CountingEventSink events_;
  ServerPaths paths_{ "a", 1, events_ };
  PathSearch search_;
};

// Guards against a conclusion before a relay that was asked has answered.
TEST_F(InstanceThatMissesServers, ThreeInARowAndRelaysAreAsked_CutOffOnceARelayReachesOne)
{
  Answer("s9");
  EXPECT_TRUE(Fail("s1"));
  EXPECT_TRUE(Fail("s2"));
  EXPECT_TRUE(Fail("s3"));
  EXPECT_FALSE(paths_.IsCutOff());
  EXPECT_FALSE(search_.TryNext(now_, paths_, "s3", PathResult::Reached, false));
  EXPECT_TRUE(paths_.IsCutOff());
  EXPECT_EQ(events_.CountOf(Event::ServerLinksCut), 1);
}

// Guards against lost servers that are taken for lost links.
TEST_F(InstanceThatMissesServers, RelaysCannotReachThemEither_NeverCutOff)
{
  for (const auto* server : { "s1", "s2", "s3", "s4", "s5" }) {
    FailAndAsk(server, PathResult::Unreachable);
    EXPECT_TRUE(search_.IsServerUnreachable());
  }
  EXPECT_FALSE(paths_.IsCutOff());
  EXPECT_FALSE(paths_.IsInDoubt("s6"));
}

// Guards against a server that is lost and keeps counting through resets of its connections.
TEST_F(InstanceThatMissesServers, ServerThatIsGoneIsResetAndFailsAgain_IsNoEvidence)
{
  FailAndAsk("s1", PathResult::Unreachable);
  Reset("s1");
  now_ += milliseconds(200);
  EXPECT_TRUE(Fail("s1"));
  EXPECT_FALSE(paths_.IsInDoubt("s2"));
}

// Guards against relays that are asked for each request to a server that is gone.
TEST_F(InstanceThatMissesServers, ServerIsGone_NoRelayIsAskedDuringItsSuspension)
{
  FailAndAsk("s1", PathResult::Unreachable);
  now_ += milliseconds(199);
  EXPECT_FALSE(Fail("s1"));
  EXPECT_TRUE(search_.IsServerUnreachable());
  EXPECT_FALSE(search_.WasAnotherAsked());
  // The failure in between does not extend the suspension.
  now_ += milliseconds(1);
  EXPECT_TRUE(Fail("s1"));
  EXPECT_FALSE(search_.IsServerUnreachable());
}

TEST_F(InstanceThatMissesServers, ServerThatWasGoneAnswers_RelaysAreAskedAgain)
{
  FailAndAsk("s1", PathResult::Unreachable);
  Answer("s1");
  EXPECT_TRUE(Fail("s1"));
  EXPECT_FALSE(search_.IsServerUnreachable());
}

// Guards against a wrong word of one relay that outlasts a later success of another.
TEST_F(InstanceThatMissesServers, RelayReachesAServerThatCountedAsGone_IsEvidenceAgain)
{
  FailAndAsk("s1", PathResult::Unreachable);
  FailAndNobodyTells("s2");
  FailAndNobodyTells("s3");
  EXPECT_FALSE(paths_.IsCutOff());
  now_ += milliseconds(500);
  FailAndAsk("s1", PathResult::Reached);
  EXPECT_TRUE(paths_.IsCutOff());
}

// Guards against a conclusion from connections that are reset at once when servers are lost.
TEST_F(InstanceThatMissesServers, ResetsAndMissingAnswersOnly_NotCutOff)
{
  for (const auto* server : { "s1", "s2", "s3", "s4" }) {
    Reset(server);
  }
  EXPECT_FALSE(paths_.IsCutOff());
  FailAndAsk("s5", PathResult::Reached);
  EXPECT_TRUE(paths_.IsCutOff());
}

TEST_F(InstanceThatMissesServers, ResetsAndNoOtherInstance_CutOffOnceOneCannotBeReached)
{
  paths_.SetPeers({});
  Reset("s1");
  Reset("s2");
  EXPECT_FALSE(paths_.IsCutOff());
  EXPECT_FALSE(Fail("s3"));
  EXPECT_TRUE(paths_.IsCutOff());
}

// Guards against a conclusion while all relays are in doubt but other servers still answer.
TEST_F(InstanceThatMissesServers, NobodyTells_CutOffOnlyIfNoServerHasAnsweredForAWhile)
{
  Answer("s9");
  now_ += milliseconds(499);
  for (const auto* server : { "s1", "s2", "s3" }) {
    FailAndNobodyTells(server);
  }
  EXPECT_FALSE(paths_.IsCutOff());
  now_ += milliseconds(1);
  FailAndNobodyTells("s4");
  EXPECT_TRUE(paths_.IsCutOff());
}

// Guards against an instance that concludes from requests of others, which could not reach these
// servers either.
TEST_F(InstanceThatMissesServers, RelaysForOthersOnly_IsInDoubtButNotCutOff)
{
  EXPECT_EQ(paths_.OnEndedForAnother(now_, "s1", PathResult::Unreachable), PathResult::Unreachable);
  for (const auto* server : { "s2", "s3", "s4" }) {
    EXPECT_EQ(paths_.OnEndedForAnother(now_, server, PathResult::Unreachable),
              PathResult::UnreachableInDoubt);
  }
  EXPECT_FALSE(paths_.IsCutOff());
  EXPECT_EQ(paths_.OnEndedForAnother(now_, "s9", PathResult::Reached), PathResult::Reached);
  EXPECT_FALSE(paths_.IsInDoubt("s5"));
}

// Guards against a hall without links whose instances ask only each other.
TEST_F(InstanceThatMissesServers, Undecided_AnotherHallIsAskedFirst)
{
  EXPECT_TRUE(Fail("s1"));
  EXPECT_EQ(search_.Relay().front(), 'a');
  EXPECT_TRUE(Fail("s2"));
  EXPECT_TRUE(Fail("s3"));
  EXPECT_EQ(search_.Relay(), "b1:1");
}

} // namespace

} // namespace latchslip
