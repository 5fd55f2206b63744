#include "LibFleet/UpdateTree.h"

#include <algorithm>
#include <map>

namespace latchslip {

namespace {

// Up to this many receivers get the message directly; a tree would only add latency.
constexpr std::size_t kMaxDirectReceivers = 16;
// Number of instances to which one instance forwards a message: a hall of 60 is reached in two
// steps, and one of the slowest links (20 Mbit/s) carries eight messages of 1 KB in 3 ms.
constexpr std::size_t kFanOut = 8;
// Ends the list of addresses to forward a message to.
constexpr char kListEnd = '\n';
constexpr char kSeparator = ',';

std::vector<std::string>
AddressesOf(const std::vector<FleetPeer>& aPeers)
{
  std::vector<std::string> addresses;
  addresses.reserve(aPeers.size());
  for (const auto& peer : aPeers) {
    addresses.push_back(peer.address_);
  }
  return addresses;
}

} // namespace

bool
StrongerFirst(const FleetPeer& aLeft, const FleetPeer& aRight)
{
  if (aLeft.DutyCapacity() != aRight.DutyCapacity()) {
    return aLeft.DutyCapacity() > aRight.DutyCapacity();
  }
  return aLeft.address_ < aRight.address_;
}

std::vector<UpdateBranch>
PlanUpdateTree(std::vector<FleetPeer> aReceivers, const FleetPeer& aSelf)
{
  std::erase_if(aReceivers,
                [&](const FleetPeer& aPeer) { return aPeer.address_ == aSelf.address_; });
  std::sort(aReceivers.begin(), aReceivers.end(), StrongerFirst);
  std::vector<UpdateBranch> branches;
  if (aReceivers.size() <= kMaxDirectReceivers) {
    for (const auto& peer : aReceivers) {
      branches.push_back({ peer.address_, {} });
    }
    return branches;
  }
  std::map<std::string, std::vector<FleetPeer>> halls;
  for (auto& peer : aReceivers) {
    halls[peer.hall_].push_back(std::move(peer));
  }
  for (const auto& [hall, peers] : halls) {
    auto addresses = AddressesOf(peers);
    if (hall == aSelf.hall_) {
      const auto own = SplitForwarding(addresses);
      branches.insert(branches.end(), own.begin(), own.end());
      continue;
    }
    branches.push_back({ addresses.front(), { addresses.begin() + 1, addresses.end() } });
  }
  return branches;
}

std::vector<UpdateBranch>
SplitForwarding(const std::vector<std::string>& aForwardTo)
{
  std::vector<UpdateBranch> branches;
  for (std::size_t index = 0; index < aForwardTo.size(); ++index) {
    if (index < kFanOut) {
      branches.push_back({ aForwardTo[index], {} });
    } else {
      branches[index % kFanOut].forwardTo_.push_back(aForwardTo[index]);
    }
  }
  return branches;
}

std::string
EncodeUpdateMessage(const std::vector<std::string>& aForwardTo, std::string_view aUpdate)
{
  std::string text;
  for (const auto& address : aForwardTo) {
    if (!text.empty()) {
      text += kSeparator;
    }
    text += address;
  }
  text += kListEnd;
  text += aUpdate;
  return text;
}

FieldResult<UpdateMessage>
DecodeUpdateMessage(std::string_view aText)
{
  const auto end = aText.find(kListEnd);
  if (end == std::string_view::npos) {
    return FieldError{ "news", "must begin with a line of addresses to forward it to" };
  }
  UpdateMessage message;
  message.update_ = std::string(aText.substr(end + 1));
  auto list = aText.substr(0, end);
  while (!list.empty()) {
    const auto next = std::min(list.find(kSeparator), list.size());
    message.forwardTo_.emplace_back(list.substr(0, next));
    list.remove_prefix(std::min(next + 1, list.size()));
  }
  return message;
}

} // namespace latchslip
