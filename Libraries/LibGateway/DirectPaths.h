#pragma once

#include "LibBase/Time.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace latchslip {

// Tracks to which servers this instance can connect itself. That a connection fails says nothing
// about the server by itself: the links of this instance may be cut. An instance that can connect
// to none of several servers in a row counts as cut off; it then sends nothing to any server but
// probes one from time to time. No I/O.
class DirectPaths
{
public:
  // The server answered this instance over a connection of its own.
  void OnReached(const std::string& aServer);
  // This instance could not connect to the server, or its connection went silent.
  void OnUnreachable(Instant aNow, const std::string& aServer);
  // The server closed a connection without an answer or gave none in time, as one that is full may
  // do. Counts only if several servers do so and none answers.
  void OnNoAnswer(const std::string& aServer) { unreached_.insert(aServer); }
  // A connection to a probed server was opened: the links are back.
  void OnProbeSucceeded();
  // Drops the state of the servers for which aIsListed is false.
  void KeepServers(const std::function<bool(const std::string&)>& aIsListed);

  // Whether to connect to the server now. After a failure that is suspended for a while
  // (exponential backoff).
  bool IsUsable(Instant aNow, const std::string& aServer) const;
  // Whether no server could be reached lately, so that the links of this instance are most likely
  // cut.
  bool IsCutOff() const { return unreached_.size() >= kServersToConclude; }
  // Whether a failure to connect to the server may be due to the links of this instance, because
  // another server could not be reached either since the last one that could.
  bool IsInDoubt(const std::string& aServer) const;
  // The server that is to be probed now, if a probe is due.
  std::optional<std::string> TakeProbe(Instant aNow);

private:
  // Number of servers that could not be reached, one after the other, from which on the links of
  // this instance count as cut.
  static constexpr std::size_t kServersToConclude = 3;

  struct Failure
  {
    unsigned count_ = 0;
    Instant suspendedUntil_ = Instant::min();
  };

  std::map<std::string, Failure> failures_;
  // The servers that could not be reached since any could.
  std::set<std::string> unreached_;
  Instant nextProbe_ = Instant::min();
  // The server probed last.
  std::string probed_;
};

} // namespace latchslip
