#pragma once

#include "LibBase/Time.h"
#include "LibGateway/CallerGroup.h"

namespace latchslip {

// Admission control for the requests of groups that have a rate limit.
class GroupAdmission
{
public:
  virtual ~GroupAdmission() = default;

  // Whether to admit one more request of the group. Counts the request, so it must be called
  // exactly once for each. aIsLate: the request can no longer be answered in time; requests that
  // still can take precedence.
  virtual bool TryAdmit(Instant aNow, const CallerGroup& aGroup, bool aIsLate) = 0;
};

// Admits every request; used when groups have no limits.
class UnlimitedAdmission : public GroupAdmission
{
public:
  bool TryAdmit(Instant, const CallerGroup&, bool) override { return true; }
};

} // namespace latchslip
