#pragma once

#include "LibBase/Time.h"
#include "LibKeys/KeyOwnership.h"

#include <utility>
#include <vector>

namespace latchslip {

// How often a key was asked for.
struct KeyCount
{
  KeyNumber key_ = 0;
  std::uint32_t count_ = 0;

  bool operator==(const KeyCount&) const = default;
};

// Collects what one instance has seen since it last reported.
class KeyCounter
{
public:
  void Count(KeyNumber aKey);
  // The counts since the last call, by key.
  std::vector<KeyCount> Take();

private:
  std::vector<KeyNumber> keys_;
};

// The recent load of each key of a service; older requests count less and less.
class KeyLoad
{
public:
  KeyLoad();

  void Add(Instant aNow, const std::vector<KeyCount>& aCounts);
  // The load of neighbouring keys, both ends included, in recent requests.
  double Of(KeyNumber aFirst, KeyNumber aLast) const;
  double Total() const { return Of(0, kLastKey); }
  // The requests that the loads are told from; without what idle keys count.
  double Counted() const;
  // To be called before a round of questions.
  void Refresh(Instant aNow);

private:
  void Sum();

  std::vector<double> loads_;
  // sums_[k] is the load of all keys below k, as of the last Refresh.
  std::vector<double> sums_;
  Instant decayedAt_ = Instant::min();
};

} // namespace latchslip
