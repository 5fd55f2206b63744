#pragma once

#include "LibBase/Event.h"
#include "LibDispatch/ClaimBook.h"
#include "LibDispatch/GrantKeeper.h"
#include "LibInstance/Outbox.h"
#include "LibInstance/View.h"
#include "LibMembership/Membership.h"
#include "LibPlacement/Placer.h"

namespace latchslip {

// The terms and intervals of one instance; all instances of a fleet use the same.
struct InstanceTiming
{
  MembershipTiming membership_;
  GrantTiming grant_;
  PlacerTiming placer_;
  ClaimTiming claim_;
  Duration heartbeatInterval_ = milliseconds(200);
  Duration reportInterval_ = seconds(1);
  // How often an event that the placer has not acted on is reported again.
  Duration reportRepeat_ = milliseconds(200);
  Duration storePoll_ = seconds(1);
  // A view that neither the store nor peers have confirmed for this long, with
  // most instances unheard as well, is not served from.
  Duration viewBound_ = seconds(3);
  // How long a request may wait for its key to find an owner.
  Duration mostParked_ = seconds(1);
  std::size_t mostInFlight_ = 4096;
  // How long a confirmation waits for the instances to have it in force.
  Duration confirmWait_ = seconds(5);
};

// What the parts of one instance share.
struct InstanceContext
{
  View& view_;
  Membership& membership_;
  Outbox& outbox_;
  EventSink& events_;
  const InstanceTiming& timing_;
};

} // namespace latchslip
