#pragma once

#include "LibBase/Time.h"
#include "LibStore/Row.h"

#include <optional>

namespace latchslip {

// So long ago the store held no later configuration than that row.
struct ConfigurationProof
{
  RowVersion version_ = 0;
  Duration age_{ 0 };

  bool operator==(const ConfigurationProof&) const = default;
};

// Follows until when an instance knew for certain that its configuration was the latest:
// the store says so to those that read it, and they to the others. Who hears neither cannot
// know whether an API key was taken away since. It does no I/O.
class ConfigurationWatch
{
public:
  // The latest configuration that is known here.
  void OnKnown(RowVersion aVersion);
  // At that time the store held no later one than aVersion.
  void OnProof(Instant aAsOf, RowVersion aVersion);

  RowVersion Known() const { return known_; }
  // Instant::min() before any proof.
  Instant ProvenAt() const { return provenAt_; }
  // What others are told; no value when nothing is proven here.
  std::optional<ConfigurationProof> Tell(Instant aNow) const;

private:
  // Whether what is known here is no older than that version. Those of another epoch of
  // the store cannot be compared: its copy may lack what had been known.
  bool Covers(RowVersion aVersion) const;
  void Prove(Instant aAsOf);

  RowVersion known_ = 0;
  Instant provenAt_ = Instant::min();
  // The store's epoch in which that was.
  StoreEpoch provenIn_ = 0;
  // The last proof of a version that is not known here yet.
  RowVersion awaitedVersion_ = 0;
  Instant awaitedAsOf_ = Instant::min();
};

} // namespace latchslip
