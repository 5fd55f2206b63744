#include "LibPermit/FirstAnswerMonitor.h"

namespace latchslip {

namespace {

// The router's timeout for first answers; a later answer does not prevent a send without a permit.
constexpr Duration kTimeout = milliseconds(40);
// Requests of this time are judged: long enough for some requests of an instance with little
// traffic.
constexpr Duration kWindow = seconds(2);
// With fewer requests, a single delay would decide.
constexpr std::size_t kMinRequests = 8;

} // namespace

void
FirstAnswerMonitor::OnRequested(Instant aNow, AttemptNumber aNumber, Duration aTimeLeft)
{
  if (aTimeLeft > kTimeout) {
    requests_[aNumber] = { aNow, false };
  }
}

void
FirstAnswerMonitor::OnAnswered(Instant aNow, AttemptNumber aNumber)
{
  const auto request = requests_.find(aNumber);
  if (request != requests_.end() && aNow - request->second.sentAt_ <= kTimeout) {
    request->second.isAnsweredInTime_ = true;
  }
}

void
FirstAnswerMonitor::OnAbandoned(Instant aNow, AttemptNumber aNumber)
{
  const auto request = requests_.find(aNumber);
  if (request != requests_.end() && !request->second.isAnsweredInTime_ &&
      aNow - request->second.sentAt_ <= kTimeout) {
    requests_.erase(request);
  }
}

bool
FirstAnswerMonitor::IsSlow(Instant aNow)
{
  std::erase_if(requests_,
                [&](const auto& aEntry) { return aNow - aEntry.second.sentAt_ > kWindow; });
  std::size_t due = 0;
  std::size_t late = 0;
  for (const auto& [number, request] : requests_) {
    if (request.isAnsweredInTime_ || aNow - request.sentAt_ > kTimeout) {
      ++due;
      late += request.isAnsweredInTime_ ? 0 : 1;
    }
  }
  return due >= kMinRequests && 2 * late > due;
}

} // namespace latchslip
