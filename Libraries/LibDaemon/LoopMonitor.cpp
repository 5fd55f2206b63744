#include "LibDaemon/LoopMonitor.h"

#include "LibDaemon/MetricsText.h"

#include <algorithm>
#include <ctime>
#include <string>
#include <utility>

namespace latchslip {

namespace {

// Delays of the timer from this on are logged. Other instances stop relying on a placer whose
// answers take a little longer.
constexpr Duration kLoggedDelay = milliseconds(100);

} // namespace

LoopMonitor::LoopMonitor(EventSink& aEvents, ProcessorClock aClock)
  : events_(aEvents)
  , clock_(std::move(aClock))
{
}

void
LoopMonitor::OnTaskBegun(LoopTask aTask)
{
  running_.push_back({ aTask, clock_(), Duration(0) });
}

void
LoopMonitor::OnTaskEnded()
{
  const auto ended = running_.back();
  running_.pop_back();
  const Duration whole = clock_() - ended.startedAt_;
  if (!running_.empty()) {
    running_.back().nested_ += whole;
  }
  const Duration own = whole - ended.nested_;
  for (auto* times : { &total_, &sinceTimer_ }) {
    auto& time = times->at(static_cast<std::size_t>(ended.task_));
    ++time.count_;
    time.processorTime_ += own;
    time.longest_ = std::max(time.longest_, own);
  }
}

void
LoopMonitor::OnTimer(Instant aNow, Instant aDue)
{
  const Duration delay = std::max(Duration(0), Duration(aNow - aDue));
  const auto used = clock_();
  delays_.Add(delay);
  if (delay >= kLoggedDelay) {
    events_.Record(Event::LoopDelayed,
                   "late_us=" + std::to_string(delay.count()) + " processor_us=" +
                     std::to_string((used - usedAtTimer_).count()) + DescribeTasks());
  }
  usedAtTimer_ = used;
  sinceTimer_ = {};
}

std::string
LoopMonitor::DescribeTasks() const
{
  std::string text;
  for (std::size_t task = 0; task < sinceTimer_.size(); ++task) {
    const auto& time = sinceTimer_.at(task);
    if (time.count_ > 0) {
      text += " " + std::string(kLoopTaskNames.names_.at(task)) + "=" +
              std::to_string(time.count_) + ":" + std::to_string(time.processorTime_.count()) +
              ":" + std::to_string(time.longest_.count());
    }
  }
  return text;
}

void
LoopMonitor::Render(std::ostream& aText) const
{
  WriteType(aText, "loop_delay_ms", "histogram");
  WriteHistogram(aText, "loop_delay_ms", "", delays_);
  WriteType(aText, "loop_task_seconds_total", "counter");
  for (std::size_t task = 0; task < total_.size(); ++task) {
    aText << "latchslip_loop_task_seconds_total{task=\"" << kLoopTaskNames.names_.at(task) << "\"} "
          << ToSeconds(total_.at(task).processorTime_) << '\n';
  }
  WriteType(aText, "loop_task_longest_seconds", "gauge");
  for (std::size_t task = 0; task < total_.size(); ++task) {
    aText << "latchslip_loop_task_longest_seconds{task=\"" << kLoopTaskNames.names_.at(task)
          << "\"} " << ToSeconds(total_.at(task).longest_) << '\n';
  }
}

Duration
ProcessorTimeUsed()
{
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return seconds(used.tv_sec) + duration_cast<Duration>(std::chrono::nanoseconds(used.tv_nsec));
}

} // namespace latchslip
