#include "LibDaemon/LoopMonitor.h"
#include "LibKeys/KeyBalancer.h"
#include "LibKeys/OwnershipPlacer.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace latchslip {

namespace {

class IgnoringEventSink : public EventSink
{
public:
  void Record(Event, std::string_view) override {}
};

// The placer of a service with many servers, which acknowledge each command in the next step. The
// processor time of each step is measured. Instances have a fifth of a processor, and others stop
// relying on a placer that holds its loop for more than 150 ms.
class PlacerOfManyServers
  : public testing::Test
  , private PlacerActions
{
protected:
  static constexpr std::size_t kServers = 950;
  static constexpr Duration kStep = milliseconds(50);
  static constexpr Duration kMaxStepTime = milliseconds(150) / 5;
  // Half of a fifth of a processor; the instance serves requests as well.
  static constexpr Duration kMaxTimePerSecond = milliseconds(100);

  PlacerOfManyServers()
  {
    for (std::size_t index = 0; index < kServers; ++index) {
      const auto id = "i-" + std::to_string(1000000 + index);
      const double weight = index % 3 == 0 ? 6.4 : 2.8;
      servers_.push_back({ id, "10.0.0.1:" + std::to_string(index), weight, true, 1 });
    }
  }

  void TakeOver(std::optional<KeyOwnership> aStored)
  {
    placer_ = std::make_unique<OwnershipPlacer>(
      "rates", OwnershipPlacerSettings{}, static_cast<PlacerActions&>(*this), events_);
    sent_.clear();
    written_.reset();
    placer_->Start(now_, std::move(aStored), {});
  }

  // Counts aPerSecond requests for random keys of [aFirst, aLast] in each step.
  void Pass(Duration aTime, KeyNumber aFirst, KeyNumber aLast, std::size_t aPerSecond)
  {
    const auto end = now_ + aTime;
    while (now_ < end) {
      now_ += kStep;
      std::uniform_int_distribution<KeyNumber> key(aFirst, aLast);
      KeyCounter counter;
      for (std::size_t count = 0; count < aPerSecond / 20; ++count) {
        counter.Count(key(random_));
      }
      const auto begin = ProcessorTimeUsed();
      placer_->OnLoad(now_, counter.Take());
      RunStep();
      const Duration used = ProcessorTimeUsed() - begin;
      longest_ = std::max(longest_, used);
      total_ += used;
      steps_ += 1;
    }
  }

  Duration TimePerSecond() const { return total_ / steps_ * (seconds(1) / kStep); }

  void ForgetTimes()
  {
    longest_ = Duration(0);
    total_ = Duration(0);
    steps_ = 0;
  }

  Instant now_ = seconds(100);
  std::minstd_rand random_{ 1 };
  std::vector<KeyServer> servers_;
  std::unique_ptr<OwnershipPlacer> placer_;
  std::optional<KeyOwnership> stored_;
  Duration longest_{ 0 };
  Duration total_{ 0 };
  Duration::rep steps_ = 0;

private:
  void RunStep()
  {
    for (const auto& command : std::exchange(sent_, {})) {
      placer_->OnCommandEnded(now_, command, { CommandStatus::Done, "" });
    }
    placer_->SetServers(now_, servers_);
    placer_->OnTime(now_, true);
    if (written_) {
      stored_ = *std::exchange(written_, std::nullopt);
      placer_->OnWritten(now_);
    }
  }

  // PlacerActions.
  void SendCommand(const KeyCommand& aCommand) override { sent_.push_back(aCommand.number_); }
  void RecordUncertainLease(Instant, const std::string&, Duration) override {}
  void RecordEnded(const std::string&, std::uint64_t) override {}
  void Write(const KeyOwnership& aOwnership) override { written_ = aOwnership; }
  std::optional<ServerIncarnation> FindIncarnation(const std::string&) const override
  {
    return ServerIncarnation{ "10.0.0.1:80", true, false, false };
  }

  IgnoringEventSink events_;
  std::deque<CommandNumber> sent_;
  std::optional<KeyOwnership> written_;
};

// Guards against a placer that its own work holds for so long that it looks lost to the others:
// changes of the configuration were not in force in time.
TEST_F(PlacerOfManyServers, KeysBecomeHot_NoStepHoldsTheLoopForLong)
{
  TakeOver(std::nullopt);
  Pass(seconds(4), 0, kLastKey, 200);
  ForgetTimes();
  Pass(seconds(6), 1000, 1200, 400);
  EXPECT_LE(longest_, kMaxStepTime);
  EXPECT_LE(TimePerSecond(), kMaxTimePerSecond);
}

// Guards against a successor that is held by the takeover and looks lost as its predecessor did.
TEST_F(PlacerOfManyServers, PlacerIsReplaced_NoStepHoldsTheLoopForLong)
{
  TakeOver(std::nullopt);
  Pass(seconds(8), 1000, 1200, 400);
  TakeOver(stored_);
  ForgetTimes();
  Pass(seconds(3), 1000, 1200, 400);
  EXPECT_LE(longest_, kMaxStepTime);
  EXPECT_LE(TimePerSecond(), kMaxTimePerSecond);
}

// Guards against a placer that spends its processor on renewals: each range costs a command every
// 1.7 s.
TEST_F(PlacerOfManyServers, HotKeysMoveOn_RangesStayFewEnoughToRenew)
{
  constexpr std::size_t kMaxRanges = 1500;
  TakeOver(std::nullopt);
  for (KeyNumber first = 1000; first < 60000; first += 6000) {
    Pass(seconds(2), first, first + 3000, 400);
  }
  EXPECT_LE(stored_->ranges_.size(), kMaxRanges + 2);
}

// Guards against a loss of many servers that holds the placer while it gives their keys on.
TEST_F(PlacerOfManyServers, ThirdOfTheServersIsLost_NoStepHoldsTheLoopForLong)
{
  TakeOver(std::nullopt);
  Pass(seconds(8), 1000, 1200, 400);
  ForgetTimes();
  for (std::size_t index = 0; index < kServers; index += 3) {
    servers_.at(index).isUsable_ = false;
  }
  Pass(seconds(3), 1000, 1200, 400);
  EXPECT_LE(longest_, kMaxStepTime);
  EXPECT_LE(TimePerSecond(), kMaxTimePerSecond);
}

} // namespace

} // namespace latchslip
