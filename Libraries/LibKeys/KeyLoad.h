#pragma once

#include "LibBase/Time.h"
#include "LibKeys/KeyOwnership.h"

#include <utility>
#include <vector>

namespace latchslip {

// Number of requests for one key.
struct KeyCount
{
  KeyNumber key_ = 0;
  std::uint32_t count_ = 0;

  bool operator==(const KeyCount&) const = default;
};

// Counts the requests per key that an instance has seen since its last load report.
class KeyCounter
{
public:
  void Count(KeyNumber aKey);
  // Returns and resets the counts since the last call, sorted by key.
  std::vector<KeyCount> Take();

private:
  std::vector<KeyNumber> keys_;
};

// Estimates the recent load of each key of a service, as an exponentially decaying count of its
// requests.
class KeyLoad
{
public:
  KeyLoad();

  // Adds the requests that one instance has counted. Keys above kLastKey are ignored.
  void Add(Instant aNow, const std::vector<KeyCount>& aCounts);
  // The load of the keys in [aFirst, aLast], in decayed requests, as of the last Refresh.
  double Between(KeyNumber aFirst, KeyNumber aLast) const;
  double Total() const { return Between(0, kLastKey); }
  // The decayed number of requests behind the estimate, without the base load of idle keys.
  double RequestCount() const;
  // Applies the decay up to aNow and rebuilds the prefix sums. To be called before a series of
  // queries.
  void Refresh(Instant aNow);

private:
  void RebuildSums();

  std::vector<double> loads_;
  // Prefix sums: sums_[k] is the load of all keys below k as of the last Refresh.
  std::vector<double> sums_;
  Instant decayedAt_ = Instant::min();
};

} // namespace latchslip
