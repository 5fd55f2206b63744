#pragma once

#include "LibBase/Time.h"
#include "LibGateway/LatencyHistogram.h"
#include "LibGateway/Messages.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace latchslip {

// What came of the requests of one route.
struct RouteTally
{
  // By the status of a server's answer.
  std::map<unsigned, std::uint64_t> answers_;
  // Answers of our own, by reason.
  std::array<std::uint64_t, kRefusalReasonNames.names_.size()> refusals_{};
  // Of all of them, from the request's arrival.
  LatencyHistogram latency_;
};

// What came of the sends to one server, by their end.
using ServerTally = std::array<std::uint64_t, kAttemptEndNames.names_.size()>;

// Stands for the route of requests that match none.
inline constexpr auto kNoRoute = "-";

// Counts what one instance did, by route and by server, for its metrics. Routes and
// servers that are there no more are dropped, so that it stays as small as they are.
class RequestTally
{
public:
  // aRoute is the name of a route, or kNoRoute.
  void OnAnswer(const std::string& aRoute, unsigned aStatus, Duration aLatency);
  void OnRefusal(const std::string& aRoute, RefusalReason aReason, Duration aLatency);
  void OnAttempt(const std::string& aServer, AttemptEnd aEnd);

  void KeepRoutes(const std::function<bool(const std::string&)>& aIsThere);
  void KeepServers(const std::function<bool(const std::string&)>& aIsThere);

  const std::map<std::string, RouteTally>& Routes() const { return routes_; }
  const std::map<std::string, ServerTally>& Servers() const { return servers_; }

private:
  std::map<std::string, RouteTally> routes_;
  std::map<std::string, ServerTally> servers_;
};

} // namespace latchslip
