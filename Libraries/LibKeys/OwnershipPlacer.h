#pragma once

#include "LibBase/Event.h"
#include "LibBase/Time.h"
#include "LibKeys/KeyBalancer.h"
#include "LibKeys/KeyCommand.h"
#include "LibKeys/KeyLoad.h"
#include "LibKeys/KeyOwnership.h"
#include "LibKeys/KeyServer.h"
#include "LibKeys/LeaseBounds.h"
#include "LibKeys/OutstandingCommands.h"
#include "LibKeys/PlacerActions.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace latchslip {

// Timing of the key placement.
struct OwnershipPlacerSettings
{
  // Lease duration of a grant: twice the time in which a lost placer is replaced, and not much
  // longer than a lost server stays listed, since the keys of a silent server stay without an owner
  // until its lease expires.
  Duration leaseDuration_ = seconds(5);
  // Clock drift bound: how much slower than the placer's clock a server's clock may run, as a
  // factor.
  double clockDriftFactor_ = 1.02;
  // Maximum delay after which a server may still execute an unacknowledged command.
  Duration maxCommandDelay_ = seconds(12);
  // How long a placer that reaches neither the store nor most instances keeps renewing grants. Its
  // successor relies on this bound.
  Duration isolatedRenewalTime_ = seconds(6);
  // The same for a placer whose ownership row has a short isolation bound.
  Duration shortIsolatedRenewalTime_ = seconds(3);
  KeyBalancerSettings balancer_;
};

// Places the keys of one keyed service: commits the owners of all ranges to the store and then
// sends the commands that put them into effect. Owned and driven by FleetMember. Performs no I/O
// itself; it acts through PlacerActions.
// Safety: a change is committed before any command for it is sent, and every change of owner raises
// the fence of the range. A reassigned range names its former owner until that server has released
// it, has ended, or its lease has certainly expired, so that no key has two holders at any time. A
// fence that was sent to a server is sent again only in the same session, so that it never reaches
// a later incarnation (docs/design/server-restarts.md).
class OwnershipPlacer
{
public:
  OwnershipPlacer(std::string aService,
                  OwnershipPlacerSettings aSettings,
                  PlacerActions& aActions,
                  EventSink& aEvents);

  // Takes over as placer. aOwnership is the content of the store's row, if there is one;
  // aUncertainLeases maps the servers with uncertain leases to the time until which they may hold
  // keys.
  void Start(Instant aNow,
             std::optional<KeyOwnership> aOwnership,
             const std::map<std::string, Instant>& aUncertainLeases);
  // Sets the current epoch of the store; to be called before Start as well. An ownership written in
  // an earlier epoch is written again, with fences above all those that the store may have lost.
  void SetEpoch(StoreEpoch aEpoch) { epoch_ = aEpoch; }
  // Whether the deployment uses load management. Without it, nothing that it adds takes effect.
  void SetLoadManagement(bool aIsUsed) { usesLoadManagement_ = aIsUsed; }
  // Whether this placer must stop after the short isolation bound, since its successor may rely on
  // it.
  bool HasShortIsolation() const;
  // The ownership was read from an old copy of the store, so servers that it does not name may hold
  // keys under lost writes. No command is sent and nothing is written before all such grants have
  // expired.
  void BlockUntilLostGrantsExpire(Instant aNow);
  // The former placer is known to have stopped at aStoppedAt, so its grants expire within one lease
  // duration. Its claim was known here at aClaimSeenAt: the placers before it had lost the store by
  // then, and stop after the isolation bound at the latest.
  void OnFormerPlacerStopped(Instant aStoppedAt, Instant aClaimSeenAt);
  // Sets the listed servers of the service, usable or not. Their incarnations reveal restarts.
  void SetServers(Instant aNow, KeyServers aServers);
  // Adds the requests per key from the load report of one instance.
  void OnLoad(Instant aNow, const std::vector<KeyCount>& aCounts) { load_.Add(aNow, aCounts); }
  // The outstanding write succeeded.
  void OnWritten(Instant aNow);
  // The write failed or its outcome is unknown; aStored is the row as read afterwards.
  void OnWriteFailed(Instant aNow, KeyOwnership aStored);
  // A command passed to PlacerActions::SendCommand has ended. Unknown numbers are ignored.
  void OnCommandEnded(Instant aNow, CommandNumber aCommand, const CommandOutcome& aOutcome);
  // Sends the commands and writes that are due. aMayWrite is false while the store is unavailable.
  void OnTime(Instant aNow, bool aMayWrite);
  // Time of the next call of OnTime that has work to do.
  Instant NextTime() const { return nextTime_; }

private:
  // Volatile state of one range, in addition to what is stored.
  struct RangeState
  {
    // The former owner certainly no longer holds the range.
    bool isCleared_ = false;
    // How often the fence was raised without a write, as the owner may have restarted since. Grants
    // carry the stored fence plus this.
    FenceNumber raises_ = 0;
    // The issued fences are used up, so grants wait for others to be written.
    bool needsFence_ = false;
    // The session in which the present fence was sent to the owner; no value if it was not sent.
    std::optional<ServerSession> session_;
    // The owner has acknowledged a grant under the present fence.
    bool isGranted_ = false;
    // State returned by the former owner, to be passed to the owner.
    std::string handover_;
    // Outstanding command; 0 for none.
    CommandNumber command_ = 0;
    // Consecutive releases for which the former owner's address refused the connection.
    unsigned connectionRefusals_ = 0;
    Instant nextCommandAt_ = Instant::min();
  };

  // How long a former placer that left this ownership may go on renewing grants.
  Duration FormerRenewalTime(const KeyOwnership& aOwnership) const;
  // Whether the next write is to have the short isolation bound.
  bool WantsShortIsolation(Instant aNow) const;
  // Makes aOwnership the committed one; ranges whose owner and fence are unchanged keep their
  // state.
  void Adopt(KeyOwnership aOwnership);
  static bool IsContinuation(const KeyRange& aOld, const KeyRange& aNew);
  // The ownership to write next; no value when nothing changes.
  std::optional<KeyOwnership> Plan(Instant aNow);
  std::optional<KeyOwnership> AssignInitially(Instant aNow) const;
  std::optional<KeyOwnership> Rebalance(Instant aNow);
  // The highest fence whose range may be moved again; ranges with higher fences are in their
  // cooldown.
  FenceNumber MaxMovableFence(Instant aNow);
  // Detects servers that are listed with another incarnation than before.
  void DetectRestarts(Instant aNow, const KeyServers& aServers);
  // Raises the fences that were sent to the former incarnation of the server.
  void OnRestarted(Instant aNow, const std::string& aServer);
  // Positions in committed_.ranges_ of the ranges that the server owns.
  std::vector<std::size_t> OwnedBy(const std::string& aServer) const;
  // Whether the range waits for its former owner.
  static bool IsWaiting(const KeyRange& aRange, const RangeState& aState);
  // Lets the next grant, which is due at aDueAt, carry a fence that was not sent before.
  static void RaiseFence(RangeState& aState, Instant aDueAt);
  // The committed ownership without former owners that have been cleared; no value when there are
  // none.
  std::optional<KeyOwnership> DropClearedOwners() const;
  // The committed owners under new fences: all ranges when the fences are from a former placer or
  // epoch, otherwise those whose issued fences are used up.
  KeyOwnership RaiseFences() const;
  // Drops the bounds that former placers' grants put on the server, once it has acknowledged fences
  // of this placer on all ranges that it owns and has released all others.
  void DropFormerBounds(const std::string& aServer);
  // Sends the next command for a range when it is due.
  void Advance(Instant aNow, const KeyRange& aRange, RangeState& aState);
  // Why the former owner certainly no longer holds the range, as logged; null when it may still
  // hold it.
  const char* ReasonToClear(Instant aNow, const KeyRange& aRange, const RangeState& aState) const;
  void ClearFormerOwner(Instant aNow, const KeyRange& aRange, RangeState& aState);
  // Whether a grant of the range would only renew one that its owner has acknowledged.
  static bool IsRenewal(const KeyRange& aRange, const RangeState& aState);
  void SendGrant(Instant aNow, const KeyRange& aRange, RangeState& aState);
  void StartCommand(RangeState& aState, KeyCommand aCommand);
  static void OnReleaseEnded(Instant aNow, RangeState& aState, const CommandOutcome& aOutcome);
  void OnGrantEnded(Instant aNow, RangeState& aState, const CommandOutcome& aOutcome) const;
  // How long after the end of a grant the next one is due.
  Duration NextGrantDelay(CommandStatus aEnd) const;
  // The session with the server has certainly or possibly ended: raises all fences that were sent
  // in it. Grants under the higher ones are due at aDueAt.
  void EndSession(const std::string& aServer, ServerSession aSession, Instant aDueAt);
  void RecordCommandEnd(const KeyCommand& aCommand, const CommandOutcome& aOutcome);
  // Whether the end of a command shows that another server uses the address.
  bool ProvesEnd(const KeyCommand& aCommand, CommandStatus aEnd) const;
  // Records until when the server may hold the keys after a grant that ended in aEnd.
  void ExtendLeaseBound(Instant aNow, const KeyCommand& aGrant, CommandStatus aEnd);
  // Applies the end of a command to the ranges that wait for it: several if the range was split.
  void ApplyCommandEnd(Instant aNow, const KeyCommand& aCommand, const CommandOutcome& aOutcome);
  // Builds positionsOf_ for the committed ranges.
  void IndexServers();

  std::string service_;
  OwnershipPlacerSettings settings_;
  PlacerActions& actions_;
  EventSink& events_;
  KeyBalancer balancer_;
  KeyLoad load_;
  KeyServers servers_;
  // Last known incarnation by server id. Includes unlisted servers, since they may return.
  std::map<std::string, std::uint64_t> incarnations_;
  // The ownership in the store.
  KeyOwnership committed_;
  // Parallel to committed_.ranges_.
  std::vector<RangeState> states_;
  // Positions in committed_.ranges_ by server: the ranges that it owns or has yet to release.
  std::unordered_map<std::string, std::vector<std::size_t>> positionsOf_;
  // The outstanding write.
  std::optional<KeyOwnership> writing_;
  OutstandingCommands commands_;
  LeaseBounds leaseBounds_;
  StoreEpoch epoch_ = 0;
  // No command is sent and nothing is written before this time.
  Instant blockedUntil_ = Instant::min();
  Instant startedAt_{ 0 };
  // Time of the last change in the number of servers.
  Instant serversChangedAt_{ 0 };
  Instant nextRebalance_ = Instant::min();
  // Time and last fence of each write within the move cooldown.
  std::deque<std::pair<Instant, FenceNumber>> recentFences_;
  FenceNumber maxMovableFence_ = 0;
  Instant nextTime_ = Instant::min();
  // Whether the ranges still have fences issued by another placer.
  bool hasFormerFences_ = false;
  // Former placers stop after the short isolation bound.
  bool isFormerShort_ = false;
  bool usesLoadManagement_ = false;
};

} // namespace latchslip
