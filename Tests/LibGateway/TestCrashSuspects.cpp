#include "LibGateway/CrashSuspects.h"

#include <gtest/gtest.h>
#include <numeric>

namespace latchslip {

namespace {

constexpr RequestFingerprint kPoison = 7;
constexpr RequestFingerprint kInnocent = 8;

class SuspectsOfAService : public testing::Test
{
protected:
  static constexpr std::uint64_t kIncarnation = 1;

  // The requests are sent to the server, which crashes 50 ms later.
  CrashSuspects::Changes Crash(const std::string& aServer,
                               const std::vector<RequestFingerprint>& aRequests,
                               std::uint64_t aIncarnation = kIncarnation)
  {
    const auto sentAt = now_;
    now_ += milliseconds(50);
    CrashSuspects::Changes last;
    for (const auto request : aRequests) {
      last = suspects_.OnConnectionLost({ request, aServer, aIncarnation, sentAt, now_ });
    }
    return last;
  }

  // As Crash(), and the server is seen to be gone.
  CrashSuspects::Changes CrashAndGo(const std::string& aServer,
                                    const std::vector<RequestFingerprint>& aRequests)
  {
    auto changes = Crash(aServer, aRequests);
    const auto confirmed = suspects_.OnServerGone(now_, aServer);
    changes.insert(changes.end(), confirmed.begin(), confirmed.end());
    now_ += seconds(3);
    return changes;
  }

  // A server answers the request.
  void Answer(const std::string& aServer, RequestFingerprint aRequest)
  {
    const auto sentAt = now_;
    now_ += milliseconds(50);
    suspects_.OnAnswered(now_, aRequest);
    suspects_.OnServerAnswered(now_, aServer, kIncarnation, sentAt, now_);
  }

  bool IsQuarantined(RequestFingerprint aRequest) const
  {
    return suspects_.RemainingQuarantine(now_, aRequest) > Duration(0);
  }

  Instant now_ = seconds(100);
  CrashSuspects suspects_;
};

TEST_F(SuspectsOfAService, RequestIsUnderWayAtTwoCrashes_IsQuarantinedAtTheSecond)
{
  EXPECT_TRUE(CrashAndGo("s1", { kPoison, kInnocent }).empty());
  EXPECT_FALSE(IsQuarantined(kPoison));
  const auto changes = Crash("s2", { kPoison });
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].fingerprint_, kPoison);
  EXPECT_EQ(changes[0].crashes_, 2U);
  EXPECT_GT(changes[0].remaining_, Duration(0));
  EXPECT_TRUE(IsQuarantined(kPoison));
  EXPECT_FALSE(IsQuarantined(kInnocent));
}

TEST_F(SuspectsOfAService, RequestIsAnsweredAfterACrash_IsNoSuspectAnyMore)
{
  CrashAndGo("s1", { kInnocent });
  EXPECT_TRUE(suspects_.IsSuspect(kInnocent));
  Answer("s2", kInnocent);
  EXPECT_FALSE(suspects_.IsSuspect(kInnocent));
  Crash("s3", { kInnocent });
  EXPECT_FALSE(IsQuarantined(kInnocent));
}

// A power failure: the same request was under way at many servers.
TEST_F(SuspectsOfAService, ServersEndTogether_NothingIsQuarantined)
{
  const auto sentAt = now_;
  now_ += milliseconds(50);
  for (int number = 0; number < 60; ++number) {
    const auto server = "s" + std::to_string(number);
    suspects_.OnConnectionLost({ kInnocent, server, kIncarnation, sentAt, now_ });
    suspects_.OnServerGone(now_, server);
    now_ += milliseconds(1);
  }
  EXPECT_FALSE(IsQuarantined(kInnocent));
}

// A faulty server breaks connections, but goes on.
TEST_F(SuspectsOfAService, ServerAnswersWhatIsSentAfterTheLoss_ItCountsAsNoCrash)
{
  Crash("s1", { kPoison });
  Answer("s1", kInnocent);
  EXPECT_FALSE(suspects_.IsSuspect(kPoison));
  Crash("s2", { kPoison });
  EXPECT_FALSE(IsQuarantined(kPoison));
}

TEST_F(SuspectsOfAService, FirstServerMayStillRun_RequestIsQuarantinedOnceItIsSeenToBeGone)
{
  Crash("s1", { kPoison });
  Crash("s2", { kPoison });
  EXPECT_FALSE(IsQuarantined(kPoison));
  suspects_.OnServerGone(now_, "s1");
  EXPECT_TRUE(IsQuarantined(kPoison));
}

TEST_F(SuspectsOfAService, NoCrashIsConfirmedYet_RequestAwaitsTheProof)
{
  Crash("s1", { kPoison });
  EXPECT_FALSE(suspects_.IsAwaitingProof(now_, kPoison));
  Crash("s2", { kPoison });
  EXPECT_TRUE(suspects_.IsAwaitingProof(now_, kPoison));
  EXPECT_FALSE(suspects_.IsAwaitingProof(now_ + seconds(11), kPoison));
  suspects_.OnServerAnswered(now_, "s1", kIncarnation, now_, now_);
  EXPECT_FALSE(suspects_.IsAwaitingProof(now_, kPoison));
}

// A later crash that is not confirmed yet does not take back the proof of an earlier one.
TEST_F(SuspectsOfAService, OneOfThreeCrashesIsConfirmed_RequestIsQuarantined)
{
  Crash("s1", { kPoison });
  Crash("s2", { kPoison });
  Crash("s3", { kPoison });
  suspects_.OnServerGone(now_, "s2");
  EXPECT_TRUE(IsQuarantined(kPoison));
  EXPECT_FALSE(suspects_.IsAwaitingProof(now_, kPoison));
}

TEST_F(SuspectsOfAService, LastServerProvesToRun_QuarantineIsLifted)
{
  CrashAndGo("s1", { kPoison });
  Crash("s2", { kPoison });
  const auto changes = suspects_.OnServerAnswered(now_, "s2", kIncarnation, now_, now_);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].remaining_, Duration(0));
  EXPECT_FALSE(IsQuarantined(kPoison));
}

TEST_F(SuspectsOfAService, RequestIsSentToAServerThatHasCrashed_IsNoSuspect)
{
  Crash("s1", { kPoison });
  Crash("s1", { kInnocent });
  EXPECT_FALSE(suspects_.IsSuspect(kInnocent));
}

TEST_F(SuspectsOfAService, AnotherIncarnationCrashesUnderTheSameId_CountsAsAnotherCrash)
{
  Crash("s1", { kPoison }, 1);
  now_ += seconds(3);
  suspects_.OnServerAnswered(now_, "s1", 2, now_, now_);
  Crash("s1", { kPoison }, 2);
  EXPECT_TRUE(IsQuarantined(kPoison));
}

TEST_F(SuspectsOfAService, RequestCrashesAnotherServerAfterItsQuarantine_TheNextIsLonger)
{
  CrashAndGo("s1", { kPoison });
  CrashAndGo("s2", { kPoison });
  const auto first = suspects_.RemainingQuarantine(now_, kPoison);
  now_ += first;
  EXPECT_FALSE(IsQuarantined(kPoison));
  EXPECT_TRUE(suspects_.IsSuspect(kPoison));
  CrashAndGo("s3", { kPoison });
  EXPECT_GT(suspects_.RemainingQuarantine(now_, kPoison), 4 * first);
}

TEST_F(SuspectsOfAService, QuarantineIsReported_FurtherCrashesAreCountedOnTop)
{
  const auto changes = suspects_.OnQuarantine(now_, { kPoison, seconds(10), 3 });
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_TRUE(IsQuarantined(kPoison));
  EXPECT_TRUE(suspects_.OnQuarantine(now_, { kPoison, seconds(10), 3 }).empty());
  now_ += seconds(11);
  EXPECT_FALSE(IsQuarantined(kPoison));
  const auto further = Crash("s1", { kPoison });
  ASSERT_EQ(further.size(), 1U);
  EXPECT_EQ(further[0].crashes_, 4U);
  suspects_.OnQuarantine(now_, { kPoison, Duration(0), 0 });
  EXPECT_FALSE(IsQuarantined(kPoison));
}

// The quarantine has ended here, and another instance counted anew.
TEST_F(SuspectsOfAService, QuarantineIsReportedAgainAfterItsEnd_ItIsTold)
{
  suspects_.OnQuarantine(now_, { kPoison, seconds(10), 2 });
  now_ += seconds(11);
  EXPECT_EQ(suspects_.OnQuarantine(now_, { kPoison, seconds(10), 2 }).size(), 1U);
  EXPECT_TRUE(IsQuarantined(kPoison));
}

TEST_F(SuspectsOfAService, ServerAnswersAfterTheEndOfTheQuarantine_TheNextCrashQuarantinesAgain)
{
  CrashAndGo("s1", { kPoison });
  Crash("s2", { kPoison });
  now_ += suspects_.RemainingQuarantine(now_, kPoison);
  suspects_.OnServerAnswered(now_, "s2", kIncarnation, now_, now_);
  EXPECT_FALSE(IsQuarantined(kPoison));
  Crash("s3", { kPoison });
  EXPECT_TRUE(IsQuarantined(kPoison));
}

TEST_F(SuspectsOfAService, CrashesAreTakenOverInAnyOrder_TheRequestIsQuarantined)
{
  CrashSuspects other;
  other.OnConnectionLost({ kPoison, "s2", kIncarnation, seconds(95), seconds(96) });
  other.OnConnectionLost({ kPoison, "s1", kIncarnation, seconds(90), seconds(91) });
  other.OnServerGone(now_, "s1");
  for (const auto& crash : other.Crashes()) {
    suspects_.OnConnectionLost(crash);
  }
  suspects_.OnServerGone(now_, "s1");
  EXPECT_TRUE(IsQuarantined(kPoison));
}

// Something accepts connections in place of the server and closes them.
TEST_F(SuspectsOfAService, ServerClosesWhatIsSentAfterItsCrash_ItCountsAsGone)
{
  Crash("s1", { kPoison });
  now_ += milliseconds(300);
  Crash("s1", { kInnocent });
  Crash("s2", { kPoison });
  EXPECT_TRUE(IsQuarantined(kPoison));
}

// Both servers are full, and close what they cannot queue.
TEST_F(SuspectsOfAService, ServersCloseConnectionsAndAnswerOthers_NothingIsQuarantined)
{
  for (int number = 0; number < 100; ++number) {
    for (const auto* server : { "s1", "s2" }) {
      const auto sentAt = now_;
      now_ += milliseconds(1);
      suspects_.OnConnectionLost({ kInnocent, server, kIncarnation, sentAt, now_ });
      suspects_.OnServerSilent(now_, server);
      now_ += milliseconds(60);
      // The answer to a request that was sent before.
      suspects_.OnServerAnswered(now_, server, kIncarnation, sentAt - milliseconds(100), now_);
      EXPECT_FALSE(IsQuarantined(kInnocent));
    }
  }
}

TEST_F(SuspectsOfAService, FullServersCloseTheRequestWithinMoments_TheFirstDoesNotCountAsGone)
{
  Crash("s1", { kInnocent });
  suspects_.OnServerSilent(now_ + milliseconds(1), "s1");
  Crash("s2", { kInnocent });
  EXPECT_FALSE(IsQuarantined(kInnocent));
}

// Many different requests are under way at a crash: what is remembered is bounded, and a request
// that has crashed two servers is not forgotten for others that have not.
TEST_F(SuspectsOfAService, FloodOfSuspects_QuarantinedRequestIsKept)
{
  CrashAndGo("s1", { kPoison });
  CrashAndGo("s2", { kPoison });
  std::vector<RequestFingerprint> flood(20000);
  std::iota(flood.begin(), flood.end(), 1000);
  Crash("s3", flood);
  EXPECT_TRUE(IsQuarantined(kPoison));
  EXPECT_LE(suspects_.Crashes().size(), 1026U);
}

} // namespace

} // namespace latchslip
