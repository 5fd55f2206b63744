#pragma once

#include "LibBase/Time.h"
#include "LibGateway/LatencyHistogram.h"
#include "LibGateway/Messages.h"
#include "LibGateway/PermitStatistics.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace latchslip {

// Counters for the requests of one route.
struct RouteStatistics
{
  // Delivered answers by their status.
  std::map<unsigned, std::uint64_t> answers_;
  // Refusals by the gateway, by reason.
  std::array<std::uint64_t, kRefusalReasonNames.names_.size()> refusals_{};
  // Latency of answers and refusals, from the arrival of the request.
  LatencyHistogram latency_;
};

// Counters for the requests of one group.
struct GroupStatistics
{
  // Requests that passed the API key and rate limit checks.
  std::uint64_t admitted_ = 0;
  // Requests that did not, by reason.
  std::array<std::uint64_t, kRefusalReasonNames.names_.size()> rejected_{};
};

// Counters for the attempts at one server, by their end.
using ServerStatistics = std::array<std::uint64_t, kAttemptEndNames.names_.size()>;

// Route name in metrics for requests that match no route.
inline constexpr auto kNoRoute = "-";

// Counters of one instance by route, group and server, for its metrics. Entries of routes, groups
// and servers that no longer exist are dropped, which bounds the memory.
class RequestStatistics
{
public:
  // aRoute is the name of a route, or kNoRoute.
  void OnAnswer(const std::string& aRoute, unsigned aStatus, Duration aLatency);
  void OnRefusal(const std::string& aRoute, RefusalReason aReason, Duration aLatency);
  void OnAttempt(const std::string& aServer, AttemptEnd aEnd);
  // aRejection is why a request of the group was refused by the API key or rate limit checks; no
  // value if it passed.
  void OnGroup(const std::string& aGroup, std::optional<RefusalReason> aRejection);

  // Drop the entries for which the predicate returns false.
  void KeepRoutes(const std::function<bool(const std::string&)>& aExists);
  void KeepGroups(const std::function<bool(const std::string&)>& aExists);
  void KeepServers(const std::function<bool(const std::string&)>& aExists);

  const std::map<std::string, RouteStatistics>& Routes() const { return routes_; }
  const std::map<std::string, GroupStatistics>& Groups() const { return groups_; }
  const std::map<std::string, ServerStatistics>& Servers() const { return servers_; }
  PermitStatistics& Permits() { return permits_; }
  const PermitStatistics& Permits() const { return permits_; }

private:
  std::map<std::string, RouteStatistics> routes_;
  std::map<std::string, GroupStatistics> groups_;
  std::map<std::string, ServerStatistics> servers_;
  PermitStatistics permits_;
};

} // namespace latchslip
