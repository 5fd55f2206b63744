#pragma once

#include "LibBase/Result.h"
#include "LibStore/Row.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// A key of a keyed service, in [0, kLastKey].
using KeyNumber = std::uint32_t;

inline constexpr KeyNumber kLastKey = 65535;

// A contiguous range of keys.
struct KeySpan
{
  KeyNumber first_ = 0;
  // Inclusive.
  KeyNumber last_ = 0;

  bool Overlaps(const KeySpan& aOther) const
  {
    return first_ <= aOther.last_ && aOther.first_ <= last_;
  }
  bool operator==(const KeySpan&) const = default;
};

// Fencing token: increases each time keys are assigned to another server, so that servers can
// reject commands of an earlier assignment.
using FenceNumber = std::uint64_t;

// Number of fences that are issued for a range in one write: the one that is stored, and those
// above it, which its placer may use for the range without another write.
inline constexpr FenceNumber kFencesPerIssue = 64;

// Issues fences for a range. Returns the first of them and raises aLastFence to the last.
FenceNumber
IssueFences(FenceNumber& aLastFence);

// A contiguous range of keys with a single owner.
struct KeyRange
{
  KeyNumber first_ = 0;
  // Inclusive.
  KeyNumber last_ = 0;
  // Id of the owner, one incarnation of a server.
  std::string owner_;
  // The first of the fences that were issued for the range.
  FenceNumber fence_ = 0;
  // The incarnation that owned the keys before and may still hold them: the owner must not serve
  // them before the lease of the former one has certainly ended. Empty when the owner may serve.
  std::string previous_;

  KeySpan Span() const { return { first_, last_ }; }
  bool operator==(const KeyRange&) const = default;
};

// The owners of all keys of one service. Ranges are sorted and do not overlap.
struct KeyOwnership
{
  std::string service_;
  // The highest fence issued for the service when this ownership was written.
  FenceNumber lastFence_ = 0;
  std::vector<KeyRange> ranges_;
  // Epoch of the store in which this ownership was written. In a later epoch, higher fences may
  // have been issued by writes that the store has since lost.
  StoreEpoch epoch_ = 0;
  // Placers that work from this ownership stop renewing grants after the short isolation bound.
  bool hasShortIsolation_ = false;

  // Whether this ownership was written after the other one, by epoch and fence. Two writes with the
  // same last fence compare as equal, because not every write issues a fence.
  bool IsLaterThan(const KeyOwnership& aOther) const;
  // The range that contains the key; null when the key has no owner.
  const KeyRange* Find(KeyNumber aKey) const;
  bool operator==(const KeyOwnership&) const = default;
};

// The ranges of aNew that differ from aOld, with the other members of aNew.
KeyOwnership
ChangesBetween(const KeyOwnership& aOld, const KeyOwnership& aNew);

// Applies the result of ChangesBetween to aOld: keys in aChanges get their new owner, all other
// keys keep theirs. Both must be sorted.
KeyOwnership
Overlay(const KeyOwnership& aOld, const KeyOwnership& aChanges);

// Conversion from and to the JSON text stored in the ownership row. Parsing fails with the name of
// the malformed field.
std::string
SerializeOwnership(const KeyOwnership& aOwnership);
FieldResult<KeyOwnership>
ParseOwnership(std::string_view aText);

} // namespace latchslip
