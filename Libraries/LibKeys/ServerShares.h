#pragma once

#include "LibKeys/KeyLoad.h"
#include "LibKeys/KeyOwnership.h"
#include "LibKeys/KeyServer.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace latchslip {

// The load of each usable server, in units of its weight. Unless IsEmpty, there is
// a least, a most and a strongest one.
class ServerShares
{
public:
  ServerShares(const KeyOwnership& aOwnership,
               const std::vector<KeyServer>& aServers,
               const KeyLoad& aLoad);

  // Counts load that a server gets; load it loses is negative.
  void Add(const std::string& aServer, double aLoad);

  bool IsEmpty() const { return shares_.empty(); }
  // The server with the lowest level.
  std::string Least() const;
  // The server with the highest level of those that are not left out.
  std::string Most() const;
  // The server with the highest weight.
  std::string Strongest() const;
  double LoadOf(const std::string& aServer) const { return shares_.at(aServer).load_; }
  // The load of a server at the mean level.
  double PartOf(const std::string& aServer) const
  {
    return MeanLevel() * shares_.at(aServer).weight_;
  }
  // The level of every server if the load were spread evenly.
  double MeanLevel() const { return totalLoad_ / totalWeight_; }
  // The load that a server can get before it is at that multiple of the mean level;
  // negative when it is beyond.
  double Room(const std::string& aServer, double aMultiple) const;
  // By how much the load of a server is uncertain, since it is told from few
  // requests: one standard deviation at the mean level.
  double Noise(const std::string& aServer) const;
  // Leaves a server out of Most from now on: nothing can be taken from it.
  void LeaveOut(const std::string& aServer) { leftOut_.insert(aServer); }
  // Whether Most has a server left.
  bool HasMost() const { return leftOut_.size() < shares_.size(); }
  // The load that must pass from one to the other to bring both to one level.
  double Difference(const std::string& aFrom, const std::string& aTo) const;
  // Whether a key too hot to be shared is better off at another server, which is
  // then relieved of its other keys.
  bool IsBetterPlace(const std::string& aFrom, const std::string& aTo, double aLoad) const;

private:
  struct Share
  {
    double load_ = 0;
    double weight_ = 1;

    // The load for each unit of the weight.
    double Level() const { return load_ / weight_; }
  };

  std::map<std::string, Share> shares_;
  std::set<std::string> leftOut_;
  double totalLoad_ = 0;
  double totalWeight_ = 0;
  // The requests that the loads are told from.
  double counted_ = 0;
};

} // namespace latchslip
