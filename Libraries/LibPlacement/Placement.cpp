#include "LibPlacement/Placement.h"

#include "LibConfig/JsonReader.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace latchslip {

namespace {

// Hashes are written as hexadecimal text, because JSON parsers of other languages round
// integers above 2^53.
std::string
ToHex(KeyHash aHash)
{
  std::array<char, 16> digits{};
  const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), aHash, 16);
  return { digits.data(), result.ptr };
}

FieldResult<KeyHash>
FromHex(const std::string& aText, const std::string& aField)
{
  KeyHash hash = 0;
  const auto result = std::from_chars(aText.data(), aText.data() + aText.size(), hash, 16);
  if (result.ec != std::errc{} || result.ptr != aText.data() + aText.size()) {
    return FieldError{ aField, "must be a hexadecimal number" };
  }
  return hash;
}

FieldResult<PlacedServer>
ReadServer(const boost::json::value& aValue)
{
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(aValue, "servers[]"));
  PlacedServer server;
  BOOST_OUTCOME_TRY(server.name_, reader.Text("name"));
  BOOST_OUTCOME_TRY(server.hall_, reader.Text("hall"));
  BOOST_OUTCOME_TRY(server.holder_, reader.TextOr("holder", ""));
  BOOST_OUTCOME_TRY(const auto fence, reader.Text("fence"));
  BOOST_OUTCOME_TRY(server.fence_, FromHex(fence, "servers[].fence"));
  BOOST_OUTCOME_TRY(const auto stateName, reader.Text("state"));
  const auto state = kPlacedStateNames.ValueOf(stateName);
  if (!state) {
    return FieldError{ "servers[].state", "is not a known state: " + stateName };
  }
  server.state_ = *state;
  BOOST_OUTCOME_TRY(const auto* formerHolders, reader.List("unsettled"));
  for (const auto& holder : *formerHolders) {
    if (!holder.is_string()) {
      return FieldError{ "servers[].unsettled", "must be a list of strings" };
    }
    server.formerHolders_.emplace_back(holder.get_string());
  }
  return server;
}

FieldResult<Slice>
ReadSlice(const boost::json::value& aValue, std::size_t aServers)
{
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(aValue, "slices[]"));
  Slice slice;
  BOOST_OUTCOME_TRY(const auto start, reader.Text("s"));
  BOOST_OUTCOME_TRY(slice.start_, FromHex(start, "slices[].s"));
  const double most = static_cast<double>(aServers) - 1;
  BOOST_OUTCOME_TRY(const auto owner, reader.NumberOr("o", kNoServer, 0, most));
  BOOST_OUTCOME_TRY(const auto next, reader.NumberOr("n", -1, 0, most));
  slice.owner_ = static_cast<ServerIndex>(owner);
  slice.next_ = next < 0 ? kNoServer : static_cast<ServerIndex>(next);
  return slice;
}

} // namespace

std::size_t
Placement::SliceIndexOf(KeyHash aHash) const
{
  const auto after =
    std::upper_bound(slices_.begin(), slices_.end(), aHash, [](KeyHash aLeft, const Slice& aRight) {
      return aLeft < aRight.start_;
    });
  return static_cast<std::size_t>(after - slices_.begin()) - 1;
}

KeyHash
Placement::LastHashOf(std::size_t aSlice) const
{
  return aSlice + 1 < slices_.size() ? slices_[aSlice + 1].start_ - 1
                                     : std::numeric_limits<KeyHash>::max();
}

std::optional<ServerIndex>
Placement::FindServer(std::string_view aName) const
{
  for (ServerIndex index = 0; index < servers_.size(); ++index) {
    if (servers_[index].name_ == aName) {
      return index;
    }
  }
  return std::nullopt;
}

std::vector<std::size_t>
Placement::CountSlices() const
{
  std::vector<std::size_t> counts(servers_.size(), 0);
  for (const auto& slice : slices_) {
    ++counts[slice.owner_];
    if (slice.IsMoving()) {
      ++counts[slice.next_];
    }
  }
  return counts;
}

std::size_t
Placement::SplitAt(KeyHash aHash)
{
  const auto index = SliceIndexOf(aHash);
  if (slices_[index].start_ == aHash) {
    return index;
  }
  Slice upper = slices_[index];
  upper.start_ = aHash;
  slices_.insert(slices_.begin() + static_cast<std::ptrdiff_t>(index) + 1, upper);
  return index + 1;
}

void
Placement::MergeAdjacent(std::size_t aInitialSlices)
{
  const KeyHash width =
    std::numeric_limits<KeyHash>::max() / std::max<std::size_t>(aInitialSlices, 1);
  std::vector<Slice> merged;
  merged.reserve(slices_.size());
  for (const auto& slice : slices_) {
    const bool isInitialBoundary = slice.start_ % width == 0;
    const bool merges = !merged.empty() && !isInitialBoundary && !slice.IsMoving() &&
                        !merged.back().IsMoving() && merged.back().owner_ == slice.owner_;
    if (!merges) {
      merged.push_back(slice);
    }
  }
  slices_ = std::move(merged);
}

FieldResult<Placement>
ParsePlacement(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "placement"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  Placement placement;
  BOOST_OUTCOME_TRY(placement.service_, reader.Text("service"));
  BOOST_OUTCOME_TRY(placement.placer_, reader.Text("placer"));
  BOOST_OUTCOME_TRY(const auto epoch, reader.Text("epoch"));
  BOOST_OUTCOME_TRY(placement.epoch_, FromHex(epoch, "epoch"));
  BOOST_OUTCOME_TRY(const auto lastFence, reader.Text("last_fence"));
  BOOST_OUTCOME_TRY(placement.lastFence_, FromHex(lastFence, "last_fence"));
  BOOST_OUTCOME_TRY(placement.token_, reader.Text("token"));
  BOOST_OUTCOME_TRY(const auto* servers, reader.List("servers"));
  for (const auto& entry : *servers) {
    BOOST_OUTCOME_TRY(auto server, ReadServer(entry));
    placement.servers_.push_back(std::move(server));
  }
  BOOST_OUTCOME_TRY(const auto* slices, reader.List("slices"));
  for (const auto& entry : *slices) {
    BOOST_OUTCOME_TRY(const auto slice, ReadSlice(entry, placement.servers_.size()));
    const bool inOrder = placement.slices_.empty() ? slice.start_ == 0
                                                   : slice.start_ > placement.slices_.back().start_;
    if (!inOrder || slice.owner_ == kNoServer) {
      return FieldError{ "slices",
                         "must start at 0, be in ascending order, and each have an owner" };
    }
    placement.slices_.push_back(slice);
  }
  if (placement.slices_.empty()) {
    return FieldError{ "slices", "must not be empty" };
  }
  return placement;
}

std::string
SerializePlacement(const Placement& aPlacement)
{
  boost::json::array servers;
  for (const auto& server : aPlacement.servers_) {
    boost::json::array formerHolders;
    for (const auto& holder : server.formerHolders_) {
      formerHolders.emplace_back(holder);
    }
    boost::json::object entry{ { "name", server.name_ },
                               { "hall", server.hall_ },
                               { "fence", ToHex(server.fence_) },
                               { "state", kPlacedStateNames.NameOf(server.state_) },
                               { "unsettled", std::move(formerHolders) } };
    if (!server.holder_.empty()) {
      entry["holder"] = server.holder_;
    }
    servers.push_back(std::move(entry));
  }
  boost::json::array slices;
  for (const auto& slice : aPlacement.slices_) {
    boost::json::object entry{ { "s", ToHex(slice.start_) }, { "o", slice.owner_ } };
    if (slice.IsMoving()) {
      entry["n"] = slice.next_;
    }
    slices.push_back(std::move(entry));
  }
  return boost::json::serialize(boost::json::object{ { "service", aPlacement.service_ },
                                                     { "placer", aPlacement.placer_ },
                                                     { "epoch", ToHex(aPlacement.epoch_) },
                                                     { "last_fence", ToHex(aPlacement.lastFence_) },
                                                     { "token", aPlacement.token_ },
                                                     { "servers", std::move(servers) },
                                                     { "slices", std::move(slices) } });
}

} // namespace latchslip
