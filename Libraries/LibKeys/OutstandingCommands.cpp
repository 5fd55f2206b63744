#include "LibKeys/OutstandingCommands.h"

#include <algorithm>

namespace latchslip {

namespace {

// Maximum number of outstanding commands. Each uses a connection of its own, and an instance must
// reserve most of its file descriptors (4,100 at the least) for clients. When many servers leave at
// once, their keys have no owner until these commands complete, and each takes as long as the
// server's remaining work on the keys.
constexpr std::size_t kMostOrders = 384;
// Limit per server; equals the number of ranges that one rebalancing round takes from a server.
constexpr std::size_t kMostOrdersAServer = 64;
// Limit for a server that did not answer its last command, so that many such servers do not use up
// the total limit.
constexpr std::size_t kMostOrdersUnanswered = 2;

} // namespace

void
OutstandingCommands::Clear()
{
  orders_.clear();
  ordersOf_.clear();
  silent_.clear();
}

KeyCommand
OutstandingCommands::Add(KeyCommand aOrder)
{
  aOrder.number_ = ++lastOrder_;
  ++ordersOf_[aOrder.server_];
  orders_[aOrder.number_] = aOrder;
  return aOrder;
}

std::optional<KeyCommand>
OutstandingCommands::Take(CommandNumber aOrder, CommandStatus aEnd)
{
  const auto found = orders_.find(aOrder);
  if (found == orders_.end()) {
    return std::nullopt;
  }
  auto order = std::move(found->second);
  orders_.erase(found);
  if (--ordersOf_.at(order.server_) == 0) {
    ordersOf_.erase(order.server_);
  }
  if (aEnd == CommandStatus::Unanswered || aEnd == CommandStatus::NotSent) {
    silent_.insert(order.server_);
  } else {
    silent_.erase(order.server_);
  }
  return order;
}

bool
OutstandingCommands::HasRoomFor(const std::string& aServer) const
{
  if (orders_.size() >= kMostOrders) {
    return false;
  }
  const auto count = ordersOf_.find(aServer);
  const auto most = silent_.contains(aServer) ? kMostOrdersUnanswered : kMostOrdersAServer;
  return count == ordersOf_.end() || count->second < most;
}

bool
OutstandingCommands::HasGrantTo(const std::string& aServer, KeySpan aKeys) const
{
  return std::any_of(orders_.begin(), orders_.end(), [&](const auto& aEntry) {
    const auto& order = aEntry.second;
    return order.server_ == aServer && !order.isRelease_ && order.Span().Overlaps(aKeys);
  });
}

} // namespace latchslip
