#pragma once

#include "LibBase/Event.h"
#include "LibBase/Time.h"
#include "LibConfig/Declaration.h"
#include "LibMembership/Membership.h"
#include "LibPlacement/HolderAssigner.h"
#include "LibPlacement/Placement.h"
#include "LibPlacement/PlacementDraft.h"
#include "LibPlacement/Rebalancer.h"
#include "LibPlacement/ServerReport.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace latchslip {

struct PlacerTiming
{
  // How long the last grant of a former holder may remain valid after that holder is gone.
  Duration formerGrantTimeout_ = milliseconds(540);
  // How long a returned server must stay reachable before it may own keys again.
  Duration reactivationDelay_ = seconds(2);
  Duration rebalanceInterval_ = seconds(1);
  // Loss limit: at most this fraction of the active servers, but at least one, may be
  // declared lost within lossWindow_.
  double maxLossFraction_ = 0.5;
  Duration lossWindow_ = seconds(5);
};

struct PlacementProposal
{
  Placement placement_;
  RowVersion baseVersion_ = 0;
  std::vector<PlacementDecision> decisions_;
  // Servers that this proposal declares lost because their grants are withheld.
  std::vector<std::string> lostServers_;
};

// Decides the placement of one service: which server owns each slice of the hash space, and
// which instance holds each server. The placer proposes; PlacementController commits a proposal to
// the table service on the condition that the row still has the version that the proposal was made
// from. Pure decisions without I/O: a proposal has no effect until its commit is known.
class Placer
{
public:
  Placer(std::string aService, PlacerTiming aTiming);

  // Records a holder's report. Reports under a lower fence than the known one are ignored,
  // except for one that tells that a former holder has stopped.
  void OnReport(Instant aNow, const ServerReport& aReport);

  // Returns the placement to commit in place of aCurrent, or nothing if no change is needed.
  // aVersion is the version of aCurrent's row, 0 if there is none.
  std::optional<PlacementProposal> Propose(Instant aNow,
                                           const ServiceDeclaration& aService,
                                           PlacementProfile aProfile,
                                           const Placement& aCurrent,
                                           RowVersion aVersion,
                                           const Membership& aMembership);

  // Returns resume commands for the withheld servers that are reachable again and keep their
  // slices. NOTE: Must only be called while no proposal has an open outcome, because such a
  // proposal may move their slices away.
  std::vector<ResumeCommand> TakeResumeCommands(const Placement& aCurrent);

  // The proposal certainly did not take effect.
  void OnNotCommitted(const PlacementProposal& aProposal);

  // Returns the losses that were deferred since the last call, each reported once.
  std::vector<PlacementDecision> TakeDeferrals();

  // Discards all that was learnt in an earlier epoch of this placer.
  void Reset();

private:
  // Adds declared servers and starts or ends draining as declared.
  void ReconcileServers(PlacementDraft& aDraft);
  // Completes the moves whose slice has been released, and cancels those whose target is
  // gone.
  void FinishMoves(PlacementDraft& aDraft);
  // Declares servers lost whose grants have certainly expired, and reassigns their slices.
  void FailOverLostServers(PlacementDraft& aDraft);
  // Reactivates lost servers that have stayed reachable for reactivationDelay_.
  void ReactivateReturnedServers(PlacementDraft& aDraft);
  // Creates the initial slices of a service that has none.
  void CreateInitialSlices(PlacementDraft& aDraft);
  // Starts to move the slices of draining servers away.
  void DrainServers(PlacementDraft& aDraft);
  // Removes servers that are not declared any more and own no slices.
  void RemoveUndeclared(PlacementDraft& aDraft);
  void Rebalance(PlacementDraft& aDraft);
  // Starts to move slices to an active server that has none; returns false if there is none.
  bool FillEmptyServer(PlacementDraft& aDraft);
  void BalanceLoad(PlacementDraft& aDraft);
  // Whether another server may be declared lost under the loss limit.
  bool IsLossAllowed(Instant aNow, std::size_t aActive);
  // Whether every grant of the server, of this holder and of former ones, has expired.
  bool IsGrantExpired(const PlacementDraft& aDraft,
                      const PlacedServer& aServer,
                      const ServerReport& aReport) const;
  // Returns the last report of the server's current holder, or nullptr.
  const ServerReport* FindReport(const PlacedServer& aServer) const;
  // Reassigns all slices of a lost server and returns their number.
  std::size_t ReassignSlices(PlacementDraft& aDraft, ServerIndex aLost);
  // Returns the active server with the fewest slices, or kNoServer.
  static ServerIndex ServerWithFewestSlices(const PlacementDraft& aDraft,
                                            const std::vector<std::size_t>& aCounts);

  std::string service_;
  PlacerTiming timing_;
  std::map<std::string, ServerReport> reports_;
  // Load by server, from the reports that carried load.
  LoadTable loads_;
  HolderAssigner holders_;
  std::map<std::string, Instant> reachableSince_;
  std::vector<Instant> losses_;
  std::set<std::string> deferredServers_;
  std::vector<PlacementDecision> deferrals_;
  Instant rebalancedAt_{ 0 };
};

} // namespace latchslip
