#pragma once

#include "LibBase/Event.h"
#include "LibBase/LoopTask.h"
#include "LibBase/Time.h"
#include "LibGateway/LatencyHistogram.h"

#include <array>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace latchslip {

// Measures how late the event loop runs its periodic timer, and how much processor time each kind
// of task took. An instance whose loop is held for long answers nobody meanwhile and looks lost to
// the others.
class LoopMonitor : public LoopTaskObserver
{
public:
  // Reads the processor time that the process has used.
  using ProcessorClock = std::function<Duration()>;

  LoopMonitor(EventSink& aEvents, ProcessorClock aClock);

  // LoopTaskObserver. The time of a nested task does not count for the task that contains it.
  void OnTaskBegun(LoopTask aTask) override;
  void OnTaskEnded() override;

  // The periodic timer, due at aDue, runs at aNow. A long delay is logged, with the processor time
  // that each kind of task took since the last call.
  void OnTimer(Instant aNow, Instant aDue);

  // Writes the delays and the processor time by task in the Prometheus text format.
  void Render(std::ostream& aText) const;

private:
  struct TaskTime
  {
    std::uint64_t count_ = 0;
    Duration processorTime_{ 0 };
    Duration longest_{ 0 };
  };
  using TaskTimes = std::array<TaskTime, kLoopTaskNames.names_.size()>;

  struct RunningTask
  {
    LoopTask task_ = LoopTask::Tick;
    Duration startedAt_{ 0 };
    // Processor time of the tasks nested in it.
    Duration nested_{ 0 };
  };

  // The count, processor time and longest run of each kind of task since the timer's last run, as
  // logged.
  std::string DescribeTasks() const;

  EventSink& events_;
  ProcessorClock clock_;
  // Innermost last.
  std::vector<RunningTask> running_;
  TaskTimes total_{};
  TaskTimes sinceTimer_{};
  Duration usedAtTimer_{ 0 };
  LatencyHistogram delays_;
};

// The processor time used by this process.
Duration
ProcessorTimeUsed();

} // namespace latchslip
