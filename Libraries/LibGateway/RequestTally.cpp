#include "LibGateway/RequestTally.h"

namespace latchslip {

void
RequestTally::OnAnswer(const std::string& aRoute, unsigned aStatus, Duration aLatency)
{
  auto& route = routes_[aRoute];
  ++route.answers_[aStatus];
  route.latency_.Add(aLatency);
}

void
RequestTally::OnRefusal(const std::string& aRoute, RefusalReason aReason, Duration aLatency)
{
  auto& route = routes_[aRoute];
  ++route.refusals_.at(static_cast<std::size_t>(aReason));
  route.latency_.Add(aLatency);
}

void
RequestTally::OnAttempt(const std::string& aServer, AttemptEnd aEnd)
{
  ++servers_[aServer].at(static_cast<std::size_t>(aEnd));
}

void
RequestTally::OnGroup(const std::string& aGroup, std::optional<RefusalReason> aBar)
{
  auto& group = groups_[aGroup];
  if (aBar) {
    ++group.barred_.at(static_cast<std::size_t>(*aBar));
  } else {
    ++group.passed_;
  }
}

void
RequestTally::KeepGroups(const std::function<bool(const std::string&)>& aIsThere)
{
  std::erase_if(groups_, [&](const auto& aEntry) { return !aIsThere(aEntry.first); });
}

void
RequestTally::KeepRoutes(const std::function<bool(const std::string&)>& aIsThere)
{
  std::erase_if(routes_, [&](const auto& aEntry) { return !aIsThere(aEntry.first); });
}

void
RequestTally::KeepServers(const std::function<bool(const std::string&)>& aIsThere)
{
  std::erase_if(servers_, [&](const auto& aEntry) { return !aIsThere(aEntry.first); });
}

} // namespace latchslip
