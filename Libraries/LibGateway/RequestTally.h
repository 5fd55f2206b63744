#pragma once

#include "LibBase/Time.h"
#include "LibGateway/Messages.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace latchslip {

// How often something took how long.
class LatencyHistogram
{
public:
  // Upper bounds of the buckets in milliseconds: from a quick refusal to the longest
  // time limits of our users.
  static constexpr std::array<double, 10> kBounds{
    5, 20, 50, 100, 200, 400, 800, 1600, 4000, 15000
  };

  void Add(Duration aLatency);
  // One more than there are bounds, for what is beyond the last.
  const std::array<std::uint64_t, kBounds.size() + 1>& Buckets() const { return buckets_; }
  // In milliseconds.
  double Sum() const { return sum_; }

private:
  std::array<std::uint64_t, kBounds.size() + 1> buckets_{};
  double sum_ = 0;
};

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

// Counts what one instance did, by route and by server, for its metrics. Routes and
// servers that are there no more are dropped, so that it stays as small as they are.
class RequestTally
{
public:
  // aRoute is a route's host and path prefix; "-" where none matched.
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
