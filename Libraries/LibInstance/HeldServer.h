#pragma once

#include "LibDispatch/LoadMeter.h"
#include "LibDispatch/RetryBudget.h"
#include "LibInstance/InstanceContext.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace latchslip {

// Identifies who receives the answer to a request: a caller of this instance, or a peer that
// forwarded the request.
struct ReplyTo
{
  // Empty for a caller of this instance.
  InstanceId peer_;
  std::uint64_t id_ = 0;

  bool operator<(const ReplyTo& aOther) const
  {
    return std::tie(peer_, id_) < std::tie(aOther.peer_, aOther.id_);
  }
};

// A request at the instance that holds its server.
struct HeldWork
{
  enum class Phase
  {
    Claiming,
    Waiting,
    Running,
    // Its connection broke. It may still run, and occupy a slot, at the server.
    Abandoned,
  };

  WorkId id_ = 0;
  WorkRequest request_;
  KeyHash hash_ = 0;
  ReplyTo replyTo_;
  Phase phase_ = Phase::Claiming;
  bool hasClaim_ = false;
  bool isAnswered_ = false;
  // An earlier attempt may have run, so the request must not be answered NotRun any more.
  bool mayHaveRun_ = false;
  Instant startedAt_{ 0 };
  Instant abandonedAt_{ 0 };
};

// A backend server that this instance holds: its grant, its request queue, its load
// statistics and the requests in progress.
class HeldServer
{
public:
  HeldServer(const ServiceDeclaration& aService,
             const ServerDeclaration& aServer,
             const GrantTiming& aTiming);

  // Applies the configuration: the slots, the sharing intents and the server's address.
  void Configure(const Declaration& aConfiguration);
  // Applies the newest placement: the fence and the key ranges of this server.
  void ApplyPlacement(const PlacedService& aPlaced, ServerIndex aIndex);

  // Whether work that was sent to the server may still be running there, under this holder or
  // a former one.
  bool MayHaveRunningWork() const;

  // Returns the work that waits for its claim or for a slot.
  std::vector<WorkId> PendingWork() const;
  // Returns the work that was abandoned before a moment.
  std::vector<WorkId> AbandonedBefore(Instant aMoment) const;

  // Whether work for a key outside the placed ranges of this server may still be running.
  // While it may, those ranges do not count as released.
  bool HasWorkOutsideRanges(const Placement& aPlacement, ServerIndex aIndex) const;

  // Builds the next report for the placer, without load.
  ServerReport ComposeReport(Instant aNow,
                             const InstanceId& aSelf,
                             const Placement& aPlacement,
                             ServerIndex aIndex);

  std::string service_;
  std::string server_;
  std::string address_;
  bool checksGrants_;
  GrantManager grantManager_;
  ServerQueue queue_;
  LoadMeter loadMeter_;
  RetryBudget retryBudget_;
  std::map<WorkId, HeldWork> workItems_;
  // Set once the placement names another holder. The entry is removed when its work has
  // ended.
  bool isStopping_ = false;
  // The last connection attempt was refused, so no process is listening.
  bool isConnectionRefused_ = false;

  Instant reportedAt_{ 0 };
  Instant loadReportedAt_{ 0 };
  std::uint64_t reportSequence_ = 0;
  // The last report that was sent, to detect changes.
  ServerReport lastReport_;
};

} // namespace latchslip
