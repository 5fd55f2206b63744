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
  // No byte was sent, since nothing listens at the address.
  Refused,
  // The order was sent; it may be carried out now or some seconds later.
  Unanswered,
  // The server called the order malformed.
  Malformed,
};

inline constexpr NameTable<OrderEnd, 7> kOrderEndNames{
  { "done", "higher-fence", "other-life", "not-sent", "refused", "unanswered", "malformed" }
};

struct OrderOutcome
{
  OrderEnd end_ = OrderEnd::Unanswered;
  std::string handover_;
};

// What is known of a server life, also of one that is listed no more.
struct ServerLife
{
  std::string address_;
  bool isListed_ = false;
  // It said that it was about to end.
  bool isLeaving_ = false;
  // A later life has its address.
  bool hasEnded_ = false;
};

// Carries out what the placement decides, and tells it about servers.
class PlacerActions
{
public:
  virtual ~PlacerActions() = default;

  virtual void Order(const KeyOrder& aOrder) = 0;
  // A grant to that server was not answered and may be carried out late: until
  // aHolds from now it may hold keys. Other instances should know, lest this one
  // is lost.
  virtual void Doubt(const std::string& aServer, Duration aHolds) = 0;
  // Writes the row of the ownership, provided that it still has the version this
  // placer knows and that this instance is still the placer.
  virtual void Write(const KeyOwnership& aOwnership) = 0;
  // No value for lives that were never listed here.
  virtual std::optional<ServerLife> LifeOf(const std::string& aServer) const = 0;
};

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
    // Releases that found nobody listening, one after the other.
    unsigned refusals_ = 0;
    Instant nextOrder_ = Instant::min();
  };

  void Adopt(KeyOwnership aOwnership);
  static bool IsContinuation(const KeyRange& aOld, const KeyRange& aNew);
  std::optional<KeyOwnership> Plan(Instant aNow);
  std::optional<KeyOwnership> ClearSettled() const;
  KeyOwnership RaiseFences() const;
  void ForgetFormerHold(const std::string& aServer);
  void Advance(Instant aNow, const KeyRange& aRange, RangeState& aState);
  // Why the former owner of a range certainly does not hold it; null if it may.
  const char* ReasonToClear(Instant aNow, const KeyRange& aRange, const RangeState& aState) const;
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
  // The same by orders that were not answered.
  std::map<std::string, Instant> doubts_;
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
