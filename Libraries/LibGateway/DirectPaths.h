#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace latchslip {

// Tracks to which servers this instance can connect itself. That a connection fails says nothing
// about the server by itself: the links of this instance may be cut. What other instances say of
// the server tells the two apart. An instance whose links seem to be cut counts as cut off; it then
// sends nothing to any server but probes one from time to time. No I/O.
class DirectPaths
{
public:
  // Whether there are other instances that could relay.
  void SetHasRelays(bool aHasRelays) { hasRelays_ = aHasRelays; }
  // The server answered this instance over a connection of its own.
  void OnReached(Instant aNow, const std::string& aServer);
  // This instance could not connect to the server, or its connection went silent, and no other
  // instance is asked.
  void OnUnreachable(Instant aNow, const std::string& aServer);
  // As OnUnreachable, while another instance is asked as well, or asked this one.
  void OnUnreachableAndAsked(Instant aNow, const std::string& aServer);
  // The server closed a connection without an answer or gave none in time, as one that is full or
  // ends may do. Counts only beside other evidence that the links are cut.
  void OnNoAnswer(Instant aNow, const std::string& aServer);
  // Another instance reached a server that this one could not reach.
  void OnRelayReached(Instant aNow, const std::string& aServer);
  // Another instance that trusts its links could not reach the server either.
  void OnGone(const std::string& aServer);
  // None of the instances asked could say whether the server can be reached.
  void OnNoneCouldSay(Instant aNow, const std::string& aServer);
  // A connection to a probed server was opened: the links are back.
  void OnProbeSucceeded();
  // Drops the state of the servers for which aIsListed is false.
  void KeepServers(const std::function<bool(const std::string&)>& aIsListed);

  // Whether to connect to the server now. After a failure that is suspended for a while
  // (exponential backoff).
  bool IsUsable(Instant aNow, const std::string& aServer) const;
  // Whether the server is known to be gone, so that no other instance need be asked. Holds for the
  // suspension that follows the failure.
  bool IsGone(Instant aNow, const std::string& aServer) const;
  // Whether the links of this instance are most likely cut.
  bool IsCutOff() const { return isCutOff_; }
  // Whether enough servers could not be reached, but nothing tells yet whether for the links.
  bool IsUndecided() const { return !isCutOff_ && unreached_.size() >= kServersToConclude; }
  // Whether a failure to connect to the server may be due to the links of this instance, because
  // another server could not be reached either since the last one that could.
  bool IsInDoubt(const std::string& aServer) const;
  // The server that is to be probed now, if a probe is due.
  std::optional<std::string> TakeProbe(Instant aNow);

private:
  // Minimum number of servers that could not be reached, one after the other, for the links of this
  // instance to count as cut.
  static constexpr std::size_t kServersToConclude = 3;

  // What a server that could not be reached says about the links of this instance.
  enum class Evidence
  {
    // Little: a server that is full or ends does the same.
    NoAnswer,
    // Nothing yet: another instance is asked.
    Asked,
    // It may be the links: no other instance could say.
    Unsaid,
    // It is the links: another instance reached the server.
    ReachedByRelay,
  };

  struct Failure
  {
    unsigned count_ = 0;
    Instant suspendedUntil_ = Instant::min();
    // Another instance could not reach the server either, and it has not answered since.
    bool isGone_ = false;
    // No other instance need be asked until then.
    Instant goneUntil_ = Instant::min();
  };

  // Records the failure and returns whether it says something about the links of this instance.
  bool Suspend(Instant aNow, const std::string& aServer);
  void AddEvidence(Instant aNow, const std::string& aServer, Evidence aEvidence);
  std::size_t CountOf(Evidence aEvidence) const;
  // Whether servers that no other instance could say anything about suffice as evidence.
  bool IsUnsaidEnough(Instant aNow) const;

  bool hasRelays_ = false;
  bool isCutOff_ = false;
  std::map<std::string, Failure> failures_;
  // The servers that could not be reached since any could.
  std::map<std::string, Evidence> unreached_;
  Instant lastAnswer_ = Instant::min();
  Instant nextProbe_ = Instant::min();
  // The server probed last.
  std::string probed_;
};

} // namespace latchslip
