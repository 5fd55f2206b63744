#pragma once

#include "LibBase/Result.h"
#include "LibStore/Row.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// A key of a service that is divided by key number.
using KeyNumber = std::uint32_t;

// The largest key number.
inline constexpr KeyNumber kLastKey = 65535;

// Neighbouring keys.
struct KeySpan
{
  KeyNumber first_ = 0;
  // Included.
  KeyNumber last_ = 0;

  bool Overlaps(const KeySpan& aOther) const
  {
    return first_ <= aOther.last_ && aOther.first_ <= last_;
  }
  bool operator==(const KeySpan&) const = default;
};

// A number that rises whenever keys pass to another server.
using FenceNumber = std::uint64_t;

// Neighbouring keys with one owner.
struct KeyRange
{
  KeyNumber first_ = 0;
  // Included.
  KeyNumber last_ = 0;
  // The id of the server life that owns the keys.
  std::string owner_;
  FenceNumber fence_ = 0;
  // The life that owned them before and may still hold them: nobody may serve
  // them until it certainly does not. Empty when the owner may serve.
  std::string previous_;

  KeySpan Span() const { return { first_, last_ }; }
  bool operator==(const KeyRange&) const = default;
};

// Who owns the keys of one service. The ranges do not overlap and rise.
struct KeyOwnership
{
  std::string service_;
  // The highest fence that was given out for this service when it was written.
  FenceNumber lastFence_ = 0;
  std::vector<KeyRange> ranges_;
  // The store's epoch in which it was written. In a later one higher fences may have been
  // given out by writes that the store has lost.
  StoreEpoch epoch_ = 0;

  // Whether it was written after the other one, as far as epochs and fences tell: not each
  // write raises a fence.
  bool IsLaterThan(const KeyOwnership& aOther) const;
  // The range of a key; null when the key has no owner.
  const KeyRange* Find(KeyNumber aKey) const;
  bool operator==(const KeyOwnership&) const = default;
};

// The ranges of aNew that do not stand so in aOld, with the epoch and last fence of aNew.
KeyOwnership
ChangesBetween(const KeyOwnership& aOld, const KeyOwnership& aNew);

// What comes of aOld when the keys of aChanges get their owners from there.
KeyOwnership
Overlay(const KeyOwnership& aOld, const KeyOwnership& aChanges);

// The text that stands in the store's row.
std::string
SerializeOwnership(const KeyOwnership& aOwnership);
FieldResult<KeyOwnership>
ParseOwnership(std::string_view aText);

} // namespace latchslip
