#include "LibDaemon/LoopMonitor.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sstream>
#include <string>
#include <vector>

namespace latchslip {

namespace {

using testing::HasSubstr;

// A monitor with simulated clocks that records its log lines.
class LoopOfAnInstance
  : public testing::Test
  , private EventSink
{
protected:
  void Record(Event aEvent, std::string_view aDetail) override
  {
    EXPECT_EQ(aEvent, Event::LoopDelayed);
    lines_.emplace_back(aDetail);
  }

  void Work(LoopTask aTask, Duration aTime)
  {
    const LoopTaskScope task(monitor_, aTask);
    used_ += aTime;
  }

  std::string Metrics() const
  {
    std::ostringstream text;
    monitor_.Render(text);
    return text.str();
  }

  Duration used_{ 0 };
  std::vector<std::string> lines_;
  LoopMonitor monitor_{ *this, [this] { return used_; } };
};

TEST_F(LoopOfAnInstance, TimerRunsInTime_NothingIsLogged)
{
  Work(LoopTask::PlaceKeys, milliseconds(80));
  monitor_.OnTimer(seconds(1) + milliseconds(99), seconds(1));
  EXPECT_TRUE(lines_.empty());
  EXPECT_THAT(Metrics(), HasSubstr("latchslip_loop_delay_ms_count 1"));
}

TEST_F(LoopOfAnInstance, TimerRunsLate_LogsTheTasksSinceItsLastRun)
{
  Work(LoopTask::ReadTables, milliseconds(7));
  monitor_.OnTimer(seconds(1), seconds(1));
  Work(LoopTask::EndCommand, milliseconds(3));
  Work(LoopTask::EndCommand, milliseconds(5));
  used_ += milliseconds(2);
  monitor_.OnTimer(seconds(3), seconds(2));
  ASSERT_EQ(lines_.size(), 1U);
  EXPECT_EQ(lines_.front(), "late_us=1000000 processor_us=10000 end-command=2:8000:5000");
}

TEST_F(LoopOfAnInstance, TaskIsNested_ItsTimeCountsOnce)
{
  {
    const LoopTaskScope tick(monitor_, LoopTask::Tick);
    used_ += milliseconds(1);
    Work(LoopTask::PlaceKeys, milliseconds(400));
  }
  EXPECT_THAT(Metrics(), HasSubstr("loop_task_seconds_total{task=\"tick\"} 0.001\n"));
  EXPECT_THAT(Metrics(), HasSubstr("loop_task_seconds_total{task=\"place-keys\"} 0.4\n"));
  EXPECT_THAT(Metrics(), HasSubstr("loop_task_longest_seconds{task=\"place-keys\"} 0.4\n"));
}

TEST_F(LoopOfAnInstance, TimerRunsEarly_CountsAsNoDelay)
{
  monitor_.OnTimer(seconds(1), seconds(2));
  EXPECT_TRUE(lines_.empty());
  EXPECT_THAT(Metrics(), HasSubstr("latchslip_loop_delay_ms_sum 0\n"));
}

} // namespace

} // namespace latchslip
