#pragma once

#include "LibBase/Time.h"
#include "LibStore/Row.h"

#include <optional>

namespace latchslip {

// Evidence that a configuration is fresh: age_ ago, the store held no configuration later than
// version_. Sent between instances.
struct ConfigurationProof
{
  RowVersion version_ = 0;
  Duration age_{ 0 };

  bool operator==(const ConfigurationProof&) const = default;
};

// Tracks the last time at which this instance's configuration was proven to be the latest one in
// the store. Readers of the store obtain proofs by reading it; all others receive them from those.
// An instance without a fresh proof cannot know whether an API key has been revoked since. It does
// no I/O.
class ConfigurationFreshness
{
public:
  // Sets the version of the latest configuration that this instance has.
  void OnKnown(RowVersion aVersion);
  // Records that at aAsOf the store held no configuration later than aVersion. If this instance
  // doesn't have aVersion yet, the proof takes effect once OnKnown reports it.
  void OnProof(Instant aAsOf, RowVersion aVersion);

  RowVersion KnownVersion() const { return known_; }
  // Time of the latest proof; Instant::min() before the first one.
  Instant ProvenAt() const { return provenAt_; }
  // The proof to send to other instances; no value if there is none for the store's current epoch.
  std::optional<ConfigurationProof> CurrentProof(Instant aNow) const;

private:
  // Whether the known version is at least as new as aVersion. Versions of different store epochs
  // cannot be compared: the copy that a store was restored from may lack writes that were
  // acknowledged before.
  bool Covers(RowVersion aVersion) const;
  void Prove(Instant aAsOf);

  RowVersion known_ = 0;
  Instant provenAt_ = Instant::min();
  // Store epoch of the configuration that the latest proof covers.
  StoreEpoch provenEpoch_ = 0;
  // The latest proof of a version that this instance doesn't have yet; 0 if there is none.
  RowVersion awaitedVersion_ = 0;
  Instant awaitedAsOf_ = Instant::min();
};

} // namespace latchslip
