#pragma once

#include "LibBase/KeyHash.h"
#include "LibBase/NameTable.h"
#include "LibBase/Result.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace latchslip {

// Which servers own the keys of one service, and which instance holds each
// server. This is the record that the table service keeps, one row a service.

using ServerIndex = std::uint32_t;
inline constexpr ServerIndex kNoServer = 0xffffffff;

// Orders to a server carry a fence; a server obeys the highest it has seen.
using Fence = std::uint64_t;

enum class PlacedState
{
  Active,
  // Gives its slices away and gets no new work.
  Draining,
  // Its grants are known to have run out; it owns nothing.
  Lost,
};
inline constexpr NameTable<PlacedState, 3> kPlacedStateNames{ { "active", "draining", "lost" } };

// A server and the one instance that may give it orders.
struct PlacedServer
{
  std::string name_;
  std::string hall_;
  // Identity of the holding instance, "name#incarnation".
  std::string holder_;
  Fence fence_ = 0;
  PlacedState state_ = PlacedState::Active;
  // Former holders that may still be giving orders under a lower fence.
  std::vector<std::string> unsettled_;

  bool operator==(const PlacedServer&) const = default;
};

// The keys whose hash is at least start_ and below the start of the next slice.
// The slice of a single hot key covers one hash.
struct Slice
{
  KeyHash start_ = 0;
  ServerIndex owner_ = kNoServer;
  // The server that gets the slice once the owner has released it.
  ServerIndex next_ = kNoServer;

  bool IsMoving() const { return next_ != kNoServer; }
  bool operator==(const Slice&) const = default;
};

struct Placement
{
  std::string service_;
  // The instance that decides on this service, and how often that changed.
  std::string placer_;
  std::uint64_t epoch_ = 0;
  // The highest fence ever given out in this service. It outlives servers that
  // are removed, so that one added again under its old name is not refused.
  Fence lastFence_ = 0;
  // Unique to each write, so that a writer who lost the answer recognises it.
  std::string token_;
  std::vector<PlacedServer> servers_;
  // Sorted by start; the first starts at 0.
  std::vector<Slice> slices_;

  // The slice that holds a key. Allocates nothing. There must be a slice.
  std::size_t SliceIndexOf(KeyHash aHash) const;

  // The last hash that a slice covers.
  KeyHash LastHashOf(std::size_t aSlice) const;

  std::optional<ServerIndex> FindServer(std::string_view aName) const;

  // How many slices each server owns or is to own next.
  std::vector<std::size_t> CountSlices() const;

  // Splits a slice so that one starts at aHash; returns the index of it.
  std::size_t SplitAt(KeyHash aHash);

  // Joins neighbours that have the same owner and are not moving, but for the
  // even cuts that the placement began with (aEvenSlices of them).
  void JoinNeighbours(std::size_t aEvenSlices);

  bool operator==(const Placement&) const = default;
};

FieldResult<Placement>
ParsePlacement(std::string_view aText);
std::string
SerializePlacement(const Placement& aPlacement);

} // namespace latchslip
