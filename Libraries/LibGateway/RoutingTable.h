#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibGateway/ApiKeyIndex.h"
#include "LibGateway/CallerGroup.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// One service that a route sends requests to, with its part of them.
struct RouteTarget
{
  std::string service_;
  double weight_ = 1;

  bool operator==(const RouteTarget&) const = default;
};

// Where the requests of one host and path prefix go, and what they may use.
struct Route
{
  std::string host_;
  // Begins and ends with a slash.
  std::string pathPrefix_;
  // Whether a request may run more than once.
  bool isRepeatable_ = false;
  // 0 is the most urgent.
  unsigned priority_ = 0;
  // The longest time that a request may be kept.
  Duration timeLimit_ = seconds(1);
  // An answer within this time is worth the most to its caller.
  Duration latencyTarget_ = seconds(1);
  // How many servers one request may be sent to.
  unsigned mostAttempts_ = 1;
  // Whether callers need no API key where there are groups.
  bool isPublic_ = false;
  std::vector<RouteTarget> targets_;

  // What it is called in logs and metrics.
  std::string Name() const { return host_ + pathPrefix_; }
};

struct RoutedService
{
  std::string name_;
  // Connections that each of its servers takes from all instances together.
  std::size_t mostConnections_ = 0;
  // Whether each key has one owner among its servers.
  bool isKeyed_ = false;
  // Requests a second that a server in its slow start takes from all instances together;
  // 0 when it takes as many as ever.
  double slowStartRate_ = 0;
};

// What a client's connection may use.
struct ClientLimits
{
  std::size_t headerBytes_ = 16UL * 1024;
  std::size_t bodyBytes_ = 16UL * 1024 * 1024;
  Duration headerTime_ = seconds(3);
  Duration idleTime_ = seconds(15);
};

// The whole configuration of the routing, as its operators put it in force.
struct RoutingConfiguration
{
  // Rises with each configuration, with gaps.
  std::uint64_t version_ = 0;
  ClientLimits limits_;
  std::vector<Route> routes_;
  std::vector<RoutedService> services_;
  // Empty when callers need no API keys.
  std::vector<CallerGroup> groups_;
};

// Finds the route of a request.
class RouteTable
{
public:
  RouteTable() = default;
  // Refuses routes without a target or with one that is no service, and API keys that two
  // groups share.
  static FieldResult<RouteTable> Create(RoutingConfiguration aConfiguration);

  // The route of that host whose prefix is the longest that begins the path;
  // null when there is none. A port after the host is left out of account.
  const Route* Match(std::string_view aHost, std::string_view aPath) const;
  const RoutedService* FindService(std::string_view aName) const;
  // Whether callers show an API key, but for public routes.
  bool HasGroups() const { return !configuration_.groups_.empty(); }
  // The group to which that API key belongs; null for an unknown key.
  const CallerGroup* FindGroup(std::string_view aApiKey) const;
  const RoutingConfiguration& Configuration() const { return configuration_; }

private:
  RoutingConfiguration configuration_;
  // The indices of each host's routes, the longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> routesByHost_;
  std::map<std::string, std::size_t, std::less<>> services_;
  ApiKeyIndex apiKeys_;
};

} // namespace latchslip
