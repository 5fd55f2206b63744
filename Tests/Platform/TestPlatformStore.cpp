#include "../SilentEvents.h"
#include "FleetDocuments.h"
#include "LibNet/MonotonicClock.h"
#include "LibStore/StoreEpoch.h"
#include "platform/PlatformStore.h"
#include "platform/StandIn/StandInStore.h"

#include <gtest/gtest.h>
#include <optional>

namespace latchslip::platform {

namespace {

constexpr int kPort = 24590;

class ClientOfAStore : public testing::Test
{
protected:
  // Writes a row if it stands at that version.
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
    return reply.value_or(StoreReply{ StoreStatus::Unsure, {} });
  }

  boost::asio::io_context context_{ 1 };
  std::unique_ptr<StandInStore> store_ = StandInStore::Create(context_, Loopback(kPort)).value();
  SilentEvents events_;
  std::unique_ptr<FleetStore> client_ = CreatePlatformStore(context_, Loopback(kPort), events_);
};

TEST_F(ClientOfAStore, StoreReturnsFromAnOlderCopy_VersionsOfItsWritesComeAfterAllEarlierOnes)
{
  store_->TakeCopy();
  const auto before = Write("a", 0, "1");
  ASSERT_EQ(before.status_, StoreStatus::Done);
  store_->ReturnFromCopy();
  const auto after = Write("a", 0, "2");
  ASSERT_EQ(after.status_, StoreStatus::Done);
  EXPECT_GT(after.rows_.front().version_, before.rows_.front().version_);
  EXPECT_EQ(NumberOf(after.rows_.front().version_), NumberOf(before.rows_.front().version_));
}

// The store gives the number of a lost version out again, to a write of somebody else.
TEST_F(ClientOfAStore, ConditionNamesALostVersionWhoseNumberIsUsedAgain_WriteIsRefused)
{
  store_->TakeCopy();
  const auto lost = Write("a", 0, "ours").rows_.front().version_;
  store_->ReturnFromCopy();
  store_->Put("latchslip", "a", "theirs");
  ASSERT_EQ(Write("b", 0, "x").status_, StoreStatus::Done);
  EXPECT_EQ(Write("a", lost, "ours again").status_, StoreStatus::Conflict);
  const auto theirs = VersionIn(EpochOf(lost) + 1, NumberOf(lost));
  EXPECT_EQ(Write("a", theirs, "ours now").status_, StoreStatus::Done);
}

// Whoever is told by others may hear of the return before a call of its own.
TEST_F(ClientOfAStore, ConditionIsOfALaterEpochThanTheLastAnswer_WriteIsCarriedOut)
{
  ASSERT_EQ(Write("b", 0, "x").status_, StoreStatus::Done);
  store_->TakeCopy();
  store_->ReturnFromCopy();
  store_->Put("latchslip", "a", "1");
  EXPECT_EQ(Write("a", VersionIn(2, 2), "2").status_, StoreStatus::Done);
}

} // namespace

} // namespace latchslip::platform
