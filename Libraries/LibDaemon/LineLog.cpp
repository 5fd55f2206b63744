#include "LibDaemon/LineLog.h"

#include "LibNet/MonotonicClock.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace latchslip {

namespace {

// Minimum interval between two LogLinesDropped lines.
constexpr Duration kDropReportInterval = seconds(1);

enum class LineClass
{
  Success,
  Failure,
  Response,
  State,
};

LineClass
ClassOf(Event aEvent)
{
  switch (aEvent) {
    case Event::GatewayAnswer:
      return LineClass::Success;
    case Event::GatewayRefusal:
    case Event::GatewayRetry:
      return LineClass::Failure;
    case Event::OtherResponsesSkipped:
    case Event::ResponseOutOfBounds:
      return LineClass::Response;
    default:
      return LineClass::State;
  }
}

// Returns the wall clock in microseconds since the epoch. Used only in log lines, to merge the
// logs of several instances.
std::int64_t
TimeOfDay()
{
  return duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

bool
LineLog::LineRateLimiter::Take(Instant aNow, double aPerSecond)
{
  const auto past = ToSeconds(aNow - refilledAt_);
  tokens_ = std::min(aPerSecond, tokens_ + past * aPerSecond);
  refilledAt_ = aNow;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

LineLog::LineLog(int aDescriptor, std::string aInstance, LineLogLimits aLimits)
  : descriptor_(aDescriptor)
  , instance_(std::move(aInstance))
  , limits_(aLimits)
{
  const auto flags = ::fcntl(descriptor_, F_GETFL);
  if (flags >= 0) {
    ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
  }
}

void
LineLog::Record(Event aEvent, std::string_view aDetail)
{
  const auto now = MonotonicNow();
  const auto number = static_cast<std::size_t>(aEvent);
  if (number < counts_.size()) {
    ++counts_.at(number);
  }
  const auto kind = ClassOf(aEvent);
  const auto perSecond =
    kind == LineClass::State ? limits_.stateLinesPerSecond_ : limits_.requestLinesPerSecond_;
  if (!rateLimiters_.at(static_cast<std::size_t>(kind)).Take(now, perSecond)) {
    ++dropped_;
    return;
  }
  ReportDropped(now);
  Append(now, aEvent, aDetail);
}

void
LineLog::ReportDropped(Instant aNow)
{
  if (dropped_ == reportedDropped_ || aNow < nextDropReport_) {
    return;
  }
  nextDropReport_ = aNow + kDropReportInterval;
  const auto count = dropped_ - reportedDropped_;
  reportedDropped_ = dropped_;
  Append(aNow, Event::LogLinesDropped, "count=" + std::to_string(count));
}

void
LineLog::Append(Instant, Event aEvent, std::string_view aDetail)
{
  std::string line = "time_us=" + std::to_string(TimeOfDay()) + " instance=" + instance_ +
                     " event=E" + std::to_string(static_cast<int>(aEvent)) +
                     " name=" + std::string(NameOf(aEvent));
  if (!aDetail.empty()) {
    line += ' ';
    line += aDetail;
  }
  // Parts of the detail come from clients: control characters are replaced so that no value
  // can forge a line.
  std::replace_if(
    line.begin(), line.end(), [](unsigned char aByte) { return aByte < ' '; }, '?');
  line += '\n';
  if (buffer_.size() + line.size() > limits_.maxBufferedBytes_) {
    ++dropped_;
    return;
  }
  buffer_ += line;
}

void
LineLog::Flush()
{
  while (!buffer_.empty()) {
    const auto count = ::write(descriptor_, buffer_.data(), buffer_.size());
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return;
    }
    buffer_.erase(0, static_cast<std::size_t>(count));
  }
}

std::uint64_t
LineLog::CountOf(Event aEvent) const
{
  const auto number = static_cast<std::size_t>(aEvent);
  return number < counts_.size() ? counts_.at(number) : 0;
}

} // namespace latchslip
