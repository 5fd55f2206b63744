#pragma once

#include "LibKeys/KeyLoad.h"
#include "LibKeys/KeyOwnership.h"
#include "LibKeys/KeyServer.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace latchslip {

// The load of each usable server relative to its weight. The level of a server is its load per unit
// of weight. Except for IsEmpty, all queries require at least one usable server. The servers are
// kept in the order of their levels, so that a query and a change take a logarithmic time.
class LoadDistribution
{
public:
  // Servers that are not usable are left out, but their load counts in the total.
  LoadDistribution(const KeyOwnership& aOwnership,
                   const KeyServers& aServers,
                   const KeyLoad& aLoad);

  // Adds load to a server; negative when load is taken away.
  void Add(const std::string& aServer, double aLoad);

  bool IsEmpty() const { return servers_.empty(); }
  // The server with the lowest level.
  std::string LeastLoaded() const { return byLevel_.begin()->second; }
  // The server with the highest level among those not excluded. Requires HasCandidate.
  std::string MostLoaded() const { return candidates_.begin()->second; }
  // The server with the highest weight.
  const std::string& HighestWeight() const { return highestWeight_; }
  double LoadOf(const std::string& aServer) const { return servers_.at(aServer).load_; }
  // The fair share of the server: its load if the total were spread evenly by weight.
  double FairShareOf(const std::string& aServer) const
  {
    return MeanLevel() * servers_.at(aServer).weight_;
  }
  // The level of every server if the load were spread evenly.
  double MeanLevel() const { return totalLoad_ / totalWeight_; }
  // The load that the server can take before it reaches aMultiple of its fair share; negative when
  // it is beyond that.
  double Headroom(const std::string& aServer, double aMultiple) const;
  // Sampling error of the server's load: one standard deviation at the mean level. The load is
  // estimated from few requests.
  double SamplingError(const std::string& aServer) const;
  // Excludes a server from MostLoaded, because no load can be taken from it.
  void Exclude(const std::string& aServer);
  // Whether any server is left for MostLoaded.
  bool HasCandidate() const { return !candidates_.empty(); }
  // The load to transfer from aFrom to aTo that brings both to the same level.
  double TransferToLevel(const std::string& aFrom, const std::string& aTo) const;
  // Whether a single key with load aLoad that is too hot to share its server fits better on aTo,
  // which is then relieved of its other keys.
  bool FitsBetter(const std::string& aFrom, const std::string& aTo, double aLoad) const;

private:
  struct Entry
  {
    double load_ = 0;
    double weight_ = 1;

    // Load per unit of weight.
    double Level() const { return load_ / weight_; }
  };

  // A level and the server that has it. Servers of one level are ordered by id.
  using Rank = std::pair<double, std::string>;

  void InsertRanks();

  std::map<std::string, Entry> servers_;
  // All servers, lowest level first.
  std::set<Rank> byLevel_;
  // The servers not excluded by their negated levels, highest level first.
  std::set<Rank> candidates_;
  std::string highestWeight_;
  double totalLoad_ = 0;
  double totalWeight_ = 0;
  // Number of requests that the load is estimated from.
  double requestCount_ = 0;
};

} // namespace latchslip
