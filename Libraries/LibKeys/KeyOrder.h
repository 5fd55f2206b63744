#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"
#include "LibKeys/KeyOwnership.h"

#include <cstdint>
#include <string>

namespace latchslip {

// Names one order within one run of a placer.
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
  // The life of the server that is meant, as in KeyServer.
  std::uint64_t life_ = 0;

  KeySpan Span() const { return { first_, last_ }; }
};

// How an order ended, as far as the placer knows.
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

// What became of an order.
struct OrderOutcome
{
  OrderEnd end_ = OrderEnd::Unanswered;
  // What the server gave back with the keys; only for releases that are done.
  std::string handover_;
  // The server, of the life that was meant, says that it is about to end.
  bool isLeaving_ = false;
};

} // namespace latchslip
