#include "../NullEventSink.h"
#include "LibPermit/PermitClient.h"

#include <gtest/gtest.h>
#include <set>

namespace latchslip {

namespace {

// Records the messages of a client and the outcomes of its permit requests.
class RecordedClient
  : public PermitClientActions
  , public PermitListener
{
public:
  void Send(const std::string& aDispatcher, const MessageToDispatcher& aMessage) override
  {
    sent_.emplace_back(aDispatcher, aMessage);
  }
  void Connect(const std::string& aDispatcher) override { connected_.push_back(aDispatcher); }
  void Disconnect(const std::string& aDispatcher) override { disconnected_.insert(aDispatcher); }
  void OnPermit(Instant, AttemptNumber aNumber, const std::string& aServer) override
  {
    permits_[aNumber] = aServer;
  }
  void OnPermitDelayed(Instant, AttemptNumber aNumber) override { delayed_.insert(aNumber); }
  void OnPermitDenied(Instant, AttemptNumber aNumber, Duration, bool) override
  {
    denied_.insert(aNumber);
  }
  void OnPermitRequestLost(Instant, AttemptNumber aNumber) override { lost_.insert(aNumber); }
  void OnQuarantine(Instant, RequestFingerprint aFingerprint) override
  {
    quarantined_.insert(aFingerprint);
  }

  std::vector<std::pair<std::string, MessageToDispatcher>> sent_;
  std::vector<std::string> connected_;
  std::set<std::string> disconnected_;
  std::map<AttemptNumber, std::string> permits_;
  std::set<AttemptNumber> delayed_;
  std::set<AttemptNumber> denied_;
  std::set<AttemptNumber> lost_;
  std::set<RequestFingerprint> quarantined_;
};

// A client in a fleet of three instances, each of which may be the dispatcher.
class ClientOfADispatcher : public testing::Test
{
protected:
  ClientOfADispatcher()
  {
    client_.SetListener(recorded_);
    std::map<std::string, FleetPeer> peers;
    for (const auto* address : { "10.0.0.1:9", "10.0.0.2:9", "10.0.0.3:9" }) {
      peers[address] = { address, "hall", 0.5 };
    }
    client_.SetServices(now_, { "plain" });
    client_.SetPeers(now_, peers);
  }

  void LinkUp() { client_.OnLinkUp(now_, recorded_.connected_.back()); }

  void Request(AttemptNumber aNumber)
  {
    PermitRequest request;
    request.number_ = aNumber;
    request.service_ = "plain";
    request.timeLeft_ = seconds(1);
    client_.RequestPermit(now_, request);
  }

  void Pass(Duration aTime)
  {
    const auto end = now_ + aTime;
    while (now_ < end) {
      now_ += milliseconds(50);
      client_.OnTime(now_);
    }
  }

  Instant now_ = seconds(100);
  NullEventSink events_;
  RecordedClient recorded_;
  PermitClient client_{ recorded_, events_ };
};

TEST_F(ClientOfADispatcher, LinkIsNotUpYet_PermitsCannotBeRequested)
{
  ASSERT_EQ(recorded_.connected_.size(), 1U);
  EXPECT_FALSE(client_.CanRequestPermit("plain", ""));
  LinkUp();
  EXPECT_TRUE(client_.CanRequestPermit("plain", ""));
  EXPECT_FALSE(client_.CanRequestPermit("other", ""));
}

TEST_F(ClientOfADispatcher, PermitArrives_IsReportedOnce)
{
  LinkUp();
  Request(5);
  client_.OnMessage(now_, recorded_.connected_[0], Permit{ 5, "s1" });
  client_.OnMessage(now_, recorded_.connected_[0], Permit{ 5, "s2" });
  EXPECT_EQ(recorded_.permits_[5], "s1");
  // The second permit is returned unused.
  const auto* end = std::get_if<SendEnd>(&recorded_.sent_.back().second);
  ASSERT_NE(end, nullptr);
  EXPECT_EQ(end->result_, SendResult::Cancelled);
}

TEST_F(ClientOfADispatcher, PermitArrivesAfterWithdrawal_IsReturned)
{
  LinkUp();
  Request(5);
  client_.Withdraw(5);
  client_.OnMessage(now_, recorded_.connected_[0], Permit{ 5, "s1" });
  EXPECT_TRUE(recorded_.permits_.empty());
  EXPECT_NE(std::get_if<SendEnd>(&recorded_.sent_.back().second), nullptr);
}

TEST_F(ClientOfADispatcher, LinkFails_RequestsAreLostAndNextDispatcherLearnsOfRunningSends)
{
  LinkUp();
  Request(5);
  client_.OnMessage(now_, recorded_.connected_[0], Permit{ 5, "s1" });
  Request(6);
  client_.OnLinkDown(now_, recorded_.connected_[0]);
  EXPECT_EQ(recorded_.lost_, std::set<AttemptNumber>{ 6 });
  ASSERT_EQ(recorded_.connected_.size(), 2U);
  EXPECT_NE(recorded_.connected_[1], recorded_.connected_[0]);
  recorded_.sent_.clear();
  LinkUp();
  ASSERT_EQ(recorded_.sent_.size(), 1U);
  const auto* notice = std::get_if<SendNotice>(&recorded_.sent_[0].second);
  ASSERT_NE(notice, nullptr);
  EXPECT_EQ(notice->server_, "s1");
  client_.ReportSendEnd({ 5, SendResult::Answered, milliseconds(10), std::nullopt });
  EXPECT_NE(std::get_if<SendEnd>(&recorded_.sent_.back().second), nullptr);
}

TEST_F(ClientOfADispatcher, DispatcherDoesNotAnswer_IsNotUsedAndThenFailedOver)
{
  LinkUp();
  Request(5);
  client_.OnPermitTimeout(now_, "plain", "");
  EXPECT_FALSE(client_.CanRequestPermit("plain", ""));
  Pass(milliseconds(200));
  EXPECT_NE(std::get_if<DispatcherProbe>(&recorded_.sent_.back().second), nullptr);
  EXPECT_TRUE(recorded_.disconnected_.empty());
  Pass(milliseconds(300));
  EXPECT_TRUE(recorded_.disconnected_.contains(recorded_.connected_[0]));
  EXPECT_EQ(recorded_.connected_.size(), 2U);
}

TEST_F(ClientOfADispatcher, DispatcherAnswersAgain_IsUsedAgain)
{
  LinkUp();
  Request(5);
  client_.OnPermitTimeout(now_, "plain", "");
  Pass(milliseconds(100));
  client_.OnMessage(now_, recorded_.connected_[0], DispatcherSign{});
  EXPECT_TRUE(client_.CanRequestPermit("plain", ""));
  Pass(seconds(2));
  EXPECT_TRUE(recorded_.disconnected_.empty());
}

TEST_F(ClientOfADispatcher, FormerDispatcherReturns_IsSelectedAgain)
{
  LinkUp();
  client_.OnLinkDown(now_, recorded_.connected_[0]);
  Pass(milliseconds(1100));
  EXPECT_EQ(recorded_.connected_.back(), recorded_.connected_.front());
}

TEST_F(ClientOfADispatcher, DispatcherChanges_CrashesAndQuarantinesAreReportedToTheNext)
{
  constexpr RequestFingerprint kCrashing = 7;
  constexpr RequestFingerprint kQuarantined = 8;
  LinkUp();
  const auto first = recorded_.connected_.back();
  client_.ReportSend(now_, { 1, "plain", "s1", Duration(0), seconds(1), kCrashing });
  SendEnd end{ 1, SendResult::Broken, milliseconds(50), std::nullopt };
  end.isConnectionLost_ = true;
  end.incarnation_ = 1700;
  client_.ReportSendEnd(end);
  client_.OnMessage(now_, first, Quarantine{ kQuarantined, seconds(20), 2 });
  EXPECT_EQ(recorded_.quarantined_, std::set<RequestFingerprint>{ kQuarantined });
  EXPECT_GT(client_.RemainingQuarantine(now_, kQuarantined), Duration(0));
  EXPECT_EQ(client_.RemainingQuarantine(now_, kCrashing), Duration(0));
  now_ += milliseconds(200);
  client_.OnLinkDown(now_, first);
  recorded_.sent_.clear();
  LinkUp();
  ASSERT_NE(recorded_.connected_.back(), first);
  const std::vector<std::pair<std::string, MessageToDispatcher>> expected{
    { recorded_.connected_.back(),
      CrashNotice{ kCrashing, "s1", 1700, milliseconds(200), milliseconds(150) } },
    { recorded_.connected_.back(), Quarantine{ kQuarantined, milliseconds(19800), 2 } }
  };
  EXPECT_EQ(recorded_.sent_, expected);
}

} // namespace

} // namespace latchslip
