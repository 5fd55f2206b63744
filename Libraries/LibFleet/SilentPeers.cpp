#include "LibFleet/SilentPeers.h"

namespace latchslip {

namespace {

// For how long an instance that took no message is passed around. Half of the time after
// which the placer forgets it, so that one that is back is used again soon.
constexpr Duration kSilence = seconds(2);

} // namespace

void
SilentPeers::OnSent(Instant aNow, const std::string& aAddress, bool aIsTaken)
{
  if (aIsTaken) {
    until_.erase(aAddress);
  } else {
    until_[aAddress] = aNow + kSilence;
  }
  std::erase_if(until_, [&](const auto& aEntry) { return aEntry.second <= aNow; });
}

bool
SilentPeers::IsSilent(Instant aNow, const std::string& aAddress) const
{
  const auto silent = until_.find(aAddress);
  return silent != until_.end() && aNow < silent->second;
}

} // namespace latchslip
