#pragma once

#include "LibStore/Row.h"

#include <string>

namespace latchslip {

// The versions of a store that may come back from an older copy of itself. Its counter goes
// back then and gives numbers out again, so that a number alone orders nothing. A RowVersion
// that is made here holds the epoch in its upper bits and the store's number in its lower
// ones: whatever compares versions orders those of a later epoch after all earlier ones. 0
// stays the version of a row that does not exist.

// Enough numbers for 170 years at 3,200 writes a second.
inline constexpr unsigned kNumberBits = 44;
// Returns beyond this count cannot be told apart.
inline constexpr StoreEpoch kMostEpoch = (StoreEpoch{ 1 } << (64 - kNumberBits)) - 1;
inline constexpr std::uint64_t kMostNumber = (std::uint64_t{ 1 } << kNumberBits) - 1;

constexpr RowVersion
VersionIn(StoreEpoch aEpoch, std::uint64_t aNumber)
{
  return aEpoch << kNumberBits | aNumber;
}

constexpr StoreEpoch
EpochOf(RowVersion aVersion)
{
  return aVersion >> kNumberBits;
}

// What the store itself calls the version.
constexpr std::uint64_t
NumberOf(RowVersion aVersion)
{
  return aVersion & kMostNumber;
}

// For the log: the epoch and the number, or the number alone in epoch 0.
inline std::string
DescribeVersion(RowVersion aVersion)
{
  const auto number = std::to_string(NumberOf(aVersion));
  const auto epoch = EpochOf(aVersion);
  return epoch == 0 ? number : std::to_string(epoch) + ":" + number;
}

} // namespace latchslip
