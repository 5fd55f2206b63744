#pragma once

#include <span>
#include <string>
#include <string_view>

namespace latchslip {

// The numbered events of the log. docs/EVENTS.md documents them, and a test compares the two.
// A number is never reused for another event.
enum class Event : int
{
  InstanceStarted = 100,
  InstanceLeaving = 101,
  InstanceStopped = 102,
  SettingsReloaded = 103,
  SettingsRejected = 104,
  LogLinesDropped = 105,
  LoopDelayed = 106,
  RequestBodiesRefused = 107,
  PeerConnected = 110,
  PeerDisconnected = 111,
  PeerSuspected = 112,
  PeerCleared = 113,
  PeerRefused = 114,
  ViewInstalled = 120,
  ViewStale = 121,
  ViewRejected = 122,
  StoreUnavailable = 130,
  StoreRecovered = 131,
  StoreUnsure = 132,
  StoreCameBack = 133,
  TableReadAgain = 134,
  OlderViewDropped = 135,
  StoreConflict = 136,
  OwnersKept = 137,
  PlacerTaken = 200,
  PlacementCommitted = 201,
  PlacementConflict = 202,
  HolderAssigned = 203,
  SliceMoveStarted = 204,
  SliceMoved = 205,
  ServerLost = 206,
  ServerReturned = 207,
  SliceSplit = 208,
  ServerLeaving = 209,
  ServerLossDeferred = 210,
  GrantAcknowledged = 300,
  GrantRefused = 301,
  GrantExpired = 302,
  GrantResumed = 304,
  RequestRouted = 400,
  RequestForwarded = 401,
  RequestDispatched = 402,
  RequestAnswered = 403,
  RequestRefused = 404,
  RequestUnknown = 405,
  RequestRetried = 406,
  ClaimDuplicate = 410,
  PlanMade = 500,
  PlanConfirmed = 501,
  PlanConflict = 502,
  OperatorRefused = 503,
  GatewayRefusal = 600,
  GatewayRetry = 601,
  GatewayAnswer = 602,
  ServerAskedForRest = 603,
  ServerLimitsRate = 604,
  ServerClosedConnection = 605,
  ServerLinksCut = 606,
  ServerLinksRestored = 607,
  OtherResponsesSkipped = 608,
  ResponseOutOfBounds = 609,
  RoutesInForce = 610,
  RoutesRejected = 611,
  ServerListed = 612,
  ServerUnlisted = 613,
  RecordRejected = 614,
  ViewFromPeer = 615,
  FollowingChanged = 616,
  HallDrained = 617,
  HallRestored = 618,
  ServerToldLeaving = 619,
  OwnershipSeen = 620,
  OwnershipWritten = 621,
  KeysCleared = 622,
  KeyOrderEnded = 623,
  ServerEndProven = 624,
  PlacerClaimed = 630,
  PlacerClaimLost = 631,
  PlacerSilent = 632,
  DispatcherChosen = 640,
  DispatcherSilent = 641,
  RequestQuarantined = 642,
  QuarantineLifted = 643,
  ServerSuspended = 644,
  DispatcherSlow = 645,
  DispatcherResigned = 646,
  ApiKeysProven = 650,
  ApiKeysUnproven = 651,
  GroupOverLimit = 652,
};

struct EventName
{
  Event event_;
  std::string_view name_;
};

// Returns all events with their names, ordered by number.
std::span<const EventName>
AllEvents();

std::string_view
NameOf(Event aEvent);

// Receives the events of the decision logic.
class EventSink
{
public:
  virtual ~EventSink() = default;

  // Records one event; aDetail consists of "name=value" words and includes the reason.
  virtual void Record(Event aEvent, std::string_view aDetail) = 0;
};

} // namespace latchslip
