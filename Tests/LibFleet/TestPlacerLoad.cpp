#include "FleetMemberFixture.h"
#include "LibDaemon/LoopMonitor.h"

#include <algorithm>

namespace latchslip {

namespace {

// The placer of a fleet of 300 instances and 950 servers, all of one keyed service. Each instance
// reports every 0.8 s. The processor time of its work is measured; instances have a fifth of a
// processor, and others stop relying on a placer that holds its loop for more than 150 ms.
class PlacerOfALargeFleet : public FleetMemberTest
{
protected:
  static constexpr int kInstances = 300;
  static constexpr int kServers = 950;
  static constexpr Duration kStep = milliseconds(50);
  static constexpr int kReportsPerStep = kInstances * 50 / 800;
  static constexpr Duration kMaxStepTime = milliseconds(150) / 5;
  // Half of a fifth of a processor; the instance serves requests as well.
  static constexpr Duration kMaxTimePerSecond = milliseconds(100);

  PlacerOfALargeFleet()
  {
    Show(FleetTable::Configuration, 5, { { "config", 5, "1" } });
    std::vector<Row> rows;
    for (int number = 0; number < kServers; ++number) {
      rows.push_back({ ServerId(number), static_cast<RowVersion>(10 + number), "ready" });
    }
    Show(FleetTable::Servers, 2000, std::move(rows));
    Show(FleetTable::Fleet, 7, {});
    Advance(milliseconds(600));
    Acknowledge(3000);
  }

  static std::string ServerId(int aNumber) { return "i-" + std::to_string(100000 + aNumber); }

  void Pass(Duration aTime)
  {
    const auto end = now_ + aTime;
    while (now_ < end) {
      now_ += kStep;
      const auto begin = ProcessorTimeUsed();
      Run();
      const Duration used = ProcessorTimeUsed() - begin;
      longest_ = std::max(longest_, used);
      total_ += used;
      ++steps_;
    }
  }

  void ForgetTimes()
  {
    longest_ = Duration(0);
    total_ = Duration(0);
    steps_ = 0;
  }

  Duration TimePerSecond() const { return total_ / steps_ * (seconds(1) / kStep); }

  Duration longest_{ 0 };
  Duration total_{ 0 };
  Duration::rep steps_ = 0;

private:
  void Run()
  {
    for (const auto& command : std::exchange(fleet_.commands_, {})) {
      member_.OnCommandEnded(now_, "rates", command.number_, EndedAs(CommandStatus::Done));
    }
    for (int count = 0; count < kReportsPerStep; ++count) {
      nextReporter_ = (nextReporter_ + 1) % kInstances;
      member_.OnReport(now_, MakeReport(nextReporter_));
    }
    member_.OnTime(now_);
    fleet_.updates_.clear();
    if (fleet_.transactions_.size() > transactions_) {
      transactions_ = fleet_.transactions_.size();
      Acknowledge(++lastVersion_);
    }
  }

  // Some requests for hot keys, and the work of a few servers.
  InstanceReport MakeReport(int aInstance)
  {
    auto report =
      ReportOf("e" + std::to_string(aInstance), "10.0.2." + std::to_string(aInstance) + ":9");
    report.keyCounts_["rates"] = { { static_cast<KeyNumber>(1000 + aInstance % 200), 1 } };
    for (int count = 0; count < 3; ++count) {
      report.work_[ServerId((aInstance * 7 + count) % kServers)] = { 1, milliseconds(60) };
    }
    return report;
  }

  int nextReporter_ = 0;
  std::size_t transactions_ = 1;
  RowVersion lastVersion_ = 3000;
};

// Guards against a placer that is held by its duties for a large fleet and looks lost to the
// others: changes of the configuration were not in force in time.
TEST_F(PlacerOfALargeFleet, KeysAreHot_DutiesLeaveHalfOfAFifthOfAProcessor)
{
  Pass(seconds(4));
  ForgetTimes();
  Pass(seconds(4));
  EXPECT_LE(longest_, kMaxStepTime);
  EXPECT_LE(TimePerSecond(), kMaxTimePerSecond);
}

// The same with the takeover itself: the first second of a placer.
TEST_F(PlacerOfALargeFleet, HasTakenOver_NoStepHoldsTheLoopForLong)
{
  Pass(seconds(3));
  EXPECT_LE(longest_, kMaxStepTime);
}

} // namespace

} // namespace latchslip
