#include "LibKeys/LoadDistribution.h"

#include <algorithm>
#include <cmath>

namespace latchslip {

namespace {

// A key with more than this share of its server's load, which cannot be split further, is moved to
// the server with the highest weight if that weight is higher by this factor at least.
constexpr double kDominantPart = 0.5;
constexpr double kStrongerFactor = 1.25;

} // namespace

LoadDistribution::LoadDistribution(const KeyOwnership& aOwnership,
                                   const std::vector<KeyServer>& aServers,
                                   const KeyLoad& aLoad)
  : counted_(aLoad.Counted())
{
  for (const auto& server : aServers) {
    if (server.isUsable_) {
      shares_[server.id_] = { 0, server.weight_ };
      totalWeight_ += server.weight_;
    }
  }
  for (const auto& range : aOwnership.ranges_) {
    Add(range.owner_, aLoad.Of(range.first_, range.last_));
  }
}

void
LoadDistribution::Add(const std::string& aServer, double aLoad)
{
  if (const auto share = shares_.find(aServer); share != shares_.end()) {
    share->second.load_ += aLoad;
  }
  totalLoad_ += aLoad;
}

std::string
LoadDistribution::Strongest() const
{
  const auto weaker = [](const auto& aLeft, const auto& aRight) {
    return aLeft.second.weight_ < aRight.second.weight_;
  };
  return std::max_element(shares_.begin(), shares_.end(), weaker)->first;
}

double
LoadDistribution::Difference(const std::string& aFrom, const std::string& aTo) const
{
  const auto& from = shares_.at(aFrom);
  const auto& to = shares_.at(aTo);
  return (from.load_ * to.weight_ - to.load_ * from.weight_) / (from.weight_ + to.weight_);
}

bool
LoadDistribution::IsBetterPlace(const std::string& aFrom,
                                const std::string& aTo,
                                double aLoad) const
{
  const auto& from = shares_.at(aFrom);
  const auto& to = shares_.at(aTo);
  const bool isDominant = aLoad > kDominantPart * from.load_;
  return isDominant && to.weight_ > kStrongerFactor * from.weight_ &&
         aLoad / from.weight_ > MeanLevel();
}

double
LoadDistribution::Room(const std::string& aServer, double aMultiple) const
{
  return aMultiple * PartOf(aServer) - LoadOf(aServer);
}

double
LoadDistribution::Noise(const std::string& aServer) const
{
  // The variance of a count with exponential decay is half of its mean.
  const double mean = counted_ * shares_.at(aServer).weight_ / totalWeight_;
  return std::sqrt(mean / 2);
}

std::string
LoadDistribution::Least() const
{
  const auto lower = [](const auto& aLeft, const auto& aRight) {
    return aLeft.second.Level() < aRight.second.Level();
  };
  return std::min_element(shares_.begin(), shares_.end(), lower)->first;
}

std::string
LoadDistribution::Most() const
{
  const std::string* most = nullptr;
  double highest = 0;
  for (const auto& [server, share] : shares_) {
    const double level = share.Level();
    if (!leftOut_.contains(server) && (most == nullptr || level > highest)) {
      most = &server;
      highest = level;
    }
  }
  return *most;
}

} // namespace latchslip
