#pragma once

#include "LibBase/Event.h"
#include "LibBase/NameTable.h"
#include "LibGateway/DirectPaths.h"
#include "LibGateway/RelayChooser.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace latchslip {

// What an exchange with a server says about the path to it.
enum class PathResult
{
  // Nothing.
  Unknown,
  // The server was reached.
  Reached,
  // No connection to the server could be opened, or it went silent.
  Unreachable,
  // As Unreachable, at an instance that relays and whose own links may be cut.
  UnreachableInDoubt,
  // The server closed the connection without an answer, or gave none in time. A link that is cut
  // looks the same.
  NoAnswer,
  // The path was not tried to its end: the instance that relays declined or was lost.
  NotTried,
};

inline constexpr NameTable<PathResult, 6> kPathResultNames{
  { "unknown", "reached", "unreachable", "unreachable-in-doubt", "no-answer", "not-tried" }
};

// Decides how an instance reaches the servers: directly, or through another instance that relays
// while its own links to them are cut. No I/O.
class ServerPaths
{
public:
  // aHall is the data hall of this instance.
  ServerPaths(std::string aHall, std::uint32_t aSeed, EventSink& aEvents);

  // The other instances by address.
  void SetPeers(std::map<std::string, RelayPeer> aPeers);
  // The instance that relays the next send to the server; empty if it is to be sent directly. No
  // value if neither is possible. aTried are the instances that could not relay this send.
  std::optional<std::string> Choose(Instant aNow,
                                    const std::string& aServer,
                                    const std::vector<std::string>& aTried);
  // An exchange with a server begins and ends; aRelay is empty if it is a direct one.
  void OnSent(const std::string& aRelay);
  void OnEnded(Instant aNow,
               const std::string& aServer,
               const std::string& aRelay,
               PathResult aResult);
  // A direct exchange ended as one over a relay would be asked for: the server could not be reached
  // and nothing was sent. One of OnEnded for a relay or OnNoneCouldSay follows.
  void OnUnreachableAndAsked(Instant aNow, const std::string& aServer);
  // None of the instances asked to relay could say whether the server can be reached.
  void OnNoneCouldSay(Instant aNow, const std::string& aServer);
  // A direct exchange for another instance ended. Returns what this tells that instance of the
  // server.
  PathResult OnEndedForAnother(Instant aNow, const std::string& aServer, PathResult aResult);
  // The server to probe now by opening a connection, if a probe is due.
  std::optional<std::string> TakeProbe(Instant aNow) { return direct_.TakeProbe(aNow); }
  void OnProbeEnded(Instant aNow, bool aIsConnected);
  // Drops the state of servers that are not listed any more.
  void KeepServers(const std::function<bool(const std::string&)>& aIsListed);

  // Whether the links to all servers seem to be cut.
  bool IsCutOff() const { return direct_.IsCutOff(); }
  // Whether the server is known to be gone, so that it is tried directly only.
  bool IsGone(Instant aNow, const std::string& aServer) const
  {
    return !IsCutOff() && direct_.IsGone(aNow, aServer);
  }
  // Whether a server can be reached at all, directly or through another instance.
  bool HasPath(Instant aNow) const;
  bool HasPeers() const { return hasPeers_; }
  // Whether a failure to reach the server may be due to the links of this instance.
  bool IsInDoubt(const std::string& aServer) const { return direct_.IsInDoubt(aServer); }

private:
  void OnRelayEnded(Instant aNow,
                    const std::string& aServer,
                    const std::string& aRelay,
                    PathResult aResult);
  // Records when this instance is cut off and when its links are back.
  void RecordCutOff();

  EventSink& events_;
  DirectPaths direct_;
  RelayChooser relays_;
  bool hasPeers_ = false;
  bool wasCutOff_ = false;
};

} // namespace latchslip
