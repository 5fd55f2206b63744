#pragma once

#include "LibGateway/ServerPaths.h"

#include <string>
#include <vector>

namespace latchslip {

// The paths tried for one send to a server, until one leads there or it is known that none does.
class PathSearch
{
public:
  // Begins a new send. The relay is empty for a direct one.
  void Begin(Instant aNow, ServerPaths& aPaths, const std::string& aServer);
  // The exchange ended on the present path. Returns whether it is to be sent again on another one,
  // which is Relay() from then on; aIsUnsent tells that no byte of it has reached the server.
  bool TryNext(Instant aNow,
               ServerPaths& aPaths,
               const std::string& aServer,
               PathResult aResult,
               bool aIsUnsent);

  // Ends the send on the present path for good.
  void End(Instant aNow, ServerPaths& aPaths, const std::string& aServer, PathResult aResult) const
  {
    aPaths.OnEnded(aNow, aServer, relay_, aResult);
  }

  // The instance that relays; empty for none.
  const std::string& Relay() const { return relay_; }
  // Whether the server can't be reached, and not for the links of this instance: another instance
  // could not reach it either, now or shortly before.
  bool IsServerUnreachable() const { return isServerUnreachable_; }

  // Whether another instance was asked to relay this send.
  bool WasAnotherAsked() const { return !tried_.empty(); }

private:
  // Takes the next path after an exchange of which nothing was sent; false if there is none.
  bool TakeNext(Instant aNow, ServerPaths& aPaths, const std::string& aServer, PathResult aResult);

  std::string relay_;
  std::vector<std::string> tried_;
  // Number of other instances that could not reach the server but may be cut off themselves.
  unsigned doubtful_ = 0;
  bool isServerUnreachable_ = false;
};

} // namespace latchslip
