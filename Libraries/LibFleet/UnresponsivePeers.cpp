#include "LibFleet/UnresponsivePeers.h"

namespace latchslip {

namespace {

// How long an instance that did not accept a message is avoided. It is half of the time after which
// the placer removes it, so that an instance that returns is used again soon.
constexpr Duration kAvoidanceTime = seconds(2);

} // namespace

void
UnresponsivePeers::OnSent(Instant aNow, const std::string& aAddress, bool aIsAccepted)
{
  if (aIsAccepted) {
    avoidUntil_.erase(aAddress);
  } else {
    avoidUntil_[aAddress] = aNow + kAvoidanceTime;
  }
  std::erase_if(avoidUntil_, [&](const auto& aEntry) { return aEntry.second <= aNow; });
}

bool
UnresponsivePeers::IsUnresponsive(Instant aNow, const std::string& aAddress) const
{
  const auto entry = avoidUntil_.find(aAddress);
  return entry != avoidUntil_.end() && aNow < entry->second;
}

} // namespace latchslip
