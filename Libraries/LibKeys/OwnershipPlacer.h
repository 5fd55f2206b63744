#pragma once

#include "LibBase/Event.h"
#include "LibBase/NameTable.h"
#include "LibBase/Time.h"
#include "LibKeys/KeyBalancer.h"
#include "LibKeys/KeyLoad.h"
#include "LibKeys/KeyOwnership.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace latchslip {

using OrderNumber = std::uint64_t;

// An order to a server about keys: to hold them for a while, or to let go.
struct KeyOrder
{
  OrderNumber number_ = 0;
  std::string server_;
  std::string address_;
  KeyNumber first_ = 0;
  KeyNumber last_ = 0;
  FenceNumber fence_ = 0;
  // Whether the keys are to be let go; else they are granted.
  bool isRelease_ = false;
  // What the former owner gave back, so that the new one need not start cold.
  std::string handover_;
  // How long the grant holds, counted by the server from its arrival there.
  Duration hold_{ 0 };
};

enum class OrderEnd
{
  Done,
  // The server has seen a higher fence on some of the keys.
  HigherFence,
  // Another life answered; the one that was meant has ended.
  OtherLife,
  // No byte was sent.
  NotSent,
  // The order was sent; it may be carried out now or some seconds later.
  Unanswered,
  // The server called the order malformed.
  Malformed,
};

inline constexpr NameTable<OrderEnd, 6> kOrderEndNames{
  { "done", "higher-fence", "other-life", "not-sent", "unanswered", "malformed" }
};

struct OrderOutcome
{
  OrderEnd end_ = OrderEnd::Unanswered;
  std::string handover_;
};

// Carries out what the placement decides.
class PlacerActions
{
public:
  virtual ~PlacerActions() = default;

  virtual void Order(const KeyOrder& aOrder) = 0;
  // Writes the row of the ownership, provided that it still has the version this
  // placer knows and that this instance is still the placer.
  virtual void Write(const KeyOwnership& aOwnership) = 0;
  // Whether that server life has certainly ended, and holds nothing any more.
  virtual bool HasEnded(const std::string& aServer) const = 0;
};

struct OwnershipPlacerSettings
{
  // How long a grant holds.
  Duration hold_ = seconds(8);
  // How much slower than ours a server's clock may run, as a factor.
  double clockRate_ = 1.02;
  // How late an order without an answer may be carried out.
  Duration lateOrders_ = seconds(12);
  // How long an instance renews without having heard of the store; a new placer
  // waits for it before it gives away the keys of a silent server.
  Duration renewalWithoutStore_ = seconds(12);
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

  // Becomes the placer. aOwnership is what stands in the store, if anything.
  void Start(Instant aNow, std::optional<KeyOwnership> aOwnership);
  void SetServers(Instant aNow, std::vector<KeyServer> aServers);
  void OnLoad(Instant aNow, const std::vector<KeyCount>& aCounts) { load_.Add(aNow, aCounts); }
  void OnWritten(Instant aNow);
  // The write did not take effect, or nobody knows; the row was read again.
  void OnWriteFailed(Instant aNow, KeyOwnership aStored);
  void OnOrderEnded(Instant aNow, OrderNumber aOrder, const OrderOutcome& aOutcome);
  // Sends what is due. aMayWrite: the store answers.
  void OnTime(Instant aNow, bool aMayWrite);
  Instant NextTime() const { return nextTime_; }

  const KeyOwnership& Committed() const { return committed_; }
  bool IsWriting() const { return writing_.has_value(); }

private:
  // What this placer knows of one range beside what stands in the store.
  struct RangeState
  {
    // The former owner certainly holds the range no more.
    bool isCleared_ = false;
    bool isGranted_ = false;
    std::string handover_;
    // The order under way; 0 when there is none.
    OrderNumber order_ = 0;
    Instant nextOrder_ = Instant::min();
  };

  void Adopt(KeyOwnership aOwnership);
  static bool IsContinuation(const KeyRange& aOld, const KeyRange& aNew);
  std::optional<KeyOwnership> Plan(Instant aNow);
  std::optional<KeyOwnership> ClearSettled() const;
  KeyOwnership RaiseFences() const;
  void ForgetFormerHold(const std::string& aServer);
  void Advance(Instant aNow, const KeyRange& aRange, RangeState& aState);
  void ClearFormerOwner(Instant aNow, const KeyRange& aRange, RangeState& aState);
  void SendGrant(Instant aNow, const KeyRange& aRange, RangeState& aState);
  void SendOrder(RangeState& aState, KeyOrder aOrder);
  bool IsUsable(const std::string& aServer) const;
  Instant HoldsUntil(const std::string& aServer) const;
  void ExtendHold(Instant aNow, const std::string& aServer, OrderEnd aEnd);
  RangeState* StateOf(OrderNumber aOrder);

  std::string service_;
  OwnershipPlacerSettings settings_;
  PlacerActions& actions_;
  EventSink& events_;
  KeyBalancer balancer_;
  KeyLoad load_;
  std::vector<KeyServer> servers_;
  KeyOwnership committed_;
  // One for each range of committed_, in the same order.
  std::vector<RangeState> states_;
  std::optional<KeyOwnership> writing_;
  std::map<OrderNumber, KeyOrder> orders_;
  // Until when each server that was granted keys may hold them.
  std::map<std::string, Instant> holdsUntil_;
  // The same by orders of former placers, until the server has acknowledged a
  // higher fence on all it owns.
  std::map<std::string, Instant> formerHoldsUntil_;
  // Where each server was last seen, those that have ended included.
  std::map<std::string, std::string> addresses_;
  Instant startedAt_{ 0 };
  // Since when the count of servers is what it is.
  Instant serversSince_{ 0 };
  Instant nextRebalance_ = Instant::min();
  Instant nextTime_ = Instant::min();
  OrderNumber lastOrder_ = 0;
  // Whether the ranges still stand under fences of a former placer.
  bool hasFormerFences_ = false;
};

} // namespace latchslip
