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
    return Request(aServer, milliseconds(300), 0, aCaller, aFingerprint);
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

// Ten servers; two instances ask for the same request every 20 ms, and each server that runs it
// crashes. A crash is confirmed some time after it: the parameter.
class RequestThatRepeatsFast
  : public DispatcherOfCrashingServers
  , public testing::WithParamInterface<Duration>
{
protected:
  static constexpr Duration kRepeatInterval = milliseconds(20);

  RequestThatRepeatsFast()
  {
    for (int number = 4; number <= 10; ++number) {
      Put("s" + std::to_string(number), "hall", 4);
    }
  }

  void Run(Duration aTime)
  {
    const auto end = now_ + aTime;
    for (auto nextRepeat = now_; now_ < end; Pass(milliseconds(1))) {
      if (now_ >= nextRepeat) {
        const auto caller = ++repeats_ % 2 == 0 ? kCaller : kOtherCaller;
        unanswered_.emplace_back(RequestOf(kPoison, "", caller), caller);
        nextRepeat += kRepeatInterval;
      }
      TrackPermits();
      EndCrashed();
    }
  }

  std::size_t sentBeforeFirstCrash_ = 0;
  std::size_t sent_ = 0;
  // Time of the crash of each server that ran the request.
  std::map<std::string, Instant> crashes_;

private:
  struct Send
  {
    AttemptNumber number_ = 0;
    CallerId caller_ = 0;
    std::string server_;
    Instant endsAt_{ 0 };
  };

  void TrackPermits()
  {
    std::erase_if(unanswered_, [&](const auto& aRequest) {
      const auto server = PermittedTo(aRequest.first);
      if (!server.empty()) {
        const auto work = milliseconds(60 + 10 * (sent_++ % 5));
        const auto [crash, isFirst] = crashes_.try_emplace(server, now_ + work);
        sends_.push_back({ aRequest.first, aRequest.second, server, crash->second });
        sentBeforeFirstCrash_ += hasCrashed_ ? 0 : 1;
      }
      return !server.empty() || IsAnswered<PermitDenial>(aRequest.first);
    });
  }

  void EndCrashed()
  {
    std::erase_if(sends_, [&](const Send& aSend) {
      if (now_ < aSend.endsAt_) {
        return false;
      }
      hasCrashed_ = true;
      Lose(aSend.number_, aSend.caller_);
      return true;
    });
    for (const auto& [server, crashedAt] : crashes_) {
      if (now_ >= crashedAt + GetParam() && directory_.Find(server) != nullptr) {
        Remove(server);
      }
    }
  }

  std::size_t repeats_ = 0;
  bool hasCrashed_ = false;
  std::vector<std::pair<AttemptNumber, CallerId>> unanswered_;
  std::vector<Send> sends_;
};

// Guards against a request that takes all servers of a service with it: it was tried on the next
// server while none of its crashes was confirmed.
TEST_P(RequestThatRepeatsFast, CrashesAreNotConfirmedYet_OneServerMoreIsTried)
{
  Run(seconds(5));
  EXPECT_LE(sent_, sentBeforeFirstCrash_ + 1);
  EXPECT_LE(crashes_.size(), 6U);
}

INSTANTIATE_TEST_SUITE_P(TimesToConfirm,
                         RequestThatRepeatsFast,
                         testing::Values(milliseconds(200), milliseconds(2000)));

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
