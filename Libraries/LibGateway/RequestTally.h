#pragma once

#include "LibBase/Time.h"
#include "LibGateway/LatencyHistogram.h"
#include "LibGateway/Messages.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
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

// What came of the requests of one group.
struct GroupTally
{
  // Those that its key and its limit let go on.
  std::uint64_t passed_ = 0;
  // The others, by reason.
  std::array<std::uint64_t, kRefusalReasonNames.names_.size()> barred_{};
};

// What came of the sends to one server, by their end.
using ServerTally = std::array<std::uint64_t, kAttemptEndNames.names_.size()>;

// Stands for the route of requests that match none.
inline constexpr auto kNoRoute = "-";

// Counts what one instance did, by route, group and server, for its metrics. Those that
// are there no more are dropped, so that it stays as small as they are.
class RequestTally
{
public:
  // aRoute is the name of a route, or kNoRoute.
  void OnAnswer(const std::string& aRoute, unsigned aStatus, Duration aLatency);
  void OnRefusal(const std::string& aRoute, RefusalReason aReason, Duration aLatency);
  void OnAttempt(const std::string& aServer, AttemptEnd aEnd);
  // aBar is why a request of that group does not go on; no value when it does.
  void OnGroup(const std::string& aGroup, std::optional<RefusalReason> aBar);

  void KeepRoutes(const std::function<bool(const std::string&)>& aIsThere);
  void KeepGroups(const std::function<bool(const std::string&)>& aIsThere);
  void KeepServers(const std::function<bool(const std::string&)>& aIsThere);

  const std::map<std::string, RouteTally>& Routes() const { return routes_; }
  const std::map<std::string, GroupTally>& Groups() const { return groups_; }
  const std::map<std::string, ServerTally>& Servers() const { return servers_; }

private:
  std::map<std::string, RouteTally> routes_;
  std::map<std::string, GroupTally> groups_;
  std::map<std::string, ServerTally> servers_;
};

} // namespace latchslip
