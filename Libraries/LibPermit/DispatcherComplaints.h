#pragma once

#include "LibPermit/DispatchedServer.h"

#include <cstddef>
#include <map>

namespace latchslip {

// Decides for a dispatcher when to resign its shards because too many of the instances that request
// permits complain of late first answers. Performs no I/O.
class DispatcherComplaints
{
public:
  // The instance requested a permit.
  void OnRequest(Instant aNow, CallerId aCaller) { requestedAt_[aCaller] = aNow; }
  // The instance complains. Returns whether the dispatcher resigns now.
  bool OnComplaint(Instant aNow, CallerId aCaller);
  void OnCallerGone(CallerId aCaller);
  // Remaining time for which the dispatcher must not be chosen; zero if it has not resigned.
  Duration RemainingResignation(Instant aNow) const;
  // Number of instances that have complained recently.
  std::size_t Complaining() const { return complainedAt_.size(); }

private:
  // Time of the last permit request and the last complaint by instance.
  std::map<CallerId, Instant> requestedAt_;
  std::map<CallerId, Instant> complainedAt_;
  Instant resignedUntil_ = Instant::min();
};

} // namespace latchslip
