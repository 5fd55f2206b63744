#include "LibGateway/RoutingTable.h"

#include <algorithm>
#include <cctype>

namespace latchslip {

namespace {

std::string
NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aLetter) {
    return static_cast<char>(std::tolower(aLetter));
  });
  return host;
}

} // namespace

FieldResult<RouteTable>
RouteTable::Create(RoutingConfiguration aConfiguration)
{
  RouteTable table;
  table.configuration_ = std::move(aConfiguration);
  const auto& configuration = table.configuration_;
  for (std::size_t index = 0; index < configuration.services_.size(); ++index) {
    table.services_[configuration.services_[index].name_] = index;
  }
  for (std::size_t index = 0; index < configuration.routes_.size(); ++index) {
    const auto& route = configuration.routes_[index];
    const auto name = "route " + route.Name();
    if (route.targets_.empty()) {
      return FieldError{ name, "has no target service" };
    }
    for (const auto& target : route.targets_) {
      if (table.FindService(target.service_) == nullptr) {
        return FieldError{ name, "refers to the unknown service " + target.service_ };
      }
    }
    table.routesByHost_[NormalizeHost(route.host_)].push_back(index);
    table.usesLoadManagement_ = table.usesLoadManagement_ || route.hasLargeBodies_;
  }
  BOOST_OUTCOME_TRY(table.apiKeys_, ApiKeyIndex::Create(configuration.groups_));
  for (auto& group : table.configuration_.groups_) {
    // The index is sufficient; the plain keys are not kept.
    group.apiKeys_.clear();
  }
  for (auto& [host, indices] : table.routesByHost_) {
    std::stable_sort(indices.begin(), indices.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return configuration.routes_[aLeft].pathPrefix_.size() >
             configuration.routes_[aRight].pathPrefix_.size();
    });
  }
  return table;
}

const Route*
RouteTable::Match(std::string_view aHost, std::string_view aPath) const
{
  const auto routes = routesByHost_.find(NormalizeHost(aHost));
  if (routes == routesByHost_.end()) {
    return nullptr;
  }
  const auto path = aPath.substr(0, aPath.find('?'));
  for (const auto index : routes->second) {
    const auto& route = configuration_.routes_[index];
    if (path.starts_with(route.pathPrefix_)) {
      return &route;
    }
  }
  return nullptr;
}

const CallerGroup*
RouteTable::FindGroup(std::string_view aApiKey) const
{
  const auto group = apiKeys_.Find(aApiKey);
  return group ? &configuration_.groups_[*group] : nullptr;
}

const RoutedService*
RouteTable::FindService(std::string_view aName) const
{
  const auto service = services_.find(aName);
  return service == services_.end() ? nullptr : &configuration_.services_[service->second];
}

} // namespace latchslip
