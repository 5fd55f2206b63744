#pragma once

#include "LibGateway/Messages.h"
#include "LibGateway/PathSearch.h"
#include "LibGateway/RoutingTable.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace latchslip {

// Grace period after a request's deadline for an answer that the server sends at its time limit.
inline constexpr Duration kAnswerGrace = milliseconds(20);

// A client's request that is queued, waits for a permit or waits for a server's answer.
struct PendingRequest
{
  RoutedRequest request_;
  // The route table in force when the request arrived; route_ and service_ point into it.
  std::shared_ptr<const RouteTable> routes_;
  const Route* route_ = nullptr;
  const RoutedService* service_ = nullptr;
  // Points into routes_ too; null if the caller presented no known API key.
  const CallerGroup* group_ = nullptr;
  Instant arrival_{ 0 };
  // Time of the last send.
  Instant sentAt_{ 0 };
  Instant deadline_{ 0 };
  // Latest time at which an answer is in time for the caller, counted from the caller's first
  // attempt.
  Instant inTimeUntil_{ 0 };
  // Time at which the request is refused if it has not been sent by then.
  Instant refuseAt_{ 0 };
  // Earliest time of the next send.
  Instant notBefore_ = Instant::min();
  Instant timer_ = Instant::max();
  // The attempt in flight; 0 while the request waits.
  AttemptNumber attempt_ = 0;
  AttemptNumber lastAttempt_ = 0;
  // The pending permit request; 0 if there is none.
  AttemptNumber permitRequest_ = 0;
  Instant permitRequestedAt_{ 0 };
  // The dispatcher answered that a permit will follow.
  bool isPermitAnnounced_ = false;
  // Time until the dispatcher expects to have capacity, if it reported one.
  std::optional<Duration> dispatcherWait_;
  // The dispatcher reserves capacity for a return after dispatcherWait_.
  bool isReturnPromised_ = false;
  // Server of the last attempt.
  std::string server_;
  std::uint64_t serverIncarnation_ = 0;
  // Connection of the last attempt, see AttemptOutcome; 0 until it has ended.
  std::uint64_t connection_ = 0;
  // The paths tried for the attempt in flight.
  PathSearch path_;
  unsigned sends_ = 0;
  // Attempts that may have run the request.
  unsigned runs_ = 0;
  // Servers whose attempts ended without an answer for the client.
  std::vector<std::string> tried_;
  // The API key was revoked.
  bool isRevoked_ = false;
  // The client closed its connection.
  bool isClientGone_ = false;
  // The request can no longer be answered in time; requests that still can take precedence.
  bool isLate_ = false;
  // Owner of the request's key, if there is one that the request waits for.
  std::string owner_;
  // Why the last try to send the request failed.
  RefusalReason blockReason_ = RefusalReason::NoCapacity;

  // Queue rank, 0 for the most urgent: the priority of the group takes precedence over that of
  // the route.
  unsigned Rank() const
  {
    // Higher values are clamped to the last of these priorities.
    constexpr unsigned kPriorities = 1000;
    const auto ofRoute = std::min(route_->priority_, kPriorities - 1);
    const auto ofGroup = group_ == nullptr ? 0 : std::min(group_->priority_, kPriorities - 1);
    return ofGroup * kPriorities + ofRoute;
  }
};

} // namespace latchslip
