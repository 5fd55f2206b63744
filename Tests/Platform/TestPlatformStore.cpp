#include "../LibNet/BrokenResponses.h"
#include "../LibNet/BytesServer.h"
#include "../LibNet/CuttingServer.h"
#include "../NullEventSink.h"
#include "FleetDocuments.h"
#include "LibNet/MonotonicClock.h"
#include "LibStore/StoreEpoch.h"
#include "platform/PlatformStore.h"
#include "platform/StandIn/StandInStore.h"

#include "LibKeys/KeyOwnership.h"

#include <array>
#include <cstdio>
#include <gtest/gtest.h>
#include <map>
#include <optional>
#include <random>

namespace latchslip::platform {

namespace {

constexpr int kPort = 24590;

class ClientOfAStore : public testing::Test
{
protected:
  // Writes a row on the condition that it has the version aExpected.
  StoreReply Write(const std::string& aKey, RowVersion aExpected, const std::string& aValue)
  {
    std::optional<StoreReply> reply;
    client_->Transact({ { { aKey, aExpected } }, { { aKey, aValue } } },
                      [&](const StoreReply& aReply) { reply = aReply; });
    const auto end = MonotonicNow() + seconds(3);
    while (!reply && MonotonicNow() < end) {
      context_.run_for(std::chrono::milliseconds(5));
      context_.restart();
    }
    return reply.value_or(StoreReply{ StoreStatus::Indeterminate, {} });
  }

  boost::asio::io_context context_{ 1 };
  std::unique_ptr<StandInStore> store_ = StandInStore::Create(context_, Loopback(kPort)).value();
  NullEventSink events_;
  std::unique_ptr<FleetStore> client_ = CreatePlatformStore(context_, Loopback(kPort), events_);
};

TEST_F(ClientOfAStore, StoreIsRestored_NewVersionsComeAfterAllEarlierOnes)
{
  store_->SaveCopy();
  const auto before = Write("a", 0, "1");
  ASSERT_EQ(before.status_, StoreStatus::Done);
  store_->RestoreCopy();
  const auto after = Write("a", 0, "2");
  ASSERT_EQ(after.status_, StoreStatus::Done);
  EXPECT_GT(after.rows_.front().version_, before.rows_.front().version_);
  EXPECT_EQ(NumberOf(after.rows_.front().version_), NumberOf(before.rows_.front().version_));
}

// Guards against a condition that matches by number only: after a restore the store reuses the
// number of a lost version for another writer's change.
TEST_F(ClientOfAStore, LostVersionsNumberIsReused_ConditionalWriteIsRefused)
{
  store_->SaveCopy();
  const auto lost = Write("a", 0, "ours").rows_.front().version_;
  store_->RestoreCopy();
  store_->Put("latchslip", "a", "theirs");
  ASSERT_EQ(Write("b", 0, "x").status_, StoreStatus::Done);
  EXPECT_EQ(Write("a", lost, "ours again").status_, StoreStatus::Conflict);
  const auto theirs = MakeVersion(EpochOf(lost) + 1, NumberOf(lost));
  EXPECT_EQ(Write("a", theirs, "ours now").status_, StoreStatus::Done);
}

// An instance may learn of the restore from other instances before it calls the store itself.
TEST_F(ClientOfAStore, ConditionIsOfALaterEpochThanTheLastAnswer_WriteIsCommitted)
{
  ASSERT_EQ(Write("b", 0, "x").status_, StoreStatus::Done);
  store_->SaveCopy();
  store_->RestoreCopy();
  store_->Put("latchslip", "a", "1");
  EXPECT_EQ(Write("a", MakeVersion(2, 2), "2").status_, StoreStatus::Done);
}

// Returns an ownership with two key ranges for each of aServers servers.
KeyOwnership
OwnersOf(std::size_t aServers)
{
  std::minstd_rand random(1);
  KeyOwnership ownership{ "rates", 1000000, {}, 0 };
  const auto ranges = 2 * aServers;
  for (std::size_t range = 0; range < ranges; ++range) {
    const auto first = range * (kLastKey + 1) / ranges;
    const auto next = (range + 1) * (kLastKey + 1) / ranges;
    std::string owner = "i-";
    std::minstd_rand digits(static_cast<unsigned>(1 + range / 2));
    for (int digit = 0; digit < 10; ++digit) {
      owner += "0123456789abcdef"[digits() % 16];
    }
    ownership.ranges_.push_back({ static_cast<KeyNumber>(first),
                                  static_cast<KeyNumber>(next - 1),
                                  owner,
                                  1000000 + random() % 100000,
                                  "" });
  }
  return ownership;
}

TEST_F(ClientOfAStore, OwnersOfManyServers_AreWrittenAndReadWhole)
{
  for (const std::size_t servers : { 10, 400, 3500, 10000 }) {
    const auto key = "ownership/" + std::to_string(servers);
    const auto value = SerializeOwnership(OwnersOf(servers));
    const auto first = Write(key, 0, "{}");
    ASSERT_EQ(Write(key, first.rows_.front().version_, value).status_, StoreStatus::Done)
      << servers;
    // A writer with an outdated version receives the current row.
    const auto conflict = Write(key, first.rows_.front().version_, "{}");
    ASSERT_EQ(conflict.status_, StoreStatus::Conflict);
    ASSERT_EQ(conflict.rows_.size(), 1U) << servers;
    EXPECT_EQ(conflict.rows_.front().value_, value);
  }
}

// Collects the rows of the instances' own table.
class FleetRows : public FleetStoreListener
{
public:
  void OnView(const TableView& aView) override
  {
    for (const auto& change : aView.rows_) {
      rows_[change.row_.key_] = change.row_;
    }
    ++views_;
  }
  void OnStoreLost() override { ++losses_; }
  void OnStoreRegained() override {}

  std::map<std::string, Row> rows_;
  int views_ = 0;
  int losses_ = 0;
};

TEST_F(ClientOfAStore, SplitRowShrinks_IsReadCompletely)
{
  const auto longer = SerializeOwnership(OwnersOf(10000));
  const auto shorter = SerializeOwnership(OwnersOf(300));
  auto version = Write("ownership/rates", 0, longer).rows_.front().version_;
  version = Write("ownership/rates", version, shorter).rows_.front().version_;
  const auto reader = CreatePlatformStore(context_, Loopback(kPort), events_);
  FleetRows rows;
  reader->Start(rows);
  const auto end = MonotonicNow() + seconds(3);
  while (rows.views_ == 0 && MonotonicNow() < end) {
    context_.run_for(std::chrono::milliseconds(5));
    context_.restart();
  }
  ASSERT_EQ(rows.rows_.size(), 1U);
  EXPECT_EQ(rows.rows_.at("ownership/rates").value_, shorter);
  EXPECT_EQ(rows.rows_.at("ownership/rates").version_, version);
  // The version read is good for a conditional write.
  EXPECT_EQ(Write("ownership/rates", version, longer).status_, StoreStatus::Done);
  reader->Stop();
}

// A page of rows as the store sends it, framed as aFraming says.
std::string
MakePage(std::string_view aFraming)
{
  const std::string body =
    R"({"rows":[{"table":"latchslip","part":"","key":"a","value":"YQ==","ver":2}],"truncated":false,"ver":2})";
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
  if (aFraming == "length") {
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  if (aFraming == "chunks") {
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx", body.size());
    return head + "Transfer-Encoding: chunked\r\n\r\n" + size.data() + "\r\n" + body +
           "\r\n0\r\nX-Sum: 1\r\n\r\n";
  }
  return head + "\r\n" + body;
}

// Guards against an answer of the store that is cut and taken for a table with fewer rows.
TEST(StoreThatBreaksOff, AnswerIsCutAtAnyByte_NoTableIsRead)
{
  for (const std::string_view framing : { "length", "chunks", "none" }) {
    const auto whole = MakePage(framing);
    boost::asio::io_context context(1);
    CuttingServer server(context, [&](const std::string&) { return whole; });
    NullEventSink events;
    for (const auto& cut : CutsOf(whole.size())) {
      server.cut_ = cut;
      const auto asked = server.Requests();
      const auto client = CreatePlatformStore(context, server.Address(), events);
      FleetRows rows;
      client->Start(rows);
      while (server.Requests() == asked || (rows.views_ == 0 && rows.losses_ == 0)) {
        context.restart();
        context.run_one();
      }
      EXPECT_EQ(rows.views_, 0) << framing << " at " << cut.at_ << " reset " << cut.isReset_;
      client->Stop();
    }
    server.cut_ = { whole.size(), false, false };
    const auto client = CreatePlatformStore(context, server.Address(), events);
    FleetRows rows;
    client->Start(rows);
    while (rows.views_ == 0 && rows.losses_ == 0) {
      context.restart();
      context.run_one();
    }
    EXPECT_EQ(rows.rows_.size(), 1U) << framing;
    client->Stop();
  }
}

// Guards against a broken answer of the store that is taken for a table, or for the proof that a
// transaction was not committed.
TEST(StoreThatAnswersBroken, AnyOfThem_NoTableIsReadAndTheTransactionMayBeCommitted)
{
  boost::asio::io_context context(1);
  BytesServer server(context);
  NullEventSink events;
  for (const auto& response : BrokenResponses("q1")) {
    server.bytes_ = response.bytes_;
    const auto client = CreatePlatformStore(context, server.Address(), events);
    FleetRows rows;
    client->Start(rows);
    std::optional<StoreReply> reply;
    client->Transact({ { { "a", 1 } }, { { "a", "1" } } },
                     [&](const StoreReply& aReply) { reply = aReply; });
    while (!reply || (rows.views_ == 0 && rows.losses_ == 0)) {
      context.restart();
      context.run_one();
    }
    EXPECT_EQ(rows.views_, 0) << response.name_;
    EXPECT_EQ(reply->status_, StoreStatus::Indeterminate) << response.name_;
    client->Stop();
  }
}

} // namespace

} // namespace latchslip::platform
