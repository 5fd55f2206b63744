#include "../SilentEvents.h"
#include "LibPermit/PermitClient.h"

#include <gtest/gtest.h>
#include <set>

namespace latchslip {

namespace {

// Writes down what a client says and what its asks came to.
class RecordedClient
  : public PermitClientActions
  , public PermitListener
{
public:
  void Tell(const std::string& aDispatcher, const MessageToDispatcher& aMessage) override
  {
    told_.emplace_back(aDispatcher, aMessage);
  }
  void Dial(const std::string& aDispatcher) override { dialled_.push_back(aDispatcher); }
  void HangUp(const std::string& aDispatcher) override { hungUp_.insert(aDispatcher); }
  void OnPermit(Instant, AttemptNumber aNumber, const std::string& aServer) override
  {
    permits_[aNumber] = aServer;
  }
  void OnPermitDelayed(Instant, AttemptNumber aNumber) override { delayed_.insert(aNumber); }
  void OnPermitDenied(Instant, AttemptNumber aNumber, Duration) override
  {
    denied_.insert(aNumber);
  }
  void OnAskLost(Instant, AttemptNumber aNumber) override { lost_.insert(aNumber); }

  std::vector<std::pair<std::string, MessageToDispatcher>> told_;
  std::vector<std::string> dialled_;
  std::set<std::string> hungUp_;
  std::map<AttemptNumber, std::string> permits_;
  std::set<AttemptNumber> delayed_;
  std::set<AttemptNumber> denied_;
  std::set<AttemptNumber> lost_;
};

// A client in a fleet of three instances, any of which may be the dispatcher.
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

  void LinkUp() { client_.OnLinkUp(now_, recorded_.dialled_.back()); }

  void Ask(AttemptNumber aNumber)
  {
    PermitAsk ask;
    ask.number_ = aNumber;
    ask.service_ = "plain";
    ask.timeLeft_ = seconds(1);
    client_.RequestPermit(now_, ask);
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
  SilentEvents events_;
  RecordedClient recorded_;
  PermitClient client_{ recorded_, events_ };
};

TEST_F(ClientOfADispatcher, LinkIsNotUpYet_CannotBeAsked)
{
  ASSERT_EQ(recorded_.dialled_.size(), 1U);
  EXPECT_FALSE(client_.CanAsk("plain"));
  LinkUp();
  EXPECT_TRUE(client_.CanAsk("plain"));
  EXPECT_FALSE(client_.CanAsk("other"));
}

TEST_F(ClientOfADispatcher, PermitComes_IsHandedOnOnce)
{
  LinkUp();
  Ask(5);
  client_.OnMessage(now_, recorded_.dialled_[0], Permit{ 5, "s1" });
  client_.OnMessage(now_, recorded_.dialled_[0], Permit{ 5, "s2" });
  EXPECT_EQ(recorded_.permits_[5], "s1");
  // The second one is given back.
  const auto* end = std::get_if<SendEnd>(&recorded_.told_.back().second);
  ASSERT_NE(end, nullptr);
  EXPECT_EQ(end->result_, SendResult::Cancelled);
}

TEST_F(ClientOfADispatcher, PermitComesAfterTheAskWasWithdrawn_IsGivenBack)
{
  LinkUp();
  Ask(5);
  client_.Withdraw(5);
  client_.OnMessage(now_, recorded_.dialled_[0], Permit{ 5, "s1" });
  EXPECT_TRUE(recorded_.permits_.empty());
  EXPECT_NE(std::get_if<SendEnd>(&recorded_.told_.back().second), nullptr);
}

TEST_F(ClientOfADispatcher, LinkBreaks_AsksAreLostAndTheNextOneIsToldWhatIsUnderWay)
{
  LinkUp();
  Ask(5);
  client_.OnMessage(now_, recorded_.dialled_[0], Permit{ 5, "s1" });
  Ask(6);
  client_.OnLinkDown(now_, recorded_.dialled_[0]);
  EXPECT_EQ(recorded_.lost_, std::set<AttemptNumber>{ 6 });
  ASSERT_EQ(recorded_.dialled_.size(), 2U);
  EXPECT_NE(recorded_.dialled_[1], recorded_.dialled_[0]);
  recorded_.told_.clear();
  LinkUp();
  ASSERT_EQ(recorded_.told_.size(), 1U);
  const auto* notice = std::get_if<SendNotice>(&recorded_.told_[0].second);
  ASSERT_NE(notice, nullptr);
  EXPECT_EQ(notice->server_, "s1");
  client_.TellEnd({ 5, SendResult::Answered, milliseconds(10), std::nullopt });
  EXPECT_NE(std::get_if<SendEnd>(&recorded_.told_.back().second), nullptr);
}

TEST_F(ClientOfADispatcher, DispatcherFallsSilent_IsNotAskedAndThenPassedOver)
{
  LinkUp();
  Ask(5);
  client_.OnPermitTimeout(now_, "plain");
  EXPECT_FALSE(client_.CanAsk("plain"));
  Pass(milliseconds(200));
  EXPECT_NE(std::get_if<DispatcherProbe>(&recorded_.told_.back().second), nullptr);
  EXPECT_TRUE(recorded_.hungUp_.empty());
  Pass(milliseconds(300));
  EXPECT_TRUE(recorded_.hungUp_.contains(recorded_.dialled_[0]));
  EXPECT_EQ(recorded_.dialled_.size(), 2U);
}

TEST_F(ClientOfADispatcher, SilentDispatcherAnswersAgain_IsAskedAgain)
{
  LinkUp();
  Ask(5);
  client_.OnPermitTimeout(now_, "plain");
  Pass(milliseconds(100));
  client_.OnMessage(now_, recorded_.dialled_[0], DispatcherSign{});
  EXPECT_TRUE(client_.CanAsk("plain"));
  Pass(seconds(2));
  EXPECT_TRUE(recorded_.hungUp_.empty());
}

TEST_F(ClientOfADispatcher, FormerDispatcherIsBack_ItIsTheDispatcherAgain)
{
  LinkUp();
  client_.OnLinkDown(now_, recorded_.dialled_[0]);
  Pass(milliseconds(1100));
  EXPECT_EQ(recorded_.dialled_.back(), recorded_.dialled_.front());
}

} // namespace

} // namespace latchslip
