#include "../NullEventSink.h"
#include "LibPermit/PermitClient.h"

#include <gtest/gtest.h>
#include <map>
#include <set>

namespace latchslip {

namespace {

// Records the messages by dispatcher. Permit requests that are lost are made again at once, under
// numbers 100 higher.
class RecordedShards
  : public PermitClientActions
  , public PermitListener
{
public:
  void Send(const std::string& aDispatcher, const MessageToDispatcher& aMessage) override
  {
    sent_[aDispatcher].push_back(aMessage);
  }
  void Connect(const std::string& aDispatcher) override { connected_.insert(aDispatcher); }
  void Disconnect(const std::string&) override {}
  void OnPermit(Instant, AttemptNumber aNumber, const std::string&) override
  {
    permitted_.insert(aNumber);
  }
  void OnPermitDelayed(Instant, AttemptNumber) override {}
  void OnPermitDenied(Instant, AttemptNumber, Duration, bool) override {}
  void OnPermitRequestLost(Instant aNow, AttemptNumber aNumber) override
  {
    lost_.insert(aNumber);
    PermitRequest request;
    request.number_ = aNumber + 100;
    request.service_ = "keyed";
    request.server_ = servers_.at(aNumber);
    request.timeLeft_ = seconds(1);
    client_->RequestPermit(aNow, request);
  }
  void OnQuarantine(Instant, RequestFingerprint) override {}

  // The messages of one type that were sent to the dispatcher.
  template<typename Message>
  std::vector<Message> SentTo(const std::string& aDispatcher)
  {
    std::vector<Message> messages;
    for (const auto& message : sent_[aDispatcher]) {
      if (const auto* wanted = std::get_if<Message>(&message)) {
        messages.push_back(*wanted);
      }
    }
    return messages;
  }

  PermitClient* client_ = nullptr;
  std::map<std::string, std::vector<MessageToDispatcher>> sent_;
  std::set<std::string> connected_;
  std::set<AttemptNumber> permitted_;
  std::set<AttemptNumber> lost_;
  // The server that each request needs.
  std::map<AttemptNumber, std::string> servers_;
};

// A client in a fleet of six instances. Request and server of number n belong to shard n.
class ClientOfShards : public testing::Test
{
protected:
  static constexpr RequestFingerprint kFingerprint = 7;

  ClientOfShards()
  {
    recorded_.client_ = &client_;
    client_.SetListener(recorded_);
    for (const auto* address : { "i1:9", "i2:9", "i3:9", "i4:9", "i5:9", "i6:9" }) {
      peers_[address] = { address, "hall", 0.5 };
    }
    for (std::size_t number = 0; serverOf_.size() < kPermitShards; ++number) {
      const auto id = "server-" + std::to_string(number);
      serverOf_.try_emplace(ShardOfServer(id, kPermitShards), id);
    }
  }

  void Start(const DispatcherCounts& aCounts)
  {
    client_.SetDispatcherCounts(now_, aCounts);
    client_.SetServices(now_, { "keyed" });
    client_.SetPeers(now_, peers_);
    LinksUp();
  }

  void SetCounts(const DispatcherCounts& aCounts)
  {
    client_.SetDispatcherCounts(now_, aCounts);
    LinksUp();
  }

  // Brings up the links that the client has asked for.
  void LinksUp()
  {
    for (const auto& address : std::exchange(recorded_.connected_, {})) {
      client_.OnLinkUp(now_, address);
    }
  }

  // The dispatcher of each shard for that number of dispatchers.
  std::map<ShardNumber, std::string> Dispatchers(std::size_t aDispatchers) const
  {
    DispatcherAssignment assignment;
    assignment.Assign(peers_, { "keyed" }, { { "keyed", aDispatchers } });
    std::map<ShardNumber, std::string> dispatchers;
    for (ShardNumber shard = 0; shard < kPermitShards; ++shard) {
      dispatchers[shard] = assignment.CandidatesFor("keyed", shard).at(0);
    }
    return dispatchers;
  }

  void Request(ShardNumber aShard) { RequestAs(aShard, aShard); }

  void RequestAs(AttemptNumber aNumber, ShardNumber aShard)
  {
    PermitRequest request;
    request.number_ = aNumber;
    request.service_ = "keyed";
    request.server_ = serverOf_.at(aShard);
    request.timeLeft_ = seconds(1);
    request.fingerprint_ = kFingerprint;
    recorded_.servers_[aNumber] = request.server_;
    client_.RequestPermit(now_, request);
  }

  Instant now_ = seconds(100);
  NullEventSink events_;
  RecordedShards recorded_;
  PermitClient client_{ recorded_, events_ };
  std::map<std::string, FleetPeer> peers_;
  // A server of each shard.
  std::map<ShardNumber, std::string> serverOf_;
};

TEST_F(ClientOfShards, RequestsForServersOfAllShards_EachGoesToTheDispatcherOfItsShard)
{
  Start({ { "keyed", 4 } });
  const auto dispatchers = Dispatchers(4);
  for (const auto& [shard, dispatcher] : dispatchers) {
    recorded_.sent_.clear();
    Request(shard);
    ASSERT_EQ(recorded_.sent_.size(), 1U);
    EXPECT_EQ(recorded_.SentTo<PermitRequest>(dispatcher).size(), 1U);
    EXPECT_TRUE(client_.CanRequestPermit("keyed", serverOf_.at(shard)));
  }
}

// Guards against one slow dispatcher that stops permit requests to all.
TEST_F(ClientOfShards, DispatcherDoesNotAnswer_OnlyItsShardsAreNotRequested)
{
  Start({ { "keyed", 4 } });
  const auto dispatchers = Dispatchers(4);
  client_.OnPermitTimeout(now_, "keyed", serverOf_.at(3));
  for (const auto& [shard, dispatcher] : dispatchers) {
    EXPECT_EQ(client_.CanRequestPermit("keyed", serverOf_.at(shard)),
              dispatcher != dispatchers.at(3));
  }
}

// Guards against requests that wait for a dead dispatcher until their timeout, and against a loss
// that ends the requests of other shards.
TEST_F(ClientOfShards, DispatcherDiesWithQueuedRequests_OnlyTheyAreRequestedAgainAtOnce)
{
  Start({ { "keyed", 4 } });
  const auto dispatchers = Dispatchers(4);
  for (const auto& [shard, dispatcher] : dispatchers) {
    Request(shard);
  }
  const auto dead = dispatchers.at(5);
  recorded_.sent_.clear();
  client_.OnLinkDown(now_, dead);
  std::size_t requests = 0;
  for (const auto& [shard, dispatcher] : dispatchers) {
    EXPECT_EQ(recorded_.lost_.contains(shard), dispatcher == dead);
    requests += dispatcher == dead ? 1 : 0;
  }
  EXPECT_TRUE(recorded_.sent_[dead].empty());
  for (const auto& [address, messages] : recorded_.sent_) {
    requests -= recorded_.SentTo<PermitRequest>(address).size();
  }
  EXPECT_EQ(requests, 0U);
}

// Guards against a new dispatcher that takes a busy server for a free one.
TEST_F(ClientOfShards, DispatcherDies_NextOneLearnsOfTheSendsOfItsShards)
{
  Start({ { "keyed", 4 } });
  const auto dispatchers = Dispatchers(4);
  const auto dead = dispatchers.at(5);
  std::set<AttemptNumber> expected;
  for (const auto& [shard, dispatcher] : dispatchers) {
    Request(shard);
    client_.OnMessage(now_, dispatcher, Permit{ shard, serverOf_.at(shard) });
    if (dispatcher == dead) {
      expected.insert(shard);
    }
  }
  recorded_.sent_.clear();
  client_.OnLinkDown(now_, dead);
  std::set<AttemptNumber> reported;
  for (const auto& [address, messages] : recorded_.sent_) {
    for (const auto& notice : recorded_.SentTo<SendNotice>(address)) {
      reported.insert(notice.number_);
    }
  }
  EXPECT_EQ(reported, expected);
  client_.ReportSendEnd({ 5, SendResult::Answered, milliseconds(10), std::nullopt });
  EXPECT_TRUE(recorded_.sent_[dead].empty());
}

// Guards against a request that is sent twice: by a permit of the former dispatcher as well.
TEST_F(ClientOfShards, OneMoreDispatcher_MovedRequestsAreWithdrawnAndLatePermitsReturned)
{
  Start({ { "keyed", 1 } });
  const auto before = Dispatchers(1);
  const auto after = Dispatchers(2);
  for (const auto& [shard, dispatcher] : before) {
    Request(shard);
  }
  recorded_.sent_.clear();
  SetCounts({ { "keyed", 2 } });
  std::set<AttemptNumber> moved;
  for (const auto& [shard, dispatcher] : after) {
    if (dispatcher != before.at(shard)) {
      moved.insert(shard);
    }
  }
  ASSERT_FALSE(moved.empty());
  EXPECT_EQ(recorded_.lost_, moved);
  const auto former = before.at(0);
  EXPECT_EQ(recorded_.SentTo<PermitWithdrawal>(former).size(), moved.size());
  recorded_.sent_.clear();
  const auto first = *moved.begin();
  client_.OnMessage(now_, former, Permit{ first, serverOf_.at(static_cast<ShardNumber>(first)) });
  EXPECT_FALSE(recorded_.permitted_.contains(first));
  EXPECT_EQ(recorded_.SentTo<SendEnd>(former), std::vector<SendEnd>{ CancelledSend(first) });
}

// Guards against sends that only a dispatcher of a former shard knows.
TEST_F(ClientOfShards, LoadManagementIsTurnedOff_TheOneDispatcherLearnsOfAllSends)
{
  Start({ { "keyed", 4 } });
  const auto dispatchers = Dispatchers(4);
  for (const auto& [shard, dispatcher] : dispatchers) {
    Request(shard);
    client_.OnMessage(now_, dispatcher, Permit{ shard, serverOf_.at(shard) });
  }
  recorded_.sent_.clear();
  SetCounts({});
  ASSERT_EQ(recorded_.sent_.size(), 1U);
  EXPECT_EQ(recorded_.SentTo<SendNotice>(recorded_.sent_.begin()->first).size(), kPermitShards);
}

// Guards against a crashing request that each dispatcher takes for its first suspect.
TEST_F(ClientOfShards, ServerCrashes_AllDispatchersOfTheServiceLearnOfIt)
{
  Start({ { "keyed", 4 } });
  const auto dispatchers = Dispatchers(4);
  Request(5);
  client_.OnMessage(now_, dispatchers.at(5), Permit{ 5, serverOf_.at(5) });
  recorded_.sent_.clear();
  SendEnd end{ 5, SendResult::Broken, milliseconds(50), std::nullopt };
  end.isConnectionLost_ = true;
  end.incarnation_ = 1700;
  client_.ReportSendEnd(end);
  const CrashNotice notice{ kFingerprint, serverOf_.at(5), 1700, milliseconds(50), Duration(0) };
  std::set<std::string> instances;
  for (const auto& [shard, dispatcher] : dispatchers) {
    if (instances.insert(dispatcher).second && dispatcher != dispatchers.at(5)) {
      EXPECT_EQ(recorded_.SentTo<CrashNotice>(dispatcher), std::vector<CrashNotice>{ notice });
    }
  }
  EXPECT_EQ(recorded_.SentTo<SendEnd>(dispatchers.at(5)), std::vector<SendEnd>{ end });
}

// Guards against sends that no dispatcher knows after a resignation, and against a resigned
// dispatcher that is chosen again at once.
TEST_F(ClientOfShards, DispatcherResigns_ItsShardsAndSendsMoveForTenSeconds)
{
  client_.SetLoadManagement(true);
  Start({ { "keyed", 4 } });
  const auto dispatchers = Dispatchers(4);
  const auto slow = dispatchers.at(5);
  std::size_t sends = 0;
  for (const auto& [shard, dispatcher] : dispatchers) {
    Request(shard);
    client_.OnMessage(now_, dispatcher, Permit{ shard, serverOf_.at(shard) });
    sends += dispatcher == slow ? 1 : 0;
  }
  recorded_.sent_.clear();
  client_.OnMessage(now_, slow, DispatcherResignation{ seconds(10) });
  std::size_t reported = 0;
  for (const auto& [address, messages] : recorded_.sent_) {
    reported += recorded_.SentTo<SendNotice>(address).size();
  }
  EXPECT_EQ(reported, sends);
  EXPECT_TRUE(recorded_.sent_[slow].empty());
  for (const auto wait : { milliseconds(9'900), milliseconds(200) }) {
    now_ += wait;
    client_.OnTime(now_);
    recorded_.sent_.clear();
    Request(5);
    EXPECT_EQ(recorded_.SentTo<PermitRequest>(slow).empty(), wait == milliseconds(9'900));
  }
}

// Guards against a service that no instance dispatches because all have resigned.
TEST_F(ClientOfShards, AllDispatchersResign_EachShardHasADispatcherStill)
{
  client_.SetLoadManagement(true);
  Start({ { "keyed", 4 } });
  for (const auto& [address, peer] : peers_) {
    client_.OnLinkUp(now_, address);
    client_.OnMessage(now_, address, DispatcherResignation{ seconds(10) });
  }
  LinksUp();
  for (const auto& [shard, server] : serverOf_) {
    EXPECT_TRUE(client_.CanRequestPermit("keyed", server));
  }
}

TEST_F(ClientOfShards, FirstAnswersAreLate_ComplainsOnceASecond)
{
  client_.SetLoadManagement(true);
  Start({ { "keyed", 4 } });
  const auto slow = Dispatchers(4).at(5);
  for (AttemptNumber number = 1; number <= 60; ++number) {
    RequestAs(number, 5);
    now_ += milliseconds(50);
    client_.OnMessage(now_, slow, PermitDelay{ number });
    client_.Withdraw(number);
    client_.OnTime(now_);
  }
  const auto complaints = recorded_.SentTo<DispatcherComplaint>(slow).size();
  EXPECT_GE(complaints, 2U);
  EXPECT_LE(complaints, 3U);
}

// Guards against shards without a dispatcher while one with late answers is alive.
TEST_F(ClientOfShards, OneDispatcherResignsAndAllOthersFail_ItIsUsed)
{
  client_.SetLoadManagement(true);
  Start({ { "keyed", 2 } });
  const auto& server = serverOf_.at(0);
  const auto slow = Dispatchers(2).at(0);
  client_.OnMessage(now_, slow, DispatcherResignation{ seconds(10) });
  for (const auto& [address, peer] : peers_) {
    if (address != slow) {
      client_.OnLinkDown(now_, address);
    }
  }
  EXPECT_TRUE(client_.CanRequestPermit("keyed", server));
}

TEST_F(ClientOfShards, LoadManagementIsOff_NoComplaintIsSentAndResignationsDoNotCount)
{
  Start({});
  const auto dispatcher = Dispatchers(1).at(0);
  for (AttemptNumber number = 1; number <= 60; ++number) {
    RequestAs(number, 5);
    now_ += milliseconds(50);
    client_.Withdraw(number);
    client_.OnTime(now_);
  }
  client_.OnMessage(now_, dispatcher, DispatcherResignation{ seconds(10) });
  EXPECT_TRUE(recorded_.SentTo<DispatcherComplaint>(dispatcher).empty());
  recorded_.sent_.clear();
  Request(5);
  EXPECT_EQ(recorded_.SentTo<PermitRequest>(dispatcher).size(), 1U);
}

} // namespace

} // namespace latchslip
