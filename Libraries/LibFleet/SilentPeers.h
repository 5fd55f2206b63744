#pragma once

#include "LibBase/Time.h"

#include <map>
#include <string>

namespace latchslip {

// Which instances did not take a message lately. News are passed around these at once: a
// hall of 60 behind a frozen instance would otherwise get each change as much later as it
// takes to give up on that one. It does no I/O.
class SilentPeers
{
public:
  // The instance took a message, or did not.
  void OnSent(Instant aNow, const std::string& aAddress, bool aIsTaken);
  bool IsSilent(Instant aNow, const std::string& aAddress) const;

private:
  // Until when each is passed around.
  std::map<std::string, Instant> until_;
};

} // namespace latchslip
