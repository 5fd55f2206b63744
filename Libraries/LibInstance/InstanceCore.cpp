#include "LibInstance/InstanceCore.h"

#include <boost/json.hpp>

namespace latchslip {

namespace {

// Once the view is older than this, heartbeats are also sent to peers that do not monitor
// this instance, so that every instance can check whether it can reach a majority.
constexpr Duration kWideHeartbeatViewAge = milliseconds(1500);
constexpr Duration kWideHeartbeatInterval = milliseconds(500);
// Timeout of a store read.
constexpr Duration kPollTimeout = seconds(2);

} // namespace

InstanceCore::InstanceCore(InstanceId aSelf,
                           std::string aHall,
                           InstanceTiming aTiming,
                           Outbox& aOutbox,
                           EventSink& aEvents)
  : timing_(aTiming)
  , outbox_(aOutbox)
  , events_(aEvents)
  , membership_(std::move(aSelf), std::move(aHall), aTiming.membership_)
  , dispatch_(
      MakeContext(),
      [this](Instant aNow, const ReplyTo& aReplyTo, const WorkAnswer& aAnswer) {
        DeliverAnswer(aNow, aReplyTo, aAnswer);
      },
      [this](Instant aNow, const ServerReport& aReport) { SendReport(aNow, aReport); })
  , entry_(
      MakeContext(),
      [this](Instant aNow, const WorkRequest& aRequest, const ReplyTo& aReplyTo) {
        dispatch_.Submit(aNow, aRequest, aReplyTo);
      },
      [this](Instant aNow, const ReplyTo& aReplyTo) { dispatch_.Cancel(aNow, aReplyTo); })
  , placers_(
      MakeContext(),
      [this](Instant aNow, const Row& aRow) { InstallAndBroadcast(aNow, aRow); },
      [this](const InstanceId& aTo, const ResumeCommand& aCommand) {
        if (aTo == membership_.Self()) {
          dispatch_.OnResume(aCommand);
        } else {
          outbox_.SendToPeer(aTo, aCommand);
        }
      })
  , operators_(MakeContext(),
               [this](Instant aNow, const Row& aRow) { InstallAndBroadcast(aNow, aRow); })
{
}

InstanceContext
InstanceCore::MakeContext()
{
  return { view_, membership_, outbox_, events_, timing_ };
}

void
InstanceCore::Tick(Instant aNow)
{
  for (const auto& change : membership_.Tick(aNow)) {
    if (change.isChange_) {
      events_.Record(change.suspected_ ? Event::PeerSuspected : Event::PeerCleared,
                     "peer=" + change.target_);
    }
    Broadcast(Suspicion{ change.target_, change.suspected_ });
  }
  PollStore(aNow);
  SendHeartbeats(aNow);
  dispatch_.Tick(aNow);
  placers_.Tick(aNow);
  operators_.Tick(aNow);
  entry_.Tick(aNow);
  const bool isFresh = IsViewFresh(aNow);
  if (wasFresh_ && !isFresh) {
    events_.Record(Event::ViewStale, "reason=neither-store-nor-most-peers-heard");
  }
  wasFresh_ = isFresh;
}

bool
InstanceCore::IsViewFresh(Instant aNow) const
{
  if (!hasView_) {
    return false;
  }
  return aNow - viewConfirmedAt_ <= timing_.maxViewAge_ ||
         membership_.HasMajorityContact(aNow, timing_.maxViewAge_);
}

void
InstanceCore::Broadcast(const PeerMessage& aMessage)
{
  for (const auto& peer : membership_.Peers()) {
    if (const auto id = membership_.IdOfName(peer.name_)) {
      outbox_.SendToPeer(*id, aMessage);
    }
  }
}

void
InstanceCore::SendHeartbeats(Instant aNow)
{
  if (aNow - heartbeatAt_ < timing_.heartbeatInterval_) {
    return;
  }
  heartbeatAt_ = aNow;
  Heartbeat heartbeat;
  heartbeat.isLeaving_ = membership_.IsLeaving();
  heartbeat.viewDigest_ = view_.Digest();
  heartbeat.viewAge_ = aNow - viewConfirmedAt_;
  const bool isWide = aNow - viewConfirmedAt_ > kWideHeartbeatViewAge || !hasView_;
  if (isWide && aNow - wideHeartbeatAt_ >= kWideHeartbeatInterval) {
    wideHeartbeatAt_ = aNow;
    Broadcast(heartbeat);
    return;
  }
  for (const auto& name : membership_.WatcherNames()) {
    if (const auto id = membership_.IdOfName(name)) {
      outbox_.SendToPeer(*id, heartbeat);
    }
  }
}

void
InstanceCore::PollStore(Instant aNow)
{
  if (pollTag_ != 0 && aNow - pollSentAt_ > kPollTimeout) {
    pollTag_ = 0;
  }
  const bool isDue = polledAt_ == Instant{ 0 } || aNow - polledAt_ >= timing_.storePollInterval_;
  if (pollTag_ != 0 || !isDue) {
    return;
  }
  polledAt_ = aNow;
  pollSentAt_ = aNow;
  StoreCall call;
  call.isRead_ = true;
  call.stamps_ = view_.Stamps();
  pollTag_ = NextTag();
  outbox_.CallStore(pollTag_, call);
}

void
InstanceCore::OnPollReply(Instant aNow, const StoreReply& aReply)
{
  if (aReply.status_ != StoreStatus::Done) {
    if (!isStoreDown_) {
      events_.Record(Event::StoreUnavailable, "reason=read-failed");
    }
    isStoreDown_ = true;
    return;
  }
  if (isStoreDown_) {
    events_.Record(Event::StoreRecovered, "reason=read-answered");
  }
  isStoreDown_ = false;
  const auto revision = view_.Revision();
  bool isChanged = false;
  for (const auto& row : aReply.rows_) {
    isChanged = Install(row) || isChanged;
  }
  viewConfirmedAt_ = std::max(viewConfirmedAt_, pollSentAt_);
  hasView_ = true;
  placers_.OnStoreRead();
  if (isChanged) {
    dispatch_.ApplyView(aNow);
  }
  if (view_.Revision() != revision) {
    // The new configuration may name services whose rows were not requested; poll again at
    // once.
    polledAt_ = Instant{ 0 };
  }
}

bool
InstanceCore::Install(const Row& aRow)
{
  const auto result = view_.Install(aRow);
  const auto detail = "row=" + aRow.key_ + " version=" + std::to_string(aRow.version_);
  if (result == InstallResult::Installed) {
    events_.Record(Event::ViewInstalled, detail);
    if (aRow.key_ == kConfigurationKey) {
      AcknowledgeConfiguration(view_.ConfirmedBy());
    }
  } else if (result == InstallResult::Invalid) {
    events_.Record(Event::ViewRejected, detail + " reason=unreadable");
  }
  return result == InstallResult::Installed;
}

void
InstanceCore::InstallAndBroadcast(Instant aNow, const Row& aRow)
{
  if (Install(aRow)) {
    Broadcast(ViewRows{ { aRow } });
    dispatch_.ApplyView(aNow);
  }
}

void
InstanceCore::SendReport(Instant aNow, const ServerReport& aReport)
{
  const auto* placed = view_.FindPlacement(aReport.service_);
  if (placed == nullptr) {
    return;
  }
  const auto& placer = placed->placement_.placer_;
  if (placer == membership_.Self()) {
    placers_.OnReport(aNow, aReport);
  } else {
    outbox_.SendToPeer(placer, aReport);
  }
}

void
InstanceCore::DeliverAnswer(Instant aNow, const ReplyTo& aReplyTo, const WorkAnswer& aAnswer)
{
  if (aReplyTo.peer_.empty()) {
    entry_.OnWorkAnswer(aNow, aReplyTo.id_, aAnswer);
  } else {
    outbox_.SendToPeer(aReplyTo.peer_, ForwardedAnswer{ aReplyTo.id_, aAnswer });
  }
}

void
InstanceCore::OnInstanceList(Instant aNow, std::vector<ListedInstance> aList)
{
  membership_.OnList(aNow, std::move(aList));
}

void
InstanceCore::OnPeerUp(Instant aNow, const InstanceId& aPeer, std::string_view aHall)
{
  events_.Record(Event::PeerConnected, "peer=" + aPeer + " hall=" + std::string(aHall));
  membership_.OnContact(aNow, aPeer, aHall, membership_.IsLeavingInstance(aPeer));
  // The peer replies with every row that changed while the two were disconnected.
  outbox_.SendToPeer(aPeer, ViewStamps{ view_.Stamps() });
  AcknowledgeConfiguration(aPeer);
}

void
InstanceCore::AcknowledgeConfiguration(const InstanceId& aPeer)
{
  if (aPeer == view_.ConfirmedBy() && aPeer != membership_.Self()) {
    outbox_.SendToPeer(aPeer, ConfigurationApplied{ view_.Revision() });
  }
}

void
InstanceCore::OnPeerDown(Instant aNow, const InstanceId& aPeer)
{
  events_.Record(Event::PeerDisconnected, "peer=" + aPeer);
  entry_.OnPeerDown(aNow, aPeer);
}

void
InstanceCore::OnPeerMessage(Instant aNow, const InstanceId& aFrom, const PeerMessage& aMessage)
{
  std::visit([&](const auto& aBody) { Handle(aNow, aFrom, aBody); }, aMessage);
}

void
InstanceCore::Handle(Instant aNow, const InstanceId& aFrom, const Heartbeat& aMessage)
{
  membership_.OnHeartbeat(aNow, aFrom, aMessage.isLeaving_);
  if (aMessage.viewDigest_ == view_.Digest()) {
    // Equal views: the age that the peer reports for its view is valid for this one too.
    viewConfirmedAt_ = std::max(viewConfirmedAt_, aNow - aMessage.viewAge_);
    return;
  }
  outbox_.SendToPeer(aFrom, ViewStamps{ view_.Stamps() });
}

void
InstanceCore::Handle(Instant aNow, const InstanceId& aFrom, const Suspicion& aMessage)
{
  membership_.OnSuspicion(aNow, aFrom, aMessage.target_, aMessage.isSuspected_);
}

void
InstanceCore::Handle(Instant, const InstanceId& aFrom, const ViewStamps& aMessage)
{
  auto rows = view_.RowsNewerThan(aMessage.stamps_);
  if (!rows.empty()) {
    outbox_.SendToPeer(aFrom, ViewRows{ std::move(rows) });
  }
  if (view_.HasOlderThan(aMessage.stamps_)) {
    outbox_.SendToPeer(aFrom, ViewStamps{ view_.Stamps() });
  }
}

void
InstanceCore::Handle(Instant aNow, const InstanceId&, const ViewRows& aMessage)
{
  bool isChanged = false;
  for (const auto& row : aMessage.rows_) {
    isChanged = Install(row) || isChanged;
  }
  if (isChanged) {
    hasView_ = hasView_ || view_.Revision() != 0;
    dispatch_.ApplyView(aNow);
  }
}

void
InstanceCore::Handle(Instant aNow, const InstanceId& aFrom, const ConfigurationApplied& aMessage)
{
  operators_.OnConfigurationApplied(aNow, aFrom, aMessage.revision_);
}

void
InstanceCore::Handle(Instant aNow, const InstanceId& aFrom, const ForwardedRequest& aMessage)
{
  auto request = aMessage.request_;
  request.deadline_ += aNow;
  dispatch_.Submit(aNow, request, { aFrom, aMessage.id_ });
}

void
InstanceCore::Handle(Instant aNow, const InstanceId&, const ForwardedAnswer& aMessage)
{
  entry_.OnWorkAnswer(aNow, aMessage.id_, aMessage.answer_);
}

void
InstanceCore::Handle(Instant aNow, const InstanceId& aFrom, const ForwardedCancel& aMessage)
{
  dispatch_.Cancel(aNow, { aFrom, aMessage.id_ });
}

void
InstanceCore::Handle(Instant aNow, const InstanceId& aFrom, const ServerReport& aMessage)
{
  if (aMessage.holder_ == aFrom) {
    placers_.OnReport(aNow, aMessage);
  }
}

void
InstanceCore::Handle(Instant, const InstanceId& aFrom, const ResumeCommand& aMessage)
{
  const auto* placed = view_.FindPlacement(aMessage.service_);
  if (placed != nullptr && placed->placement_.placer_ == aFrom) {
    dispatch_.OnResume(aMessage);
  }
}

void
InstanceCore::OnCaller(Instant aNow, CallerId aCaller, const WorkRequest& aRequest)
{
  entry_.OnRequest(aNow, aCaller, aRequest, IsViewFresh(aNow));
}

void
InstanceCore::OnStoreReply(Instant aNow, CallTag aTag, const StoreReply& aReply)
{
  if (aTag == pollTag_ && aTag != 0) {
    pollTag_ = 0;
    OnPollReply(aNow, aReply);
    return;
  }
  const bool isHandled = dispatch_.OnStoreReply(aNow, aTag, aReply) ||
                         placers_.OnStoreReply(aNow, aTag, aReply) ||
                         operators_.OnStoreReply(aNow, aTag, aReply);
  static_cast<void>(isHandled);
}

void
InstanceCore::OnGrantReply(Instant aNow, CallTag aTag, const GrantReply& aReply)
{
  dispatch_.OnGrantReply(aNow, aTag, aReply);
}

void
InstanceCore::OnWorkReply(Instant aNow, WorkId aId, const WorkReply& aReply)
{
  dispatch_.OnWorkReply(aNow, aId, aReply);
}

void
InstanceCore::OnPlan(Instant aNow, OperatorId aOperator, const std::string& aDeclaration)
{
  operators_.OnPlan(aNow, aOperator, aDeclaration);
}

void
InstanceCore::OnConfirm(Instant aNow, OperatorId aOperator, const std::string& aPlan)
{
  operators_.OnConfirm(aNow, aOperator, aPlan);
}

void
InstanceCore::BeginLeaving(Instant aNow)
{
  if (membership_.IsLeaving()) {
    return;
  }
  membership_.SetLeaving();
  events_.Record(Event::InstanceLeaving, "self=" + membership_.Self());
  Heartbeat heartbeat;
  heartbeat.isLeaving_ = true;
  heartbeat.viewDigest_ = view_.Digest();
  heartbeat.viewAge_ = aNow - viewConfirmedAt_;
  Broadcast(heartbeat);
}

bool
InstanceCore::MayStop() const
{
  return entry_.IsIdle() && dispatch_.IsIdle();
}

std::string
InstanceCore::DescribeStatus(Instant aNow) const
{
  boost::json::array instances;
  for (const auto& instance : membership_.LiveInstances(aNow)) {
    instances.push_back(boost::json::object{
      { "id", instance.id_ }, { "hall", instance.hall_ }, { "leaving", instance.leaving_ } });
  }
  boost::json::array services;
  for (const auto& service : view_.Configuration().services_) {
    const auto* placed = view_.FindPlacement(service.name_);
    if (placed == nullptr) {
      continue;
    }
    boost::json::array servers;
    const auto counts = placed->placement_.CountSlices();
    for (ServerIndex index = 0; index < placed->placement_.servers_.size(); ++index) {
      const auto& server = placed->placement_.servers_[index];
      servers.push_back(boost::json::object{ { "name", server.name_ },
                                             { "state", kPlacedStateNames.NameOf(server.state_) },
                                             { "holder", server.holder_ },
                                             { "fence", server.fence_ },
                                             { "slices", counts[index] } });
    }
    services.push_back(boost::json::object{ { "name", service.name_ },
                                            { "version", placed->version_ },
                                            { "placer", placed->placement_.placer_ },
                                            { "servers", std::move(servers) } });
  }
  boost::json::array held;
  for (const auto& [key, server] : dispatch_.Held()) {
    held.push_back(
      boost::json::object{ { "server", key },
                           { "grant", kGrantStateNames.NameOf(server->grantManager_.State()) },
                           { "waiting", server->queue_.Waiting() },
                           { "running", server->queue_.Running() } });
  }
  boost::json::array intents;
  for (const auto& intent : view_.Configuration().intents_) {
    intents.push_back(boost::json::object{
      { "group", intent.group_ }, { "service", intent.service_ }, { "portion", intent.portion_ } });
  }
  return boost::json::serialize(
    boost::json::object{ { "self", membership_.Self() },
                         { "hall", membership_.Hall() },
                         { "leaving", membership_.IsLeaving() },
                         { "revision", view_.Revision() },
                         { "view_fresh", IsViewFresh(aNow) },
                         { "view_age_ms", (aNow - viewConfirmedAt_).count() / 1000 },
                         { "store_down", isStoreDown_ },
                         { "callers_in_flight", entry_.Pending() },
                         { "placer_roles", placers_.PlacerRoleCount() },
                         { "instances", std::move(instances) },
                         { "services", std::move(services) },
                         { "intents", std::move(intents) },
                         { "held", std::move(held) } });
}

} // namespace latchslip
