#pragma once

#include "LibKeys/KeyCommand.h"
#include "LibKeys/KeyOwnership.h"

#include <cstdint>
#include <optional>
#include <string>

namespace latchslip {

// What is known about one incarnation of a server, including incarnations that are no longer
// listed.
struct ServerIncarnation
{
  std::string address_;
  bool isListed_ = false;
  // It announced its shutdown.
  bool isLeaving_ = false;
  // Its address answered as another incarnation. That another one is listed there later is no
  // proof: a record of a server that has ended may be written late.
  bool hasEnded_ = false;
  // Another incarnation is listed there later.
  bool isSucceeded_ = false;
};

// Interface through which an OwnershipPlacer sends commands, writes to the store and looks up
// servers.
class PlacerActions
{
public:
  virtual ~PlacerActions() = default;

  // Sends a command to its server; its result goes to OwnershipPlacer::OnCommandEnded.
  virtual void SendCommand(const KeyCommand& aCommand) = 0;
  // Records that a grant to the server was sent but not acknowledged, so that it may hold keys
  // until aNow + aDuration. To be shared with the other instances in case this one is lost.
  virtual void RecordUncertainLease(Instant aNow,
                                    const std::string& aServer,
                                    Duration aDuration) = 0;
  // The server's address answered as another incarnation, which proves that the server has ended.
  virtual void RecordEnded(const std::string& aServer, std::uint64_t aIncarnation) = 0;
  // Writes the ownership row, conditional on the row version known to this placer and on this
  // instance still being the placer. Completes in OnWritten or OnWriteFailed.
  virtual void Write(const KeyOwnership& aOwnership) = 0;
  // No value for incarnations that were never listed on this instance.
  virtual std::optional<ServerIncarnation> FindIncarnation(const std::string& aServer) const = 0;
};

} // namespace latchslip
