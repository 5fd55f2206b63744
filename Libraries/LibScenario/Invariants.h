#pragma once

#include "LibInstance/Messages.h"
#include "LibStandIn/ServerState.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace latchslip {

// Safety invariants of the fleet, checked at each event of a simulation: one owner per key,
// at-most-once execution of requests that are not repeatable, truthful outcomes, slot limits, no
// lost or reverted configuration. The simulation reports its events here. All times are on the
// simulated clock. A violation is stored as a line of text; a scenario with violations fails.
class Invariants
{
public:
  // A server accepted a grant of these ranges, valid until aUntil, which replaces its former one.
  void OnGranted(Instant aNow,
                 const std::string& aService,
                 const std::string& aServer,
                 Instant aUntil,
                 const std::vector<HashRange>& aRanges);
  void OnServerLost(const std::string& aService, const std::string& aServer);

  // Reports work that started on a server. Servers that don't check grants (aChecksGrants is false)
  // must never run work for the same key concurrently. Servers that do check may: they drop work
  // without effect when its grant expires before the work ends.
  void OnWorkStarted(Instant aNow,
                     const std::string& aService,
                     const std::string& aServer,
                     bool aChecksGrants,
                     KeyHash aHash,
                     std::uint64_t aWork);
  void OnWorkEnded(const std::string& aService, const std::string& aServer, std::uint64_t aWork);
  void OnExecuted(Instant aNow, const std::string& aRequestId);

  void OnSent(const std::string& aRequestId, bool aIsRepeatable);
  void OnAnswered(Instant aNow,
                  const std::string& aRequestId,
                  const WorkAnswer& aAnswer,
                  const std::string& aExpectedBody);

  // The instance confirmed to an operator that this revision of the configuration is in force.
  void OnConfigurationConfirmed(RowVersion aRevision, const std::string& aToken);
  // The table service committed this revision of the configuration.
  void OnConfigurationStored(Instant aNow, RowVersion aRevision, const std::string& aToken);
  // An instance has this version of a row in its view; called after each tick of the instance.
  void OnView(Instant aNow,
              const std::string& aInstance,
              const std::string& aRowKey,
              RowVersion aVersion,
              const std::string& aToken);
  // The table service committed this version of a row; aToken identifies the write.
  void OnRowStored(const std::string& aRowKey, RowVersion aVersion, const std::string& aToken);

  void OnSlotsExceeded(Instant aNow, const std::string& aServer);
  // A server began to leave; new work may start there for kLeavingBound only.
  void OnServerLeaving(Instant aNow, const std::string& aServer);
  void OnServerReturned(const std::string& aServer) { leavingSince_.erase(aServer); }
  // A leaving instance reported that it may stop; aInFlight is its number of callers and of
  // requests still in flight, which must be 0.
  void OnInstanceStopped(Instant aNow, const std::string& aInstance, std::size_t aInFlight);

  const std::vector<std::string>& Violations() const { return violations_; }

private:
  struct Grant
  {
    Instant until_{ 0 };
    std::vector<HashRange> ranges_;
  };
  struct Request
  {
    bool isRepeatable_ = false;
    std::size_t sent_ = 0;
    std::size_t answered_ = 0;
    std::size_t executed_ = 0;
    // Number of answers with the outcome "not run".
    std::size_t notRun_ = 0;
  };
  struct Running
  {
    std::string server_;
    KeyHash hash_ = 0;
  };

  void AddViolation(Instant aNow, const std::string& aWhat);
  void CheckNotRun(Instant aNow, const std::string& aRequestId, const Request& aRequest);

  std::map<std::string, std::map<std::string, Grant>> grants_;
  std::map<std::string, std::map<std::pair<std::string, std::uint64_t>, Running>> running_;
  std::map<std::string, Request> requests_;
  std::map<RowVersion, std::string> confirmed_;
  std::map<std::pair<std::string, std::string>, RowVersion> views_;
  std::map<std::pair<std::string, RowVersion>, std::string> stored_;
  std::map<std::string, Instant> leavingSince_;
  std::vector<std::string> violations_;
};

} // namespace latchslip
