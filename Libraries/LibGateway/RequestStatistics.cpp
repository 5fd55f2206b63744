#include "LibGateway/RequestStatistics.h"

namespace latchslip {

void
RequestStatistics::OnAnswer(const std::string& aRoute, unsigned aStatus, Duration aLatency)
{
  auto& route = routes_[aRoute];
  ++route.answers_[aStatus];
  route.latency_.Add(aLatency);
}

void
RequestStatistics::OnRefusal(const std::string& aRoute, RefusalReason aReason, Duration aLatency)
{
  auto& route = routes_[aRoute];
  ++route.refusals_.at(static_cast<std::size_t>(aReason));
  route.latency_.Add(aLatency);
}

void
RequestStatistics::OnAttempt(const std::string& aServer, AttemptEnd aEnd)
{
  ++servers_[aServer].at(static_cast<std::size_t>(aEnd));
}

void
RequestStatistics::OnGroup(const std::string& aGroup, std::optional<RefusalReason> aRejection)
{
  auto& group = groups_[aGroup];
  if (aRejection) {
    ++group.rejected_.at(static_cast<std::size_t>(*aRejection));
  } else {
    ++group.admitted_;
  }
}

void
RequestStatistics::KeepGroups(const std::function<bool(const std::string&)>& aExists)
{
  std::erase_if(groups_, [&](const auto& aEntry) { return !aExists(aEntry.first); });
}

void
RequestStatistics::KeepRoutes(const std::function<bool(const std::string&)>& aExists)
{
  std::erase_if(routes_, [&](const auto& aEntry) { return !aExists(aEntry.first); });
}

void
RequestStatistics::KeepServers(const std::function<bool(const std::string&)>& aExists)
{
  std::erase_if(servers_, [&](const auto& aEntry) { return !aExists(aEntry.first); });
}

} // namespace latchslip
