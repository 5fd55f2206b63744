#include "LibPermit/DispatcherComplaints.h"

#include <algorithm>

namespace latchslip {

namespace {

// Complaints and requests count for this time, in which each instance that sees late answers
// complains at least once.
constexpr Duration kWindow = seconds(2);
// With fewer complaints, the cause may be the links of the instances that complain.
constexpr std::size_t kMinComplaints = 3;
// The share of the requesting instances that must complain is one of this number.
constexpr std::size_t kInstancesPerComplaint = 3;
// A saturated link has time to empty its queue, and the load to change.
constexpr Duration kResignationTime = seconds(10);

void
DropOld(Instant aNow, std::map<CallerId, Instant>& aTimes)
{
  std::erase_if(aTimes, [&](const auto& aEntry) { return aNow - aEntry.second > kWindow; });
}

} // namespace

bool
DispatcherComplaints::OnComplaint(Instant aNow, CallerId aCaller)
{
  complainedAt_[aCaller] = aNow;
  requestedAt_.try_emplace(aCaller, aNow);
  DropOld(aNow, complainedAt_);
  DropOld(aNow, requestedAt_);
  const bool isEnough = complainedAt_.size() >= kMinComplaints &&
                        complainedAt_.size() * kInstancesPerComplaint >= requestedAt_.size();
  if (!isEnough || RemainingResignation(aNow) > Duration(0)) {
    return false;
  }
  resignedUntil_ = aNow + kResignationTime;
  return true;
}

void
DispatcherComplaints::OnCallerGone(CallerId aCaller)
{
  requestedAt_.erase(aCaller);
  complainedAt_.erase(aCaller);
}

Duration
DispatcherComplaints::RemainingResignation(Instant aNow) const
{
  return aNow >= resignedUntil_ ? Duration(0) : Duration(resignedUntil_ - aNow);
}

} // namespace latchslip
