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

// The placement of a service assigns its key ranges to backend servers, and each server to
// the instance that holds it. It is stored in the table service, one row per service.

using ServerIndex = std::uint32_t;
inline constexpr ServerIndex kNoServer = 0xffffffff;

// Fencing token. Commands to a server carry it, and a server obeys only the highest it has
// seen.
using Fence = std::uint64_t;

enum class PlacedState
{
  Active,
  // Its slices are being moved away, and it gets no new ones.
  Draining,
  // Its grants have certainly expired; it owns no slices.
  Lost,
};
inline constexpr NameTable<PlacedState, 3> kPlacedStateNames{ { "active", "draining", "lost" } };

// A server and the one instance that may send it commands.
struct PlacedServer
{
  std::string name_;
  std::string hall_;
  // Id of the holding instance, "name#incarnation".
  std::string holder_;
  Fence fence_ = 0;
  PlacedState state_ = PlacedState::Active;
  // Former holders that may still send commands under a lower fence.
  std::vector<std::string> formerHolders_;

  bool operator==(const PlacedServer&) const = default;
};

// A range of the hash space: the hashes from start_ up to the start of the next slice. The
// slice of a single hot key covers one hash.
struct Slice
{
  KeyHash start_ = 0;
  ServerIndex owner_ = kNoServer;
  // The server that becomes the owner once the present owner has released the slice.
  ServerIndex next_ = kNoServer;

  bool IsMoving() const { return next_ != kNoServer; }
  bool operator==(const Slice&) const = default;
};

struct Placement
{
  std::string service_;
  // The instance that decides the placement of this service, and how often that changed.
  std::string placer_;
  std::uint64_t epoch_ = 0;
  // The highest fence ever assigned in this service. It is kept when servers are removed, so
  // that a server that is added again under its old name does not reject its holder.
  Fence lastFence_ = 0;
  // Unique per write, so that a writer that lost the answer can recognize its own write.
  std::string token_;
  std::vector<PlacedServer> servers_;
  // Sorted by start_; the first starts at 0.
  std::vector<Slice> slices_;

  // Returns the index of the slice that contains the hash. Requires at least one slice. Does
  // not allocate.
  std::size_t SliceIndexOf(KeyHash aHash) const;

  // Returns the last hash of a slice.
  KeyHash LastHashOf(std::size_t aSlice) const;

  std::optional<ServerIndex> FindServer(std::string_view aName) const;

  // Returns for each server the number of slices that it owns or will own after the moves in
  // progress.
  std::vector<std::size_t> CountSlices() const;

  // Splits a slice so that one starts at aHash, and returns the index of that one.
  std::size_t SplitAt(KeyHash aHash);

  // Merges adjacent slices that have the same owner and are not moving. The boundaries of the
  // aInitialSlices equal slices that the placement began with are kept.
  void MergeAdjacent(std::size_t aInitialSlices);

  bool operator==(const Placement&) const = default;
};

FieldResult<Placement>
ParsePlacement(std::string_view aText);
std::string
SerializePlacement(const Placement& aPlacement);

} // namespace latchslip
