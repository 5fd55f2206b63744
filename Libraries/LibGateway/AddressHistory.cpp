#include "LibGateway/AddressHistory.h"

#include <algorithm>

namespace latchslip {

void
AddressHistory::Add(const std::string& aAddress, const std::string& aId, Order aOrder)
{
  listings_[aAddress].push_back({ aId, aOrder });
}

void
AddressHistory::Remove(const std::string& aAddress, const std::string& aId)
{
  const auto listings = listings_.find(aAddress);
  if (listings == listings_.end()) {
    return;
  }
  std::erase_if(listings->second, [&](const Listing& aListing) { return aListing.id_ == aId; });
  if (listings->second.empty()) {
    listings_.erase(listings);
  }
}

bool
AddressHistory::IsSucceeded(std::string_view aAddress, std::string_view aId) const
{
  const auto listings = listings_.find(aAddress);
  if (listings == listings_.end()) {
    return false;
  }
  const auto& all = listings->second;
  const auto own = std::find_if(
    all.begin(), all.end(), [&](const Listing& aListing) { return aListing.id_ == aId; });
  return own != all.end() && std::any_of(std::next(own), all.end(), [](const Listing& aListing) {
           return aListing.order_ == Order::Later;
         });
}

} // namespace latchslip
