#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace latchslip {

// Another instance, which may relay requests to servers.
struct RelayPeer
{
  // Data hall.
  std::string hall_;
  // Its capacity for duties in processors, possibly a fraction; 0 if not stated.
  double capacity_ = 0;

  bool operator==(const RelayPeer&) const = default;
};

// Chooses the instance that relays a request to a server which this instance cannot reach itself:
// the one with the least under way for this instance of a few drawn at random, of the own hall
// first. Instances that lately could not relay are left out. No I/O.
class RelayChooser
{
public:
  RelayChooser(std::string aHall, std::uint32_t aSeed);

  // The other instances by address.
  void SetPeers(std::map<std::string, RelayPeer> aPeers);
  // The instance for one send; aTried are those that could not relay it, and aIsOwnHallInDoubt
  // tells that other halls come first. No value if there is none.
  std::optional<std::string> Choose(Instant aNow,
                                    const std::vector<std::string>& aTried,
                                    bool aIsOwnHallInDoubt = false);
  // Whether there is an instance to choose.
  bool HasChoice(Instant aNow) const;
  void OnSent(const std::string& aPeer);
  // The relayed exchange ended; aCouldRelay is false if the instance could not reach the servers
  // either, is stopping, or was lost.
  void OnEnded(Instant aNow, const std::string& aPeer, bool aCouldRelay);

private:
  struct PeerState
  {
    RelayPeer peer_;
    std::size_t inFlight_ = 0;
    unsigned failures_ = 0;
    Instant avoidUntil_ = Instant::min();
  };

  double CostOf(const PeerState& aState) const;

  std::string hall_;
  std::minstd_rand random_;
  std::map<std::string, PeerState> peers_;
  // Instances of the own hall are not preferred until then, since one of them could not relay.
  Instant ownHallAvoidedUntil_ = Instant::min();
};

} // namespace latchslip
