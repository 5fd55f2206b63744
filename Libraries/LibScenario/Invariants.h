#pragma once

#include "LibInstance/Messages.h"
#include "LibStandIn/ServerState.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace latchslip {

// What must always hold, checked at every step of a scenario. All times are on
// the scenario's own clock. A violation is kept as a sentence; the scenario
// fails if there is any.
class Invariants
{
public:
  // A server was granted ranges until a moment, in place of what it had.
  void OnGranted(Instant aNow,
                 const std::string& aService,
                 const std::string& aServer,
                 Instant aUntil,
                 const std::vector<HashRange>& aRanges);
  void OnServerLost(const std::string& aService, const std::string& aServer);

  // A server that checks drops, without effect, work whose grant ran out while
  // it ran; only servers that do not check must never run one key side by side.
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

  // A revision that an operator was told is in force.
  void OnConfirmed(RowVersion aRevision, const std::string& aToken);
  // What the table service holds now for the configuration.
  void OnStored(Instant aNow, RowVersion aRevision, const std::string& aToken);
  // What an instance has in its view.
  void OnView(Instant aNow,
              const std::string& aInstance,
              const std::string& aRowKey,
              RowVersion aVersion,
              const std::string& aToken);
  void OnRowStored(const std::string& aRowKey, RowVersion aVersion, const std::string& aToken);

  void OnSlotsExceeded(Instant aNow, const std::string& aServer);
  // A server was told to leave; work may start there until the bound is over.
  void OnServerLeaving(Instant aNow, const std::string& aServer);
  void OnServerBack(const std::string& aServer) { leavingSince_.erase(aServer); }
  // An instance was asked to stop with callers or work still in flight.
  void OnCut(Instant aNow, const std::string& aInstance, std::size_t aInFlight);

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
    // Answers that said it certainly did not run.
    std::size_t notRun_ = 0;
  };
  struct Running
  {
    std::string server_;
    KeyHash hash_ = 0;
  };

  void Violate(Instant aNow, const std::string& aWhat);
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
