#include "LibKeys/LoadDistribution.h"

#include <cmath>

namespace latchslip {

namespace {

// A key with more than this share of its server's load, which cannot be split further, is moved to
// the server with the highest weight if that weight is higher by this factor at least.
constexpr double kDominantShare = 0.5;
constexpr double kMinWeightRatio = 1.25;

} // namespace

LoadDistribution::LoadDistribution(const KeyOwnership& aOwnership,
                                   const KeyServers& aServers,
                                   const KeyLoad& aLoad)
  : requestCount_(aLoad.RequestCount())
{
  for (const auto& server : aServers.All()) {
    if (server.isUsable_) {
      servers_[server.id_] = { 0, server.weight_ };
      totalWeight_ += server.weight_;
    }
  }
  for (const auto& range : aOwnership.ranges_) {
    const double load = aLoad.Between(range.first_, range.last_);
    if (const auto entry = servers_.find(range.owner_); entry != servers_.end()) {
      entry->second.load_ += load;
    }
    totalLoad_ += load;
  }
  InsertRanks();
}

void
LoadDistribution::InsertRanks()
{
  double highest = 0;
  for (const auto& [server, entry] : servers_) {
    byLevel_.emplace(entry.Level(), server);
    candidates_.emplace(-entry.Level(), server);
    if (highestWeight_.empty() || entry.weight_ > highest) {
      highestWeight_ = server;
      highest = entry.weight_;
    }
  }
}

void
LoadDistribution::Add(const std::string& aServer, double aLoad)
{
  totalLoad_ += aLoad;
  const auto entry = servers_.find(aServer);
  if (entry == servers_.end()) {
    return;
  }
  byLevel_.erase({ entry->second.Level(), aServer });
  const bool isCandidate = candidates_.erase({ -entry->second.Level(), aServer }) > 0;
  entry->second.load_ += aLoad;
  byLevel_.emplace(entry->second.Level(), aServer);
  if (isCandidate) {
    candidates_.emplace(-entry->second.Level(), aServer);
  }
}

void
LoadDistribution::Exclude(const std::string& aServer)
{
  candidates_.erase({ -servers_.at(aServer).Level(), aServer });
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

} // namespace latchslip
