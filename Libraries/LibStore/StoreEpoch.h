#pragma once

#include "LibStore/Row.h"

#include <string>

namespace latchslip {

// Row versions that stay ordered when the store is restored from an older copy of itself.
// Such a restore sets the store's version counter back, so that it assigns the same numbers
// again. A RowVersion made here holds the store epoch in its upper bits and the store's
// number in its lower bits, so a version of a later epoch compares greater than all versions
// of earlier epochs. 0 is still the version of a row that does not exist.

// Enough numbers for 170 years at 3,200 writes per second.
inline constexpr unsigned kNumberBits = 44;
// Restores beyond this number cannot be distinguished.
inline constexpr StoreEpoch kMaxEpoch = (StoreEpoch{ 1 } << (64 - kNumberBits)) - 1;
inline constexpr std::uint64_t kMaxVersionNumber = (std::uint64_t{ 1 } << kNumberBits) - 1;

// Returns the row version that corresponds to the store's aNumber in aEpoch.
constexpr RowVersion
MakeVersion(StoreEpoch aEpoch, std::uint64_t aNumber)
{
  return aEpoch << kNumberBits | aNumber;
}

constexpr StoreEpoch
EpochOf(RowVersion aVersion)
{
  return aVersion >> kNumberBits;
}

// Returns the version as the store numbers it.
constexpr std::uint64_t
NumberOf(RowVersion aVersion)
{
  return aVersion & kMaxVersionNumber;
}

// Formats a version for the log: "EPOCH:NUMBER", or the number alone in epoch 0.
inline std::string
DescribeVersion(RowVersion aVersion)
{
  const auto number = std::to_string(NumberOf(aVersion));
  const auto epoch = EpochOf(aVersion);
  return epoch == 0 ? number : std::to_string(epoch) + ":" + number;
}

} // namespace latchslip
