#include "platform/TablePoller.h"

#include <gtest/gtest.h>

namespace latchslip::platform {

namespace {

// TablePollerHost whose requests the test answers by hand.
class ManualStore : public TablePollerHost
{
public:
  ExchangeId Send(StoreCallKind, HttpRequest aRequest, Duration, HttpCallback aCallback) override
  {
    targets_.push_back(aRequest.target_);
    callback_ = std::move(aCallback);
    return targets_.size();
  }
  void Cancel(ExchangeId) override { callback_ = nullptr; }
  Instant Now() const override { return now_; }
  bool IsStopped() const override { return false; }
  void OnView(const TableView& aView) override { views_.push_back(aView); }
  void OnFailure(FleetTable) override { ++failures_; }
  void OnSuccess(FleetTable) override {}
  bool IsRecoveryPolledElsewhere(FleetTable) const override { return isRecoveryPolledElsewhere_; }
  void OnTableReread(FleetTable, RowVersion aAfter) override { rereadAfter_ = aAfter; }
  void OnMalformed(const FieldError&) override { ++malformed_; }

  // An empty aEpoch leaves out the epoch header.
  void Answer(unsigned aStatus, std::string aBody, const std::string& aEpoch = "")
  {
    HttpExchange exchange;
    exchange.end_ = ExchangeEnd::Complete;
    if (!aEpoch.empty()) {
      exchange.response_.headers_.emplace_back("Store-Era", aEpoch);
    }
    exchange.response_.status_ = aStatus;
    exchange.response_.body_ = std::make_shared<const std::string>(std::move(aBody));
    const auto callback = std::exchange(callback_, nullptr);
    ASSERT_TRUE(callback);
    callback(exchange);
  }

  Instant now_ = seconds(100);
  std::vector<std::string> targets_;
  HttpCallback callback_;
  std::vector<TableView> views_;
  int failures_ = 0;
  int malformed_ = 0;
  RowVersion rereadAfter_ = 0;
  bool isRecoveryPolledElsewhere_ = false;
};

class FollowerOfServers : public testing::Test
{
protected:
  FollowerOfServers()
  {
    poller_.SetPollMode(StorePollMode::LongWaits, 0);
    store_.Answer(200, R"({"rows":[{"key":"s1","value":"YQ==","ver":80}],"ver":90})");
    RunUntilRequest();
  }

  void RunUntilRequest()
  {
    while (!store_.callback_) {
      context_.restart();
      context_.run_one();
    }
  }

  // The version after which the last request asked for changes; empty for a read.
  std::string LastRequestedVersion() const
  {
    const auto& target = store_.targets_.back();
    const auto at = target.find("after=");
    return at == std::string::npos ? "" : target.substr(at + 6, target.find('&', at) - at - 6);
  }

  boost::asio::io_context context_;
  ManualStore store_;
  TablePoller poller_{ context_, store_, FleetTable::Servers };
};

TEST_F(FollowerOfServers, TableIsRead_LaterChangesAreRequested)
{
  ASSERT_EQ(store_.views_.size(), 1U);
  EXPECT_TRUE(store_.views_[0].isWhole_);
  EXPECT_EQ(LastRequestedVersion(), "90");
}

TEST_F(FollowerOfServers, AnswersWithoutRowsFollowEachOther_TheyDoNotMovePastHiddenChanges)
{
  store_.Answer(200, R"({"rows":[],"ver":100})");
  RunUntilRequest();
  store_.Answer(200, R"({"rows":[],"ver":101})");
  RunUntilRequest();
  EXPECT_EQ(LastRequestedVersion(), "90");
}

TEST_F(FollowerOfServers, NothingChangesForSomeTime_OldVersionIsConfirmed)
{
  store_.Answer(200, R"({"rows":[],"ver":100})");
  RunUntilRequest();
  store_.now_ += milliseconds(2600);
  store_.Answer(200, R"({"rows":[],"ver":110})");
  RunUntilRequest();
  store_.Answer(200, R"({"rows":[],"ver":111})");
  RunUntilRequest();
  EXPECT_EQ(LastRequestedVersion(), "90");
  store_.now_ += milliseconds(2600);
  store_.Answer(200, R"({"rows":[],"ver":120})");
  RunUntilRequest();
  EXPECT_EQ(LastRequestedVersion(), "110");
}

TEST_F(FollowerOfServers, PlacerSendsUpdates_PollingStops)
{
  poller_.SetPollMode(StorePollMode::ConfigurationOnly, 95);
  EXPECT_FALSE(store_.callback_);
  poller_.SetPollMode(StorePollMode::LongWaits, 95);
  EXPECT_EQ(LastRequestedVersion(), "95");
}

TEST(ConfigurationPoller, PlacerSendsUpdates_ContinuesToPoll)
{
  boost::asio::io_context context;
  ManualStore store;
  TablePoller poller(context, store, FleetTable::Configuration);
  poller.SetPollMode(StorePollMode::LongWaits, 0);
  poller.SetPollMode(StorePollMode::ConfigurationOnly, 0);
  EXPECT_TRUE(store.callback_);
  store.Answer(200, R"({"rows":[{"key":"config","value":"YQ==","ver":80}],"ver":90})");
  while (!store.callback_) {
    context.restart();
    context.run_one();
  }
  // The long wait, since the placer's answers name changes that were missed.
  EXPECT_NE(store.targets_.back().find("waitMs=8000"), std::string::npos);
  poller.SetPollMode(StorePollMode::LongWaits, 80);
  EXPECT_NE(store.targets_.back().find("after=80&waitMs=1000"), std::string::npos);
}

TEST_F(FollowerOfServers, StoreFailsAndAnotherPollerProbesIt_PausesUntilRecovery)
{
  store_.isRecoveryPolledElsewhere_ = true;
  const auto requests = store_.targets_.size();
  store_.Answer(503, "");
  context_.restart();
  context_.run();
  EXPECT_EQ(store_.targets_.size(), requests);
  poller_.OnStoreRecovered();
  EXPECT_EQ(store_.targets_.size(), requests + 1);
  EXPECT_EQ(LastRequestedVersion(), "90");
}

// Guards against a poll that waits for a change at a store that is back, before it shows that.
TEST_F(FollowerOfServers, PollFails_NextPollAsksWithoutWaitingAndTheOneAfterItWaits)
{
  store_.Answer(503, "");
  RunUntilRequest();
  EXPECT_NE(store_.targets_.back().find("waitMs=0"), std::string::npos);
  store_.Answer(200, R"({"rows":[],"ver":100})");
  RunUntilRequest();
  EXPECT_NE(store_.targets_.back().find("waitMs=1000"), std::string::npos);
}

TEST_F(FollowerOfServers, HistoryIsGone_TableIsReadAgain)
{
  store_.Answer(410, "");
  EXPECT_NE(store_.targets_.back().find("/api/rows-get"), std::string::npos);
  EXPECT_EQ(store_.rereadAfter_, 90U);
}

TEST_F(FollowerOfServers, AnswerIsOfTheNextEpoch_TableIsReadAgainAndCountsAsNewer)
{
  store_.Answer(200, R"({"rows":[{"key":"s1","value":"Yg==","ver":91}],"ver":95})", "2");
  ASSERT_NE(store_.targets_.back().find("/api/rows-get"), std::string::npos);
  store_.Answer(200, R"({"rows":[{"key":"s1","value":"Yg==","ver":41}],"ver":60})", "2");
  RunUntilRequest();
  ASSERT_EQ(store_.views_.size(), 2U);
  EXPECT_TRUE(store_.views_[1].isWhole_);
  EXPECT_GT(store_.views_[1].version_, store_.views_[0].version_);
  EXPECT_GT(store_.views_[1].rows_[0].row_.version_, store_.views_[0].rows_[0].row_.version_);
  // The request uses the store's own version number, without the epoch.
  EXPECT_EQ(LastRequestedVersion(), "60");
}

TEST_F(FollowerOfServers, LateAnswerOfAFormerEpoch_IsIgnoredAndRequestedAgain)
{
  store_.Answer(410, "", "2");
  store_.Answer(200, R"({"rows":[],"ver":60})", "2");
  RunUntilRequest();
  const auto views = store_.views_.size();
  store_.Answer(200, R"({"rows":[{"key":"s1","value":"Yg==","ver":95}],"ver":95})", "1");
  EXPECT_EQ(store_.views_.size(), views);
  EXPECT_EQ(store_.failures_, 1);
  RunUntilRequest();
  EXPECT_EQ(LastRequestedVersion(), "60");
}

TEST_F(FollowerOfServers, HistoryIsGoneAfterARestore_RereadRowsCountAsNewer)
{
  store_.Answer(410, "", "2");
  store_.Answer(200, R"({"rows":[],"ver":60})", "2");
  RunUntilRequest();
  ASSERT_EQ(store_.views_.size(), 2U);
  EXPECT_GT(store_.views_[1].version_, store_.views_[0].version_);
}

TEST_F(FollowerOfServers, RowsChange_ViewBeginsAtTheRequestedVersion)
{
  store_.Answer(200, R"({"rows":[{"key":"s1","ver":95,"removed":true}],"ver":99})");
  ASSERT_EQ(store_.views_.size(), 2U);
  EXPECT_EQ(store_.views_[1].base_, 90U);
  EXPECT_EQ(store_.views_[1].version_, 95U);
  EXPECT_TRUE(store_.views_[1].rows_[0].isRemoved_);
}

TEST_F(FollowerOfServers, MalformedAnswer_IsReportedAndRequestedAgain)
{
  store_.Answer(200, "garbage");
  EXPECT_EQ(store_.malformed_, 1);
  EXPECT_EQ(store_.failures_, 1);
  RunUntilRequest();
  EXPECT_EQ(LastRequestedVersion(), "90");
}

} // namespace

} // namespace latchslip::platform
