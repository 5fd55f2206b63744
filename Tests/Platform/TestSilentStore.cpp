#include "../NullEventSink.h"
#include "FleetDocuments.h"
#include "LibNet/MonotonicClock.h"
#include "platform/PlatformStore.h"
#include "platform/StandIn/StandInStore.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <vector>

namespace latchslip::platform {

namespace {

constexpr int kFirstPort = 24600;
// A change that is made when the store answers again must be known within this time.
constexpr Duration kRecoveryBound = seconds(2);
// The same for the instances' own rows, which are read every two seconds also without an outage.
constexpr Duration kFleetRecoveryBound = milliseconds(2200);

Duration
RecoveryBoundOf(FleetTable aTable)
{
  return aTable == FleetTable::Fleet ? kFleetRecoveryBound : kRecoveryBound;
}

// One instance's copy of the tables, which notes when it learns of the last change.
class Follower : public FleetStoreListener
{
public:
  Follower(boost::asio::io_context& aContext, int aPort)
    : client_(CreatePlatformStore(aContext, Loopback(aPort), events_))
  {
    client_->Start(*this);
  }

  void OnView(const TableView& aView) override
  {
    for (const auto& change : aView.rows_) {
      auto& learnedAt = learnedAt_.at(static_cast<std::size_t>(aView.table_));
      if (change.row_.value_ == "last" && !learnedAt) {
        learnedAt = MonotonicNow();
      }
    }
  }
  void OnStoreLost() override {}
  void OnStoreRegained() override {}

  void SetMode(StorePollMode aMode) { client_->SetPollMode(aMode, {}); }
  void Stop() { client_->Stop(); }
  std::size_t Calls() const
  {
    std::size_t calls = 0;
    for (const auto& ends : client_->Calls()) {
      for (const auto count : ends) {
        calls += count;
      }
    }
    return calls;
  }
  // When the last change of the table was learned.
  std::optional<Instant> LearnedAt(FleetTable aTable) const
  {
    return learnedAt_.at(static_cast<std::size_t>(aTable));
  }

private:
  NullEventSink events_;
  std::unique_ptr<FleetStore> client_;
  std::array<std::optional<Instant>, kFleetTables> learnedAt_{};
};

// A store that is silent for a time, and instances that poll it in different ways.
class SilentOutage
{
public:
  SilentOutage(boost::asio::io_context& aContext, int aPort, Duration aLength)
    : length_(aLength)
    , store_(StandInStore::Create(aContext, Loopback(aPort)).value())
  {
    store_->Put("op", "config", "first");
    store_->Put("servers", "s", "first");
    store_->Put("latchslip", "placer", "first");
    for (std::size_t number = 0; number < kFollowers; ++number) {
      followers_.push_back(std::make_unique<Follower>(aContext, aPort));
    }
  }

  // The first followers begin to poll one after the other, the others all at once during the
  // outage, as when a placer announces it.
  void Advance(Duration aSinceStart)
  {
    for (; polling_ < kStaggered && aSinceStart >= polling_ * kStagger; ++polling_) {
      followers_.at(polling_)->SetMode(ModeOf(polling_));
    }
    if (!hasBegun_ && aSinceStart >= kOutageStart) {
      hasBegun_ = true;
      store_->SetSilent(true);
    }
    if (polling_ < kFollowers && aSinceStart >= kOutageStart + kAnnouncementDelay) {
      for (; polling_ < kFollowers; ++polling_) {
        followers_.at(polling_)->SetMode(StorePollMode::LongWaits);
      }
    }
    if (!returnedAt_ && aSinceStart >= kOutageStart + length_) {
      returnedAt_ = MonotonicNow();
      store_->SetSilent(false);
      store_->Put("op", "config", "last");
      store_->Put("servers", "s", "last");
      store_->Put("latchslip", "placer", "last");
    }
  }

  // How long after the store's return the last follower learned of the change; no value if one
  // never did.
  std::optional<Duration> SlowestOf(FleetTable aTable) const
  {
    Duration slowest{ 0 };
    for (const auto& follower : followers_) {
      const auto learnedAt = follower->LearnedAt(aTable);
      if (!learnedAt) {
        return std::nullopt;
      }
      slowest = std::max(slowest, *learnedAt - *returnedAt_);
    }
    return slowest;
  }
  Duration Length() const { return length_; }
  void Stop()
  {
    for (const auto& follower : followers_) {
      follower->Stop();
    }
  }

private:
  static constexpr std::size_t kFollowers = 12;
  static constexpr std::size_t kStaggered = 8;
  static constexpr Duration kStagger = milliseconds(130);
  static constexpr Duration kOutageStart = milliseconds(1500);
  static constexpr Duration kAnnouncementDelay = milliseconds(900);

  static StorePollMode ModeOf(std::size_t aFollower)
  {
    return aFollower % 2 == 0 ? StorePollMode::LongWaits : StorePollMode::ShortWaits;
  }

  Duration length_;
  std::unique_ptr<StandInStore> store_;
  std::vector<std::unique_ptr<Follower>> followers_;
  std::size_t polling_ = 0;
  bool hasBegun_ = false;
  std::optional<Instant> returnedAt_;
};

void
RunFor(boost::asio::io_context& aContext, Duration aTime)
{
  aContext.run_for(std::chrono::microseconds(aTime.count()));
  aContext.restart();
}

// Guards against a long poll that was sent into a silent store and is waited for after the store's
// return: changes were missed for up to 4.4 s.
TEST(SilentStore, StoreAnswersAgainAfterAnOutageOfAnyLength_ChangesAreKnownInTwoSeconds)
{
  boost::asio::io_context context(1);
  std::vector<std::unique_ptr<SilentOutage>> outages;
  int port = kFirstPort;
  for (const int length : { 300, 700, 1100, 1600, 2300, 3100, 4000, 4400, 5200, 5800, 7400 }) {
    outages.push_back(std::make_unique<SilentOutage>(context, port++, milliseconds(length)));
  }
  const auto startedAt = MonotonicNow();
  constexpr Duration kEnd = milliseconds(14000);
  while (MonotonicNow() < startedAt + kEnd) {
    for (const auto& outage : outages) {
      outage->Advance(MonotonicNow() - startedAt);
    }
    RunFor(context, milliseconds(10));
  }
  for (const auto& outage : outages) {
    for (const auto table : { FleetTable::Configuration, FleetTable::Servers, FleetTable::Fleet }) {
      const auto slowest = outage->SlowestOf(table);
      const auto what = std::to_string(outage->Length().count()) + " us, table " +
                        std::string(kFleetTableNames.NameOf(table));
      ASSERT_TRUE(slowest) << what;
      EXPECT_LT(slowest->count(), RecoveryBoundOf(table).count()) << what;
    }
    outage->Stop();
  }
}

// The cost of noticing a silent store in time: at 300 instances without a placer these are 900
// calls a second, where the store takes 2,000.
TEST(SilentStore, NothingChangesAndThereIsNoPlacer_InstanceSendsAtMostThreeCallsASecond)
{
  boost::asio::io_context context(1);
  const auto store = StandInStore::Create(context, Loopback(kFirstPort)).value();
  store->Put("op", "config", "first");
  Follower follower(context, kFirstPort);
  follower.SetMode(StorePollMode::LongWaits);
  RunFor(context, seconds(1));
  const auto before = follower.Calls();
  constexpr int kSeconds = 8;
  RunFor(context, seconds(kSeconds));
  const auto calls = follower.Calls() - before;
  RecordProperty("calls_a_second", std::to_string(static_cast<double>(calls) / kSeconds));
  EXPECT_LE(calls, 3U * kSeconds);
  follower.Stop();
}

} // namespace

} // namespace latchslip::platform
