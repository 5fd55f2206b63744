#include "DispatcherFixture.h"

namespace latchslip {

namespace {

constexpr RequestFingerprint kPoison = 7;
constexpr RequestFingerprint kInnocent = 8;
constexpr CallerId kOtherCaller = 2;

// A dispatcher of three servers; requests have fingerprints.
class DispatcherOfCrashingServers : public DispatcherOfAService
{
protected:
  DispatcherOfCrashingServers()
  {
    for (const auto* id : { "s1", "s2", "s3" }) {
      Put(id, "hall", 4);
    }
  }

  AttemptNumber RequestOf(RequestFingerprint aFingerprint,
                          const std::string& aServer = "",
                          CallerId aCaller = kCaller)
  {
    PermitRequest request;
    request.number_ = ++lastNumber_;
    request.service_ = "plain";
    request.server_ = aServer;
    request.hall_ = "hall";
    request.inTime_ = milliseconds(300);
    request.timeLeft_ = milliseconds(1000);
    request.fingerprint_ = aFingerprint;
    dispatcher_.OnMessage(now_, aCaller, request);
    return lastNumber_;
  }

  // The server closes the connection of a send.
  void Lose(AttemptNumber aNumber, CallerId aCaller = kCaller)
  {
    SendEnd end{ aNumber, SendResult::Broken, milliseconds(50), std::nullopt };
    end.isConnectionLost_ = true;
    dispatcher_.OnMessage(now_, aCaller, end);
  }

  void Remove(const std::string& aServer)
  {
    directory_.Remove(now_, aServer);
    directory_.Expire(now_ + seconds(10));
    dispatcher_.OnDirectoryChanged(now_);
  }

  // The request is sent to the server, which ends under it and loses its record.
  void CrashAndRemove(const std::string& aServer, RequestFingerprint aRequest)
  {
    const auto request = RequestOf(aRequest, aServer);
    ASSERT_EQ(PermittedTo(request), aServer);
    Pass(milliseconds(50));
    Lose(request);
    Remove(aServer);
  }

  // How often the instance was told that the request is quarantined.
  std::size_t QuarantinesToldTo(CallerId aCaller) const
  {
    return static_cast<std::size_t>(
      std::count_if(actions_.answers_.begin(), actions_.answers_.end(), [&](const auto& aEntry) {
        const auto* quarantine = std::get_if<Quarantine>(&aEntry.second);
        return aEntry.first == aCaller && quarantine != nullptr &&
               quarantine->fingerprint_ == kPoison && quarantine->remaining_ > Duration(0);
      }));
  }
};

TEST_F(DispatcherOfCrashingServers, RequestEndedTwoServers_IsDeniedAndAllInstancesAreTold)
{
  RequestOf(kInnocent, "s3", kOtherCaller);
  CrashAndRemove("s1", kPoison);
  EXPECT_EQ(QuarantinesToldTo(kCaller), 0U);
  CrashAndRemove("s2", kPoison);
  EXPECT_EQ(QuarantinesToldTo(kCaller), 1U);
  EXPECT_EQ(QuarantinesToldTo(kOtherCaller), 1U);
  const auto again = RequestOf(kPoison, "", kOtherCaller);
  EXPECT_TRUE(IsAnswered<PermitDenial>(again));
  EXPECT_EQ(PermittedTo(RequestOf(kInnocent)), "s3");
}

TEST_F(DispatcherOfCrashingServers, InstanceSpeaksForTheFirstTime_IsToldOfTheQuarantines)
{
  CrashAndRemove("s1", kPoison);
  CrashAndRemove("s2", kPoison);
  dispatcher_.OnMessage(now_, kOtherCaller, DispatcherProbe{});
  EXPECT_EQ(QuarantinesToldTo(kOtherCaller), 1U);
}

TEST_F(DispatcherOfCrashingServers, SuspectsAreSentAgain_EachServerGetsOneAtATime)
{
  const auto first = RequestOf(kPoison, "s1");
  const auto second = RequestOf(kInnocent, "s1");
  Pass(milliseconds(50));
  Lose(first);
  Lose(second);
  EXPECT_EQ(PermittedTo(RequestOf(kPoison, "s2")), "s2");
  const auto other = RequestOf(kInnocent, "s2");
  EXPECT_EQ(PermittedTo(other), "");
  EXPECT_EQ(PermittedTo(Request("s2")), "s2") << "it is no suspect";
  EXPECT_EQ(PermittedTo(RequestOf(kInnocent, "s3")), "s3");
}

TEST_F(DispatcherOfCrashingServers, SuspectIsUnderWay_ItsRepetitionWaitsForItsEnd)
{
  const auto first = RequestOf(kInnocent, "s1");
  Pass(milliseconds(50));
  Lose(first);
  const auto trial = RequestOf(kInnocent, "s2");
  const auto repetition = RequestOf(kInnocent, "s3");
  EXPECT_EQ(PermittedTo(trial), "s2");
  EXPECT_EQ(PermittedTo(repetition), "");
  Pass(milliseconds(50));
  End(trial);
  Pass(milliseconds(10));
  EXPECT_EQ(PermittedTo(repetition), "s3");
}

TEST_F(DispatcherOfCrashingServers, ServerEndsAsAnnounced_CountsAsNoCrash)
{
  const auto request = RequestOf(kInnocent, "s1");
  ServerRecord record{ "s1", "plain", "s1:80", "hall", 4, true, ++revision_ };
  directory_.Put(now_, record);
  dispatcher_.OnDirectoryChanged(now_);
  Pass(milliseconds(50));
  Lose(request);
  Remove("s1");
  CrashAndRemove("s2", kInnocent);
  EXPECT_EQ(PermittedTo(RequestOf(kInnocent)), "s3");
}

// A new dispatcher has seen none of the crashes.
TEST_F(DispatcherOfCrashingServers, InstancesReportCrashesOfServersThatAreGone_AreCounted)
{
  dispatcher_.OnMessage(
    now_, kCaller, CrashNotice{ kPoison, "t2", 0, milliseconds(500), milliseconds(400) });
  EXPECT_EQ(QuarantinesToldTo(kCaller), 0U);
  dispatcher_.OnMessage(
    now_, kOtherCaller, CrashNotice{ kPoison, "t1", 0, milliseconds(4000), milliseconds(3900) });
  EXPECT_EQ(QuarantinesToldTo(kCaller), 1U);
  EXPECT_EQ(QuarantinesToldTo(kOtherCaller), 1U);
}

TEST_F(DispatcherOfCrashingServers, InstanceReportsAQuarantine_TheOthersAreToldOnce)
{
  dispatcher_.OnMessage(now_, kOtherCaller, DispatcherProbe{});
  dispatcher_.OnMessage(now_, kCaller, Quarantine{ kPoison, seconds(20), 2 });
  dispatcher_.OnMessage(now_, kOtherCaller, Quarantine{ kPoison, seconds(20), 2 });
  EXPECT_EQ(QuarantinesToldTo(kOtherCaller), 1U);
  EXPECT_TRUE(IsAnswered<PermitDenial>(RequestOf(kPoison)));
}

} // namespace

} // namespace latchslip
