#include "platform/TableFollower.h"

#include <gtest/gtest.h>

namespace latchslip::platform {

namespace {

// Answers questions by hand.
class AskedStore : public StoreQuestions
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
  bool IsReturnAwaited(FleetTable) const override { return isReturnAwaited_; }
  void OnReadAgain(FleetTable, RowVersion aAfter) override { readAgainAfter_ = aAfter; }
  void OnMalformed(const FieldError&) override { ++malformed_; }

  // An empty epoch is not named.
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
  RowVersion readAgainAfter_ = 0;
  bool isReturnAwaited_ = false;
};

class FollowerOfServers : public testing::Test
{
protected:
  FollowerOfServers()
  {
    follower_.Follow(StorePollMode::LongWaits, 0);
    store_.Answer(200, R"({"rows":[{"key":"s1","value":"YQ==","ver":80}],"ver":90})");
    RunUntilAsked();
  }

  void RunUntilAsked()
  {
    while (!store_.callback_) {
      context_.restart();
      context_.run_one();
    }
  }

  // The version after which the last question asked.
  std::string LastAfter() const
  {
    const auto& target = store_.targets_.back();
    const auto at = target.find("after=");
    return at == std::string::npos ? "" : target.substr(at + 6, target.find('&', at) - at - 6);
  }

  boost::asio::io_context context_;
  AskedStore store_;
  TableFollower follower_{ context_, store_, FleetTable::Servers };
};

TEST_F(FollowerOfServers, TableIsRead_ChangesAfterItAreAskedFor)
{
  ASSERT_EQ(store_.views_.size(), 1U);
  EXPECT_TRUE(store_.views_[0].isWhole_);
  EXPECT_EQ(LastAfter(), "90");
}

TEST_F(FollowerOfServers, AnswersWithoutRowsFollowEachOther_TheyDoNotMovePastHiddenChanges)
{
  store_.Answer(200, R"({"rows":[],"ver":100})");
  RunUntilAsked();
  store_.Answer(200, R"({"rows":[],"ver":101})");
  RunUntilAsked();
  EXPECT_EQ(LastAfter(), "90");
}

TEST_F(FollowerOfServers, NothingChangesForSomeTime_OldVersionIsTakenForGranted)
{
  store_.Answer(200, R"({"rows":[],"ver":100})");
  RunUntilAsked();
  store_.now_ += milliseconds(2600);
  store_.Answer(200, R"({"rows":[],"ver":110})");
  RunUntilAsked();
  store_.Answer(200, R"({"rows":[],"ver":111})");
  RunUntilAsked();
  EXPECT_EQ(LastAfter(), "90");
  store_.now_ += milliseconds(2600);
  store_.Answer(200, R"({"rows":[],"ver":120})");
  RunUntilAsked();
  EXPECT_EQ(LastAfter(), "110");
}

TEST_F(FollowerOfServers, PlacerRelays_NothingMoreIsAsked)
{
  follower_.Follow(StorePollMode::ConfigurationOnly, 95);
  EXPECT_FALSE(store_.callback_);
  follower_.Follow(StorePollMode::LongWaits, 95);
  EXPECT_EQ(LastAfter(), "95");
}

TEST(FollowerOfTheConfiguration, PlacerRelays_GoesOnAsking)
{
  boost::asio::io_context context;
  AskedStore store;
  TableFollower follower(context, store, FleetTable::Configuration);
  follower.Follow(StorePollMode::LongWaits, 0);
  follower.Follow(StorePollMode::ConfigurationOnly, 0);
  EXPECT_TRUE(store.callback_);
  store.Answer(200, R"({"rows":[{"key":"config","value":"YQ==","ver":80}],"ver":90})");
  while (!store.callback_) {
    context.restart();
    context.run_one();
  }
  // A long question, since the placer's answers name what it misses.
  EXPECT_NE(store.targets_.back().find("waitMs=8000"), std::string::npos);
  follower.Follow(StorePollMode::LongWaits, 80);
  EXPECT_NE(store.targets_.back().find("after=80&waitMs=4000"), std::string::npos);
}

TEST_F(FollowerOfServers, StoreFailsAndAnotherAwaitsItsReturn_NothingIsAskedUntilThen)
{
  store_.isReturnAwaited_ = true;
  const auto asked = store_.targets_.size();
  store_.Answer(503, "");
  context_.restart();
  context_.run();
  EXPECT_EQ(store_.targets_.size(), asked);
  follower_.OnStoreReturned();
  EXPECT_EQ(store_.targets_.size(), asked + 1);
  EXPECT_EQ(LastAfter(), "90");
}

TEST_F(FollowerOfServers, HistoryIsGone_TableIsReadAgain)
{
  store_.Answer(410, "");
  EXPECT_NE(store_.targets_.back().find("/api/rows-get"), std::string::npos);
  EXPECT_EQ(store_.readAgainAfter_, 90U);
}

TEST_F(FollowerOfServers, AnswerToAQuestionIsOfTheNextEpoch_TableIsReadAgainAndCountsAsNewer)
{
  store_.Answer(200, R"({"rows":[{"key":"s1","value":"Yg==","ver":91}],"ver":95})", "2");
  ASSERT_NE(store_.targets_.back().find("/api/rows-get"), std::string::npos);
  store_.Answer(200, R"({"rows":[{"key":"s1","value":"Yg==","ver":41}],"ver":60})", "2");
  RunUntilAsked();
  ASSERT_EQ(store_.views_.size(), 2U);
  EXPECT_TRUE(store_.views_[1].isWhole_);
  EXPECT_GT(store_.views_[1].version_, store_.views_[0].version_);
  EXPECT_GT(store_.views_[1].rows_[0].row_.version_, store_.views_[0].rows_[0].row_.version_);
  // The store is asked in its own numbers.
  EXPECT_EQ(LastAfter(), "60");
}

TEST_F(FollowerOfServers, AnswerOfAFormerEpochComesLate_IsLeftOutAndAskedForAgain)
{
  store_.Answer(410, "", "2");
  store_.Answer(200, R"({"rows":[],"ver":60})", "2");
  RunUntilAsked();
  const auto views = store_.views_.size();
  store_.Answer(200, R"({"rows":[{"key":"s1","value":"Yg==","ver":95}],"ver":95})", "1");
  EXPECT_EQ(store_.views_.size(), views);
  EXPECT_EQ(store_.failures_, 1);
  RunUntilAsked();
  EXPECT_EQ(LastAfter(), "60");
}

TEST_F(FollowerOfServers, HistoryIsGoneSinceTheStoreReturned_WhatIsReadCountsAsNewer)
{
  store_.Answer(410, "", "2");
  store_.Answer(200, R"({"rows":[],"ver":60})", "2");
  RunUntilAsked();
  ASSERT_EQ(store_.views_.size(), 2U);
  EXPECT_GT(store_.views_[1].version_, store_.views_[0].version_);
}

TEST_F(FollowerOfServers, RowsChange_ViewBeginsAtWhatWasAsked)
{
  store_.Answer(200, R"({"rows":[{"key":"s1","ver":95,"removed":true}],"ver":99})");
  ASSERT_EQ(store_.views_.size(), 2U);
  EXPECT_EQ(store_.views_[1].base_, 90U);
  EXPECT_EQ(store_.views_[1].version_, 95U);
  EXPECT_TRUE(store_.views_[1].rows_[0].isRemoved_);
}

TEST_F(FollowerOfServers, AnswerCannotBeRead_IsCountedAndAskedAgain)
{
  store_.Answer(200, "garbage");
  EXPECT_EQ(store_.malformed_, 1);
  EXPECT_EQ(store_.failures_, 1);
  RunUntilAsked();
  EXPECT_EQ(LastAfter(), "90");
}

} // namespace

} // namespace latchslip::platform
