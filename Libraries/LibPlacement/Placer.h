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

// Decides who owns and who holds what in one service. It proposes placements;
// whoever runs it commits them to the table service under the condition that
// the row still has the version that the proposal was made from. Pure
// decisions: nothing is done until the commit is known.

struct PlacerTiming
{
  // How long after a former holder is gone its last grant may still be valid.
  Duration grantTail_ = milliseconds(540);
  // A server that came back must stay reachable this long to own keys again.
  Duration returnDelay_ = seconds(2);
  Duration rebalanceInterval_ = seconds(1);
  // Of the active servers, this share may be declared lost within lossSpan_.
  double lossShare_ = 0.5;
  Duration lossSpan_ = seconds(5);
};

struct PlacementProposal
{
  Placement placement_;
  RowVersion baseVersion_ = 0;
  std::vector<PlacementDecision> decisions_;
  // Holders whose withheld grants this proposal acts on.
  std::vector<std::string> lostServers_;
};

class Placer
{
public:
  Placer(std::string aService, PlacerTiming aTiming);

  // Remembers a holder's report. Only the holder of the current fence counts,
  // but for a former holder that says it has stopped.
  void OnReport(Instant aNow, const ServerReport& aReport);

  // What should stand instead of aCurrent (version 0: nothing stands), or
  // nothing when all is as it should be.
  std::optional<PlacementProposal> Propose(Instant aNow,
                                           const ServiceDeclaration& aService,
                                           PlacementProfile aProfile,
                                           const Placement& aCurrent,
                                           RowVersion aVersion,
                                           const Membership& aMembership);

  // Withheld servers that answer again, and keep what the standing placement
  // gives them. NOTE: Only to be asked for while the fate of no proposal is open,
  // since one may take their slices away.
  std::vector<ResumeOrder> TakeResumable(const Placement& aCurrent);

  // The proposal certainly did not take effect.
  void OnNotCommitted(const PlacementProposal& aProposal);

  // Decisions not to act, each noted once.
  std::vector<PlacementDecision> TakeNotes();

  // All that was learnt as the placer of a former epoch is void.
  void Forget();

private:
  void ReconcileServers(PlacementDraft& aDraft);
  void FinishMoves(PlacementDraft& aDraft);
  void MoveLost(PlacementDraft& aDraft);
  void ReturnLost(PlacementDraft& aDraft);
  void PlaceFirst(PlacementDraft& aDraft);
  void EmptyDraining(PlacementDraft& aDraft);
  void RemoveUndeclared(PlacementDraft& aDraft);
  void Rebalance(PlacementDraft& aDraft);
  bool FillEmptyServer(PlacementDraft& aDraft);
  void EvenOutLoad(PlacementDraft& aDraft);
  bool IsLossAllowed(Instant aNow, std::size_t aActive);
  bool IsCertainlySilent(const PlacementDraft& aDraft,
                         const PlacedServer& aServer,
                         const ServerReport& aReport) const;
  const ServerReport* ReportOf(const PlacedServer& aServer) const;
  std::size_t GiveAway(PlacementDraft& aDraft, ServerIndex aLost);
  static ServerIndex LeastLoaded(const PlacementDraft& aDraft,
                                 const std::vector<std::size_t>& aCounts);

  std::string service_;
  PlacerTiming timing_;
  std::map<std::string, ServerReport> reports_;
  // Load by server, kept from the last report that carried load.
  LoadTable loads_;
  HolderAssigner holders_;
  std::map<std::string, Instant> reachableSince_;
  std::vector<Instant> losses_;
  std::set<std::string> deferred_;
  std::vector<PlacementDecision> notes_;
  Instant rebalancedAt_{ 0 };
};

} // namespace latchslip
