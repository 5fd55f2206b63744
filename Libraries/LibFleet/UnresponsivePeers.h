#pragma once

#include "LibBase/Time.h"

#include <map>
#include <string>

namespace latchslip {

// Remembers which instances recently failed to accept a message, so that updates are routed around
// them at once. Otherwise a hall of 60 behind a frozen instance would get each change late by the
// time that a sender needs to give up on that instance. It does no I/O.
class UnresponsivePeers
{
public:
  // Records whether an instance accepted a message.
  void OnSent(Instant aNow, const std::string& aAddress, bool aIsAccepted);
  bool IsUnresponsive(Instant aNow, const std::string& aAddress) const;

private:
  // Until when each address is avoided.
  std::map<std::string, Instant> avoidUntil_;
};

} // namespace latchslip
