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

// A service that a route sends requests to, with its weight.
struct RouteTarget
{
  std::string service_;
  double weight_ = 1;

  bool operator==(const RouteTarget&) const = default;
};

// Target services and rules for the requests of one host and path prefix.
struct Route
{
  std::string host_;
  // Begins and ends with a slash.
  std::string pathPrefix_;
  // Whether a request may run more than once.
  bool isRepeatable_ = false;
  // 0 is the most urgent.
  unsigned priority_ = 0;
  // Longest time that a request may take in all.
  Duration timeLimit_ = seconds(1);
  // Latency within which an answer has its full value to the caller.
  Duration latencyTarget_ = seconds(1);
  // Maximum number of servers that one request may be sent to.
  unsigned maxAttempts_ = 1;
  // Whether callers need no API key even if groups are configured.
  bool isPublic_ = false;
  // Whether its requests carry large bodies, which callers have to send again with each retry.
  bool hasLargeBodies_ = false;
  std::vector<RouteTarget> targets_;

  // Name in logs and metrics.
  std::string Name() const { return host_ + pathPrefix_; }
};

// A service as routing uses it.
struct RoutedService
{
  std::string name_;
  // Connections that each of its servers accepts from all instances together.
  std::size_t maxConnections_ = 0;
  // Whether each key has one owner among its servers.
  bool isKeyed_ = false;
  // Requests per second that a server in slow start accepts from all instances together; 0 for no
  // such limit.
  double slowStartRate_ = 0;
};

// Limits of a client's connection.
struct ClientLimits
{
  std::size_t headerBytes_ = 16UL * 1024;
  std::size_t bodyBytes_ = 16UL * 1024 * 1024;
  Duration headerTime_ = seconds(3);
  Duration idleTime_ = seconds(15);
};

// The complete routing configuration, as operators activated it.
struct RoutingConfiguration
{
  // Increases with each configuration, with gaps.
  std::uint64_t version_ = 0;
  ClientLimits limits_;
  std::vector<Route> routes_;
  std::vector<RoutedService> services_;
  // Empty if callers need no API keys.
  std::vector<CallerGroup> groups_;
};

// Immutable lookup table for routes, services and API keys, built from a configuration.
class RouteTable
{
public:
  RouteTable() = default;
  // Fails for a route without a target or with an unknown service, and for an API key that two
  // groups share.
  static FieldResult<RouteTable> Create(RoutingConfiguration aConfiguration);

  // The route of the host with the longest prefix of the path; null if there is none. Ignores a
  // port after the host.
  const Route* Match(std::string_view aHost, std::string_view aPath) const;
  const RoutedService* FindService(std::string_view aName) const;
  // Whether callers must present an API key, except on public routes.
  bool HasGroups() const { return !configuration_.groups_.empty(); }
  // Whether the configuration asks for load management (docs/design/load-management.md): a route
  // carries large bodies, so that retries in vain are costly, and the links of instances are shared
  // with them.
  bool UsesLoadManagement() const { return usesLoadManagement_; }
  // The group that the API key belongs to; null for an unknown key.
  const CallerGroup* FindGroup(std::string_view aApiKey) const;
  const RoutingConfiguration& Configuration() const { return configuration_; }

private:
  RoutingConfiguration configuration_;
  bool usesLoadManagement_ = false;
  // Indices of each host's routes, longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> routesByHost_;
  std::map<std::string, std::size_t, std::less<>> services_;
  ApiKeyIndex apiKeys_;
};

} // namespace latchslip
