#include "LibFleet/UnresponsivePeers.h"

namespace latchslip {

namespace {

// How long an instance that did not accept a message is avoided. It is half of the time after which
// the placer removes it, so that an instance that returns is used again soon.
constexpr Duration kSilence = seconds(2);

} // namespace

void
UnresponsivePeers::OnSent(Instant aNow, const std::string& aAddress, bool aIsTaken)
{
  if (aIsTaken) {
    until_.erase(aAddress);
  } else {
    until_[aAddress] = aNow + kSilence;
  }
  std::erase_if(until_, [&](const auto& aEntry) { return aEntry.second <= aNow; });
}

bool
UnresponsivePeers::IsUnresponsive(Instant aNow, const std::string& aAddress) const
{
  const auto silent = until_.find(aAddress);
  return silent != until_.end() && aNow < silent->second;
}

} // namespace latchslip
