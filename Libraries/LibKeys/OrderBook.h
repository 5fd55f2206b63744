#pragma once

#include "LibKeys/KeyOrder.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace latchslip {

// The orders of one placer that are under way, and how many more may be.
class OrderBook
{
public:
  // Forgets all orders; what comes of them is not heard any more. Numbers go on.
  void Clear();

  // Gives an order that is about to be sent its number, and notes it.
  KeyOrder Add(KeyOrder aOrder);
  // Takes out an order that ended so; no value when it is not under way.
  std::optional<KeyOrder> Take(OrderNumber aOrder, OrderEnd aEnd);

  // Whether one more order may go to that server now.
  bool HasRoomFor(const std::string& aServer) const;
  bool HasOrderTo(const std::string& aServer) const { return ordersOf_.contains(aServer); }
  // Whether a grant of any of these keys to that server is under way.
  bool HasGrantTo(const std::string& aServer, KeySpan aKeys) const;

private:
  std::map<OrderNumber, KeyOrder> orders_;
  // How many of them go to each server.
  std::map<std::string, std::size_t> ordersOf_;
  // Servers that did not answer the order that ended last.
  std::set<std::string> silent_;
  OrderNumber lastOrder_ = 0;
};

} // namespace latchslip
