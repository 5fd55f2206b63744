#include "LibKeys/LoadDistribution.h"

#include <algorithm>
#include <cmath>

namespace latchslip {

namespace {

// A key with more than this share of its server's load, which cannot be split further, is moved to
// the server with the highest weight if that weight is higher by this factor at least.
constexpr double kDominantShare = 0.5;
constexpr double kMinWeightRatio = 1.25;

} // namespace

LoadDistribution::LoadDistribution(const KeyOwnership& aOwnership,
                                   const std::vector<KeyServer>& aServers,
                                   const KeyLoad& aLoad)
  : requestCount_(aLoad.RequestCount())
{
  for (const auto& server : aServers) {
    if (server.isUsable_) {
      servers_[server.id_] = { 0, server.weight_ };
      totalWeight_ += server.weight_;
    }
  }
  for (const auto& range : aOwnership.ranges_) {
    Add(range.owner_, aLoad.Between(range.first_, range.last_));
  }
}

void
LoadDistribution::Add(const std::string& aServer, double aLoad)
{
  if (const auto entry = servers_.find(aServer); entry != servers_.end()) {
    entry->second.load_ += aLoad;
  }
  totalLoad_ += aLoad;
}

std::string
LoadDistribution::HighestWeight() const
{
  const auto weaker = [](const auto& aLeft, const auto& aRight) {
    return aLeft.second.weight_ < aRight.second.weight_;
  };
  return std::max_element(servers_.begin(), servers_.end(), weaker)->first;
}

double
LoadDistribution::TransferToLevel(const std::string& aFrom, const std::string& aTo) const
{
  const auto& from = servers_.at(aFrom);
  const auto& to = servers_.at(aTo);
  return (from.load_ * to.weight_ - to.load_ * from.weight_) / (from.weight_ + to.weight_);
}

bool
LoadDistribution::FitsBetter(const std::string& aFrom, const std::string& aTo, double aLoad) const
{
  const auto& from = servers_.at(aFrom);
  const auto& to = servers_.at(aTo);
  const bool isDominant = aLoad > kDominantShare * from.load_;
  return isDominant && to.weight_ > kMinWeightRatio * from.weight_ &&
         aLoad / from.weight_ > MeanLevel();
}

double
LoadDistribution::Headroom(const std::string& aServer, double aMultiple) const
{
  return aMultiple * FairShareOf(aServer) - LoadOf(aServer);
}

double
LoadDistribution::SamplingError(const std::string& aServer) const
{
  // The variance of a count with exponential decay is half of its mean.
  const double mean = requestCount_ * servers_.at(aServer).weight_ / totalWeight_;
  return std::sqrt(mean / 2);
}

std::string
LoadDistribution::LeastLoaded() const
{
  const auto lower = [](const auto& aLeft, const auto& aRight) {
    return aLeft.second.Level() < aRight.second.Level();
  };
  return std::min_element(servers_.begin(), servers_.end(), lower)->first;
}

std::string
LoadDistribution::MostLoaded() const
{
  const std::string* most = nullptr;
  double highest = 0;
  for (const auto& [server, entry] : servers_) {
    const double level = entry.Level();
    if (!excluded_.contains(server) && (most == nullptr || level > highest)) {
      most = &server;
      highest = level;
    }
  }
  return *most;
}

} // namespace latchslip
