#pragma once

#include "LibBase/Event.h"
#include "LibDispatch/ClaimRegistry.h"
#include "LibDispatch/GrantManager.h"
#include "LibInstance/Outbox.h"
#include "LibInstance/View.h"
#include "LibMembership/Membership.h"
#include "LibPlacement/Placer.h"

namespace latchslip {

// Timeouts, intervals and bounds of an instance. All instances of a fleet must use the same
// values.
struct InstanceTiming
{
  MembershipTiming membership_;
  GrantTiming grant_;
  PlacerTiming placer_;
  ClaimTiming claim_;
  Duration heartbeatInterval_ = milliseconds(200);
  Duration reportInterval_ = seconds(1);
  // How often a report is repeated until the placer has acted on it.
  Duration reportRepeatInterval_ = milliseconds(200);
  Duration storePollInterval_ = seconds(1);
  // A view that neither the store nor a peer has confirmed for this long is not served from,
  // unless a majority of the instances was in contact within the same time.
  Duration maxViewAge_ = seconds(3);
  // How long a request may be retried while its key has no reachable owner.
  Duration maxParkedTime_ = seconds(1);
  std::size_t maxInFlight_ = 4096;
  // How long a confirmation waits until all instances have applied the configuration.
  Duration confirmTimeout_ = seconds(5);
};

// References shared by the components of an instance; all outlive the components.
struct InstanceContext
{
  View& view_;
  Membership& membership_;
  Outbox& outbox_;
  EventSink& events_;
  const InstanceTiming& timing_;
};

} // namespace latchslip
