#include "LibBase/Event.h"

#include <algorithm>
#include <array>

namespace latchslip {

namespace {

constexpr std::array kEvents{
  EventName{ Event::InstanceStarted, "InstanceStarted" },
  EventName{ Event::InstanceLeaving, "InstanceLeaving" },
  EventName{ Event::InstanceStopped, "InstanceStopped" },
  EventName{ Event::SettingsReloaded, "SettingsReloaded" },
  EventName{ Event::SettingsRejected, "SettingsRejected" },
  EventName{ Event::LogLinesDropped, "LogLinesDropped" },
  EventName{ Event::LoopDelayed, "LoopDelayed" },
  EventName{ Event::RequestBodiesRefused, "RequestBodiesRefused" },
  EventName{ Event::PeerConnected, "PeerConnected" },
  EventName{ Event::PeerDisconnected, "PeerDisconnected" },
  EventName{ Event::PeerSuspected, "PeerSuspected" },
  EventName{ Event::PeerCleared, "PeerCleared" },
  EventName{ Event::PeerRefused, "PeerRefused" },
  EventName{ Event::ViewInstalled, "ViewInstalled" },
  EventName{ Event::ViewStale, "ViewStale" },
  EventName{ Event::ViewRejected, "ViewRejected" },
  EventName{ Event::StoreUnavailable, "StoreUnavailable" },
  EventName{ Event::StoreRecovered, "StoreRecovered" },
  EventName{ Event::StoreUnsure, "StoreUnsure" },
  EventName{ Event::StoreCameBack, "StoreCameBack" },
  EventName{ Event::TableReadAgain, "TableReadAgain" },
  EventName{ Event::OlderViewDropped, "OlderViewDropped" },
  EventName{ Event::StoreConflict, "StoreConflict" },
  EventName{ Event::OwnersKept, "OwnersKept" },
  EventName{ Event::PlacerTaken, "PlacerTaken" },
  EventName{ Event::PlacementCommitted, "PlacementCommitted" },
  EventName{ Event::PlacementConflict, "PlacementConflict" },
  EventName{ Event::HolderAssigned, "HolderAssigned" },
  EventName{ Event::SliceMoveStarted, "SliceMoveStarted" },
  EventName{ Event::SliceMoved, "SliceMoved" },
  EventName{ Event::ServerLost, "ServerLost" },
  EventName{ Event::ServerReturned, "ServerReturned" },
  EventName{ Event::SliceSplit, "SliceSplit" },
  EventName{ Event::ServerLeaving, "ServerLeaving" },
  EventName{ Event::ServerLossDeferred, "ServerLossDeferred" },
  EventName{ Event::GrantAcknowledged, "GrantAcknowledged" },
  EventName{ Event::GrantRefused, "GrantRefused" },
  EventName{ Event::GrantExpired, "GrantExpired" },
  EventName{ Event::GrantResumed, "GrantResumed" },
  EventName{ Event::RequestRouted, "RequestRouted" },
  EventName{ Event::RequestForwarded, "RequestForwarded" },
  EventName{ Event::RequestDispatched, "RequestDispatched" },
  EventName{ Event::RequestAnswered, "RequestAnswered" },
  EventName{ Event::RequestRefused, "RequestRefused" },
  EventName{ Event::RequestUnknown, "RequestUnknown" },
  EventName{ Event::RequestRetried, "RequestRetried" },
  EventName{ Event::ClaimDuplicate, "ClaimDuplicate" },
  EventName{ Event::PlanMade, "PlanMade" },
  EventName{ Event::PlanConfirmed, "PlanConfirmed" },
  EventName{ Event::PlanConflict, "PlanConflict" },
  EventName{ Event::OperatorRefused, "OperatorRefused" },
  EventName{ Event::GatewayRefusal, "GatewayRefusal" },
  EventName{ Event::GatewayRetry, "GatewayRetry" },
  EventName{ Event::GatewayAnswer, "GatewayAnswer" },
  EventName{ Event::ServerAskedForRest, "ServerAskedForRest" },
  EventName{ Event::ServerLimitsRate, "ServerLimitsRate" },
  EventName{ Event::ServerClosedConnection, "ServerClosedConnection" },
  EventName{ Event::ServerLinksCut, "ServerLinksCut" },
  EventName{ Event::ServerLinksRestored, "ServerLinksRestored" },
  EventName{ Event::OtherResponsesSkipped, "OtherResponsesSkipped" },
  EventName{ Event::ResponseOutOfBounds, "ResponseOutOfBounds" },
  EventName{ Event::RoutesInForce, "RoutesInForce" },
  EventName{ Event::RoutesRejected, "RoutesRejected" },
  EventName{ Event::ServerListed, "ServerListed" },
  EventName{ Event::ServerUnlisted, "ServerUnlisted" },
  EventName{ Event::RecordRejected, "RecordRejected" },
  EventName{ Event::ViewFromPeer, "ViewFromPeer" },
  EventName{ Event::FollowingChanged, "FollowingChanged" },
  EventName{ Event::HallDrained, "HallDrained" },
  EventName{ Event::HallRestored, "HallRestored" },
  EventName{ Event::ServerToldLeaving, "ServerToldLeaving" },
  EventName{ Event::OwnershipSeen, "OwnershipSeen" },
  EventName{ Event::OwnershipWritten, "OwnershipWritten" },
  EventName{ Event::KeysCleared, "KeysCleared" },
  EventName{ Event::KeyOrderEnded, "KeyOrderEnded" },
  EventName{ Event::ServerEndProven, "ServerEndProven" },
  EventName{ Event::PlacerClaimed, "PlacerClaimed" },
  EventName{ Event::PlacerClaimLost, "PlacerClaimLost" },
  EventName{ Event::PlacerSilent, "PlacerSilent" },
  EventName{ Event::DispatcherChosen, "DispatcherChosen" },
  EventName{ Event::DispatcherSilent, "DispatcherSilent" },
  EventName{ Event::RequestQuarantined, "RequestQuarantined" },
  EventName{ Event::QuarantineLifted, "QuarantineLifted" },
  EventName{ Event::ServerSuspended, "ServerSuspended" },
  EventName{ Event::DispatcherSlow, "DispatcherSlow" },
  EventName{ Event::DispatcherResigned, "DispatcherResigned" },
  EventName{ Event::ApiKeysProven, "ApiKeysProven" },
  EventName{ Event::ApiKeysUnproven, "ApiKeysUnproven" },
  EventName{ Event::GroupOverLimit, "GroupOverLimit" },
};

} // namespace

std::span<const EventName>
AllEvents()
{
  return kEvents;
}

std::string_view
NameOf(Event aEvent)
{
  const auto* found = std::find_if(kEvents.begin(), kEvents.end(), [&](const EventName& aEntry) {
    return aEntry.event_ == aEvent;
  });
  return found == kEvents.end() ? "Unnamed" : found->name_;
}

} // namespace latchslip
