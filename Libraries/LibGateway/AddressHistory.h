#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// The order in which servers were first listed at each address. A server uses its address until it
// ends, so a server that was listed later succeeded those before it. Later writes of a record do
// not count: a record of a server that has ended may still be written when its successor is
// already listed.
class AddressHistory
{
public:
  // Whether a newly listed server is known to have started after those listed before it.
  enum class Order
  {
    Later,
    Unknown,
  };

  // Adds a server that was not listed at the address before.
  void Add(const std::string& aAddress, const std::string& aId, Order aOrder);
  // Removes a server; no effect if it is not known at the address.
  void Remove(const std::string& aAddress, const std::string& aId);
  // Whether another server is known to have used the address after this one.
  bool IsSucceeded(std::string_view aAddress, std::string_view aId) const;

private:
  struct Listing
  {
    std::string id_;
    Order order_;
  };

  // By address, in the order of the first listing.
  std::map<std::string, std::vector<Listing>, std::less<>> listings_;
};

} // namespace latchslip
