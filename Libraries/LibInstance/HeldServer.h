#pragma once

#include "LibDispatch/LoadMeter.h"
#include "LibDispatch/RetryBudget.h"
#include "LibInstance/InstanceContext.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace latchslip {

// Who waits for the answer to a piece of work: a request of this instance's own
// callers, or one that a peer forwarded.
struct ReplyTo
{
  // Empty for this instance itself.
  InstanceId peer_;
  std::uint64_t id_ = 0;

  bool operator<(const ReplyTo& aOther) const
  {
    return std::tie(peer_, id_) < std::tie(aOther.peer_, aOther.id_);
  }
};

// One request at the instance that holds its server.
struct HeldWork
{
  enum class Phase
  {
    Claiming,
    Waiting,
    Running,
    // Given up on, but its slot may still be taken at the server.
    Abandoned,
  };

  WorkId id_ = 0;
  WorkRequest request_;
  KeyHash hash_ = 0;
  ReplyTo replyTo_;
  Phase phase_ = Phase::Claiming;
  bool hasClaim_ = false;
  bool isAnswered_ = false;
  // An earlier try of this work broke off, so "not run" may not be said any more.
  bool mayHaveRun_ = false;
  Instant startedAt_{ 0 };
  Instant abandonedAt_{ 0 };
};

// A server that this instance holds: its grant, its queue and its work.
class HeldServer
{
public:
  HeldServer(const ServiceDeclaration& aService,
             const ServerDeclaration& aServer,
             const GrantTiming& aTiming);

  void Configure(const Declaration& aConfiguration);
  // Takes what the newest placement says of this server.
  void FollowPlacement(const PlacedService& aPlaced, ServerIndex aIndex);

  // Whether work that was sent may still be running at the server.
  bool MayHaveWork() const;

  // Work that waits for its claim or for a slot.
  std::vector<WorkId> NotYetSent() const;
  // Work that was given up on before a moment.
  std::vector<WorkId> AbandonedBefore(Instant aMoment) const;

  // Work whose key is in none of the wished ranges and that has not ended.
  bool HasWorkOutside(const Placement& aPlacement, ServerIndex aIndex) const;

  ServerReport ComposeReport(Instant aNow,
                             const InstanceId& aSelf,
                             const Placement& aPlacement,
                             ServerIndex aIndex);

  std::string service_;
  std::string server_;
  std::string address_;
  bool checksOrders_;
  GrantKeeper keeper_;
  ServerQueue queue_;
  LoadMeter meter_;
  RetryBudget retries_;
  std::map<WorkId, HeldWork> works_;
  // Set once the placement names another holder; ends when the work has.
  bool isStopping_ = false;
  // The last attempt to reach the server found no process listening.
  bool isRefused_ = false;

  Instant reportedAt_{ 0 };
  Instant loadReportedAt_{ 0 };
  std::uint64_t reportSequence_ = 0;
  // What the last report said, to notice news.
  ServerReport lastReport_;
};

} // namespace latchslip
