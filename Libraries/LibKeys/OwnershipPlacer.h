#pragma once

#include "LibBase/Event.h"
#include "LibBase/Time.h"
#include "LibKeys/HoldBounds.h"
#include "LibKeys/KeyBalancer.h"
#include "LibKeys/KeyLoad.h"
#include "LibKeys/KeyOrder.h"
#include "LibKeys/KeyOwnership.h"
#include "LibKeys/KeyServer.h"
#include "LibKeys/OrderBook.h"
#include "LibKeys/PlacerActions.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace latchslip {

// The times that the placement of keys counts with.
struct OwnershipPlacerSettings
{
  // How long a grant holds: twice the time in which a lost placer is replaced, and
  // not much longer than a lost server stays listed, since the keys of a silent
  // server wait for it.
  Duration hold_ = seconds(5);
  // How much slower than ours a server's clock may run, as a factor.
  double clockRate_ = 1.02;
  // How late an order without an answer may be carried out.
  Duration lateOrders_ = seconds(12);
  // How long a placer that hears neither the store nor most instances renews on;
  // the next placer counts on it.
  Duration renewalAlone_ = seconds(6);
  KeyBalancerSettings balancer_;
};

// Places the keys of one service: writes who owns what, and then gives orders to
// make it so. A change stands in the store before any order of it is sent. Keys
// that change owners name the former one until it has let go, has ended, or its
// grants have certainly run out. It does no I/O.
class OwnershipPlacer
{
public:
  OwnershipPlacer(std::string aService,
                  OwnershipPlacerSettings aSettings,
                  PlacerActions& aActions,
                  EventSink& aEvents);

  // Becomes the placer. aOwnership is what stands in the store, if anything;
  // aDoubts are the servers that may hold keys by late orders, and until when.
  void Start(Instant aNow,
             std::optional<KeyOwnership> aOwnership,
             const std::map<std::string, Instant>& aDoubts);
  // The store is in that epoch. What was written in an earlier one is written again, under
  // fences above all that the store may have forgotten.
  void SetEpoch(StoreEpoch aEpoch) { epoch_ = aEpoch; }
  // The owners are known from a copy only, and others than these may hold keys by writes
  // that the store has lost: nothing is ordered or written before all such grants have
  // run out.
  void WaitForLostGrants(Instant aNow);
  // The former placer certainly gives no orders any more.
  void OnFormerPlacerStopped(Instant aNow);
  void SetServers(Instant aNow, std::vector<KeyServer> aServers);
  void OnLoad(Instant aNow, const std::vector<KeyCount>& aCounts) { load_.Add(aNow, aCounts); }
  void OnWritten(Instant aNow);
  // The write did not take effect, or nobody knows; the row was read again.
  void OnWriteFailed(Instant aNow, KeyOwnership aStored);
  void OnOrderEnded(Instant aNow, OrderNumber aOrder, const OrderOutcome& aOutcome);
  // Sends what is due. aMayWrite: the store answers.
  void OnTime(Instant aNow, bool aMayWrite);
  // When OnTime has something to do next.
  Instant NextTime() const { return nextTime_; }

private:
  // What this placer knows of one range beside what stands in the store.
  struct RangeState
  {
    // The former owner certainly holds the range no more.
    bool isCleared_ = false;
    // The owner has acknowledged a grant under the present fence.
    bool isGranted_ = false;
    // What the former owner gave back, for the owner.
    std::string handover_;
    // The order under way; 0 when there is none.
    OrderNumber order_ = 0;
    // Releases that found nobody listening, one after the other.
    unsigned refusals_ = 0;
    Instant nextOrder_ = Instant::min();
  };

  // Takes what stands in the store; ranges that go on keep their state.
  void Adopt(KeyOwnership aOwnership);
  static bool IsContinuation(const KeyRange& aOld, const KeyRange& aNew);
  // What to write next; no value for nothing.
  std::optional<KeyOwnership> Plan(Instant aNow);
  std::optional<KeyOwnership> DealFirst(Instant aNow) const;
  std::optional<KeyOwnership> EvenOut(Instant aNow);
  // Ranges with higher fences have moved lately.
  FenceNumber RestedFence(Instant aNow);
  // Notes the servers that have started again under their ids.
  void NoteLives(const std::vector<KeyServer>& aServers);
  // Drops the servers all of whose keys have higher fences with what was written.
  void ForgetRaised();
  // Drops the former owners that need not be waited for any more.
  std::optional<KeyOwnership> ClearSettled() const;
  // The same owners under new fences: of all ranges that stand under fences of a former
  // placer or epoch, else of those of servers that have started again.
  KeyOwnership RaiseFences() const;
  // Once a server has acknowledged fences of this placer on all that it owns and all
  // that it was to let go of.
  void ForgetFormerHold(const std::string& aServer);
  // Sends the next order of a range when it is due.
  void Advance(Instant aNow, const KeyRange& aRange, RangeState& aState);
  // Why the former owner of a range certainly does not hold it; null if it may.
  const char* ReasonToClear(Instant aNow, const KeyRange& aRange, const RangeState& aState) const;
  void ClearFormerOwner(Instant aNow, const KeyRange& aRange, RangeState& aState);
  void SendGrant(Instant aNow, const KeyRange& aRange, RangeState& aState);
  void SendOrder(RangeState& aState, KeyOrder aOrder);
  static void OnReleaseEnded(Instant aNow, RangeState& aState, const OrderOutcome& aOutcome);
  void OnGrantEnded(Instant aNow, RangeState& aState, OrderEnd aEnd) const;
  void RecordOrderEnd(const KeyOrder& aOrder, OrderEnd aEnd);
  // Notes until when a grant that ended so may hold.
  void ExtendHold(Instant aNow, const KeyOrder& aGrant, OrderEnd aEnd);
  // A range that waits for that order, or nothing.
  RangeState* StateOf(OrderNumber aOrder);

  std::string service_;
  OwnershipPlacerSettings settings_;
  PlacerActions& actions_;
  EventSink& events_;
  KeyBalancer balancer_;
  KeyLoad load_;
  std::vector<KeyServer> servers_;
  // By id; of servers that are listed no more, too, as they may come back.
  std::map<std::string, std::uint64_t> lives_;
  // Servers whose keys wait for higher fences, by id.
  std::set<std::string> restarted_;
  // What stands in the store.
  KeyOwnership committed_;
  // One for each range of committed_, in the same order.
  std::vector<RangeState> states_;
  // What is being written.
  std::optional<KeyOwnership> writing_;
  OrderBook orders_;
  HoldBounds holds_;
  StoreEpoch epoch_ = 0;
  // Nothing is ordered or written before.
  Instant ordersFrom_ = Instant::min();
  Instant startedAt_{ 0 };
  // Since when the count of servers is what it is.
  Instant serversSince_{ 0 };
  Instant nextRebalance_ = Instant::min();
  // The last fence of each write that may still be a recent one.
  std::deque<std::pair<Instant, FenceNumber>> fenceTimes_;
  FenceNumber restedFence_ = 0;
  Instant nextTime_ = Instant::min();
  // Whether the ranges still stand under fences of a former placer.
  bool hasFormerFences_ = false;
};

} // namespace latchslip
