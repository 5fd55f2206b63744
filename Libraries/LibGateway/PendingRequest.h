#pragma once

#include "LibGateway/Messages.h"
#include "LibGateway/RoutingTable.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace latchslip {

// A client's request that waits to be sent or for a server's answer.
struct PendingRequest
{
  RoutedRequest request_;
  // The routes that held when the request came; route_ and service_ lie in them.
  std::shared_ptr<const RouteTable> routes_;
  const Route* route_ = nullptr;
  const RoutedService* service_ = nullptr;
  // Lies in routes_ too; null when the caller showed no API key that is known.
  const CallerGroup* group_ = nullptr;
  Instant arrival_{ 0 };
  // When it was last sent.
  Instant sentAt_{ 0 };
  Instant deadline_{ 0 };
  // Until when an answer is in time for its caller, counted from the first try.
  Instant inTimeUntil_{ 0 };
  // Until when it may wait without having been sent.
  Instant refuseAt_{ 0 };
  // Until when it must wait before it is sent again.
  Instant notBefore_ = Instant::min();
  Instant timer_ = Instant::max();
  // The send under way; 0 when it waits.
  AttemptNumber attempt_ = 0;
  AttemptNumber lastAttempt_ = 0;
  // The permit that it waits for; 0 when it waits for none.
  AttemptNumber ask_ = 0;
  // The dispatcher has said that there will be one.
  bool isPromised_ = false;
  // How long there is no room, as the dispatcher says.
  std::optional<Duration> toldWait_;
  // The server of the last send.
  std::string server_;
  std::uint64_t serverIncarnation_ = 0;
  unsigned sends_ = 0;
  // Sends after which the request may have run.
  unsigned runs_ = 0;
  // The servers whose sends ended without an answer for the client.
  std::vector<std::string> tried_;
  // Its API key was taken away.
  bool isRevoked_ = false;
  // The client has left.
  bool isGone_ = false;
  // It cannot be answered in time any more, so that others go first.
  bool isLate_ = false;
  // The server that it waits for, when its key has an owner.
  std::string owner_;
  // Why it could not be sent when this was last tried.
  RefusalReason obstacle_ = RefusalReason::NoCapacity;

  // Its rank among those that wait, 0 for the most urgent: the priority of its group goes
  // before that of its route.
  unsigned Rank() const
  {
    // Priorities beyond the last of these are taken for it.
    constexpr unsigned kPriorities = 1000;
    const auto ofRoute = std::min(route_->priority_, kPriorities - 1);
    const auto ofGroup = group_ == nullptr ? 0 : std::min(group_->priority_, kPriorities - 1);
    return ofGroup * kPriorities + ofRoute;
  }
};

} // namespace latchslip
