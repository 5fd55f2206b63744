#pragma once

#include "LibBase/Time.h"
#include "LibGateway/CallerGroup.h"

namespace latchslip {

// Decides which requests of groups with a limit go on.
class GroupGate
{
public:
  virtual ~GroupGate() = default;

  // Whether one more request of that group goes on now. To be asked once for each. aIsLate:
  // it cannot be answered in time any more, so that others go first.
  virtual bool TryPass(Instant aNow, const CallerGroup& aGroup, bool aIsLate) = 0;
};

// Lets all through.
class OpenGate : public GroupGate
{
public:
  bool TryPass(Instant, const CallerGroup&, bool) override { return true; }
};

} // namespace latchslip
