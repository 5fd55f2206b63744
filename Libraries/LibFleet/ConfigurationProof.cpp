#include "LibFleet/ConfigurationProof.h"

#include "LibStore/StoreEpoch.h"

#include <algorithm>

namespace latchslip {

bool
ConfigurationFreshness::Covers(RowVersion aVersion) const
{
  return known_ != 0 && EpochOf(known_) == EpochOf(aVersion) && known_ >= aVersion;
}

void
ConfigurationFreshness::OnKnown(RowVersion aVersion)
{
  known_ = std::max(known_, aVersion);
  if (awaitedVersion_ != 0 && Covers(awaitedVersion_)) {
    Prove(awaitedAsOf_);
    awaitedVersion_ = 0;
  }
}

void
ConfigurationFreshness::OnProof(Instant aAsOf, RowVersion aVersion)
{
  if (Covers(aVersion)) {
    Prove(aAsOf);
    return;
  }
  awaitedVersion_ = aVersion;
  awaitedAsOf_ = aAsOf;
}

void
ConfigurationFreshness::Prove(Instant aAsOf)
{
  provenAt_ = std::max(provenAt_, aAsOf);
  provenEpoch_ = EpochOf(known_);
}

// A proof from before a restore of the store says nothing about the restored copy.
std::optional<ConfigurationProof>
ConfigurationFreshness::CurrentProof(Instant aNow) const
{
  if (provenAt_ == Instant::min() || provenEpoch_ != EpochOf(known_)) {
    return std::nullopt;
  }
  return ConfigurationProof{ known_, aNow - provenAt_ };
}

} // namespace latchslip
