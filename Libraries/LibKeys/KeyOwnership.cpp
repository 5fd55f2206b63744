#include "LibKeys/KeyOwnership.h"

#include "LibConfig/JsonReader.h"
#include "LibStore/StoreEpoch.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace latchslip {

namespace {

// Members of a range in the row: first, last, owner, fence, previous.
constexpr std::size_t kRangeMembers = 5;

// Numbers the servers in the row's server list, to avoid repeating their long ids in each range. 0
// stands for no server.
class ServerNumbering
{
public:
  std::size_t NumberOf(const std::string& aId)
  {
    if (aId.empty()) {
      return 0;
    }
    const auto [entry, isNew] = numbers_.try_emplace(aId, servers_.size() + 1);
    if (isNew) {
      servers_.emplace_back(aId);
    }
    return entry->second;
  }
  boost::json::array Take() { return std::move(servers_); }

private:
  std::map<std::string, std::size_t> numbers_;
  boost::json::array servers_;
};

FieldResult<std::string>
ServerAt(const boost::json::array& aServers, std::uint64_t aNumber)
{
  if (aNumber == 0) {
    return std::string();
  }
  if (aNumber > aServers.size() || !aServers[aNumber - 1].is_string()) {
    return FieldError{ "ranges", "refers to a server that is not in the server list" };
  }
  return std::string(aServers[aNumber - 1].as_string());
}

FieldResult<KeyRange>
ParseRange(const boost::json::value& aValue, const boost::json::array& aServers)
{
  const FieldError malformed{ "ranges", "must be arrays of five unsigned integers" };
  if (!aValue.is_array() || aValue.as_array().size() != kRangeMembers) {
    return malformed;
  }
  std::array<std::uint64_t, kRangeMembers> numbers{};
  for (std::size_t index = 0; index < kRangeMembers; ++index) {
    boost::system::error_code error;
    numbers.at(index) = aValue.as_array()[index].to_number<std::uint64_t>(error);
    if (error) {
      return malformed;
    }
  }
  const auto [first, last, owner, fence, previous] = numbers;
  if (first > last || last > kLastKey) {
    return FieldError{ "ranges",
                       "must be within the key space and must not end before they start" };
  }
  KeyRange range;
  range.first_ = static_cast<KeyNumber>(first);
  range.last_ = static_cast<KeyNumber>(last);
  BOOST_OUTCOME_TRY(range.owner_, ServerAt(aServers, owner));
  range.fence_ = fence;
  BOOST_OUTCOME_TRY(range.previous_, ServerAt(aServers, previous));
  return range;
}

} // namespace

FenceNumber
IssueFences(FenceNumber& aLastFence)
{
  const auto first = aLastFence + 1;
  aLastFence += kFencesPerIssue;
  return first;
}

bool
KeyOwnership::IsLaterThan(const KeyOwnership& aOther) const
{
  return std::tie(epoch_, lastFence_) > std::tie(aOther.epoch_, aOther.lastFence_);
}

const KeyRange*
KeyOwnership::Find(KeyNumber aKey) const
{
  const auto next = std::upper_bound(
    ranges_.begin(), ranges_.end(), aKey, [](KeyNumber aNumber, const KeyRange& aRange) {
      return aNumber < aRange.first_;
    });
  if (next == ranges_.begin()) {
    return nullptr;
  }
  const auto& range = *std::prev(next);
  return aKey <= range.last_ ? &range : nullptr;
}

KeyOwnership
ChangesBetween(const KeyOwnership& aOld, const KeyOwnership& aNew)
{
  KeyOwnership changes{ aNew.service_, aNew.lastFence_, {}, aNew.epoch_, aNew.hasShortIsolation_ };
  for (const auto& range : aNew.ranges_) {
    const auto* old = aOld.Find(range.first_);
    if (old == nullptr || !(*old == range)) {
      changes.ranges_.push_back(range);
    }
  }
  return changes;
}

KeyOwnership
Overlay(const KeyOwnership& aOld, const KeyOwnership& aChanges)
{
  KeyOwnership result{ aOld.service_, std::max(aOld.lastFence_, aChanges.lastFence_), {}, 0 };
  result.epoch_ = std::max(aOld.epoch_, aChanges.epoch_);
  result.hasShortIsolation_ = aChanges.hasShortIsolation_;
  result.ranges_ = aChanges.ranges_;
  auto change = aChanges.ranges_.begin();
  for (const auto& range : aOld.ranges_) {
    // Keep the parts of this range that no change covers.
    KeyNumber next = range.first_;
    while (change != aChanges.ranges_.end() && change->last_ < next) {
      ++change;
    }
    for (auto covering = change;
         covering != aChanges.ranges_.end() && covering->first_ <= range.last_;
         ++covering) {
      if (covering->first_ > next) {
        auto piece = range;
        piece.first_ = next;
        piece.last_ = covering->first_ - 1;
        result.ranges_.push_back(std::move(piece));
      }
      next = covering->last_ + 1;
    }
    if (next <= range.last_) {
      auto piece = range;
      piece.first_ = next;
      result.ranges_.push_back(std::move(piece));
    }
  }
  std::sort(
    result.ranges_.begin(),
    result.ranges_.end(),
    [](const KeyRange& aLeft, const KeyRange& aRight) { return aLeft.first_ < aRight.first_; });
  return result;
}

std::string
SerializeOwnership(const KeyOwnership& aOwnership)
{
  ServerNumbering servers;
  boost::json::array ranges;
  for (const auto& range : aOwnership.ranges_) {
    ranges.push_back(boost::json::array{ range.first_,
                                         range.last_,
                                         servers.NumberOf(range.owner_),
                                         range.fence_,
                                         servers.NumberOf(range.previous_) });
  }
  boost::json::object document{ { "service", aOwnership.service_ },
                                { "epoch", aOwnership.epoch_ },
                                { "last_fence", aOwnership.lastFence_ },
                                { "servers", servers.Take() },
                                { "ranges", std::move(ranges) } };
  if (aOwnership.hasShortIsolation_) {
    document["short_isolation"] = true;
  }
  return boost::json::serialize(document);
}

FieldResult<KeyOwnership>
ParseOwnership(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "ownership"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  KeyOwnership ownership;
  BOOST_OUTCOME_TRY(ownership.service_, reader.Text("service"));
  BOOST_OUTCOME_TRY(const auto epoch,
                    reader.NumberOr("epoch", 0, 0, static_cast<double>(kMaxEpoch)));
  ownership.epoch_ = static_cast<StoreEpoch>(epoch);
  // Whole numbers up to here are represented exactly by a double.
  constexpr double kMaxFence = 9e15;
  BOOST_OUTCOME_TRY(const auto fence, reader.NumberOr("last_fence", 0, 0, kMaxFence));
  ownership.lastFence_ = static_cast<FenceNumber>(fence);
  BOOST_OUTCOME_TRY(ownership.hasShortIsolation_, reader.FlagOr("short_isolation", false));
  BOOST_OUTCOME_TRY(const auto* servers, reader.List("servers"));
  BOOST_OUTCOME_TRY(const auto* ranges, reader.List("ranges"));
  for (const auto& entry : *ranges) {
    BOOST_OUTCOME_TRY(auto range, ParseRange(entry, *servers));
    if (!ownership.ranges_.empty() && range.first_ <= ownership.ranges_.back().last_) {
      return FieldError{ "ranges", "must be sorted and must not overlap" };
    }
    ownership.ranges_.push_back(std::move(range));
  }
  return ownership;
}

} // namespace latchslip
