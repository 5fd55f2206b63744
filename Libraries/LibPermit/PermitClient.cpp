#include "LibPermit/PermitClient.h"

#include <algorithm>
#include <set>
#include <utility>

namespace latchslip {

namespace {

// A dispatcher that does not answer for this long is failed over: several times as long as a busy,
// weak instance takes to read its messages.
constexpr Duration kAnswerTimeout = milliseconds(400);
// Delay before a dispatcher whose link has failed is connected to again.
constexpr Duration kReconnectDelay = seconds(1);
// Interval between probes of a dispatcher that does not answer.
constexpr Duration kProbeInterval = milliseconds(50);
// Number of candidates for a shard that may resign it.
constexpr std::size_t kResigningCandidates = 2;
constexpr Duration kComplaintInterval = seconds(1);

} // namespace

PermitClient::PermitClient(PermitClientActions& aActions, EventSink& aEvents)
  : actions_(aActions)
  , events_(aEvents)
{
}

void
PermitClient::SetPeers(Instant aNow, const std::map<std::string, FleetPeer>& aPeers)
{
  if (peers_ != aPeers) {
    peers_ = aPeers;
    UpdateCandidates(aNow);
  }
}

void
PermitClient::SetServices(Instant aNow, std::vector<std::string> aServices)
{
  if (services_ != aServices) {
    services_ = std::move(aServices);
    UpdateCandidates(aNow);
  }
}

void
PermitClient::SetDispatcherCounts(Instant aNow, DispatcherCounts aCounts)
{
  if (counts_ == aCounts) {
    return;
  }
  const auto former = std::exchange(counts_, std::move(aCounts));
  // A service whose number of shards changes has all of them selected again.
  std::erase_if(dispatchers_, [&](const auto& aEntry) {
    return former.contains(aEntry.first.first) != counts_.contains(aEntry.first.first);
  });
  AssignShardsAgain();
  UpdateCandidates(aNow);
}

void
PermitClient::UpdateCandidates(Instant aNow)
{
  assignment_.Assign(peers_, services_, counts_);
  SelectDispatchers(aNow);
}

ShardNumber
PermitClient::ShardCountOf(const std::string& aService) const
{
  return counts_.contains(aService) ? kPermitShards : 1;
}

PermitClient::ShardKey
PermitClient::ShardOf(const std::string& aService, const std::string& aServer) const
{
  return { aService, aServer.empty() ? 0 : ShardOfServer(aServer, ShardCountOf(aService)) };
}

std::vector<PermitClient::ShardKey>
PermitClient::Shards() const
{
  std::vector<ShardKey> shards;
  for (const auto& service : services_) {
    for (ShardNumber shard = 0; shard < ShardCountOf(service); ++shard) {
      shards.emplace_back(service, shard);
    }
  }
  return shards;
}

void
PermitClient::AssignShardsAgain()
{
  for (auto& [number, request] : requests_) {
    request.shard_ = ShardOf(request.shard_.first, request.server_);
  }
  for (auto& [number, send] : running_) {
    send.shard_ = ShardOf(send.shard_.first, send.server_);
  }
}

std::vector<std::string>
PermitClient::AvailableCandidates(Instant aNow, const ShardKey& aShard) const
{
  std::vector<std::string> available;
  const auto& candidates = assignment_.CandidatesFor(aShard.first, aShard.second);
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const auto link = links_.find(candidates[index]);
    if (link == links_.end() || !IsPassedOver(aNow, link->second, index, candidates.size())) {
      available.push_back(candidates[index]);
    }
  }
  return available.empty() ? UnfailedCandidates(aNow, candidates) : available;
}

// A dispatcher with late answers is better than none.
std::vector<std::string>
PermitClient::UnfailedCandidates(Instant aNow, const std::vector<std::string>& aCandidates) const
{
  std::vector<std::string> unfailed;
  for (const auto& candidate : aCandidates) {
    if (const auto link = links_.find(candidate); aNow >= link->second.failedUntil_) {
      unfailed.push_back(candidate);
    }
  }
  return unfailed;
}

bool
PermitClient::IsPassedOver(Instant aNow,
                           const Link& aLink,
                           std::size_t aIndex,
                           std::size_t aCount) const
{
  const bool mayResign =
    usesLoadManagement_ && aIndex < kResigningCandidates && aIndex + 1 < aCount;
  return aNow < aLink.failedUntil_ || (mayResign && aNow < aLink.resignedUntil_);
}

void
PermitClient::ConnectTo(const std::string& aDispatcher)
{
  if (auto& link = links_[aDispatcher]; link.state_ == LinkState::Down) {
    link.state_ = LinkState::Connecting;
    actions_.Connect(aDispatcher);
  }
}

void
PermitClient::SelectDispatchers(Instant aNow)
{
  const auto shards = Shards();
  std::erase_if(dispatchers_, [&](const auto& aEntry) {
    return std::find(shards.begin(), shards.end(), aEntry.first) == shards.end();
  });
  std::set<std::string> informed;
  for (const auto& shard : shards) {
    const auto available = AvailableCandidates(aNow, shard);
    const auto next = available.empty() ? std::string() : available.front();
    const bool hasShards = ShardCountOf(shard.first) > 1;
    if (next != dispatchers_[shard]) {
      MoveShard(aNow, shard, next);
      // Several shards may move to one dispatcher, which needs the suspects once.
      const bool isInformed = !informed.insert(next).second && hasShards;
      if (IsUp(next) && !isInformed) {
        ReportSuspects(aNow, next);
      }
    }
    if (!next.empty()) {
      ConnectTo(next);
    }
    // An open link to the next candidate lets requests go there at once when the dispatcher is
    // lost.
    if (hasShards && available.size() > 1) {
      ConnectTo(available.at(1));
    }
  }
}

void
PermitClient::MoveShard(Instant aNow, const ShardKey& aShard, const std::string& aNext)
{
  const bool hasShards = ShardCountOf(aShard.first) > 1;
  const auto former = std::exchange(dispatchers_[aShard], aNext);
  events_.Record(Event::DispatcherChosen,
                 "service=" + aShard.first +
                   (hasShards ? " shard=" + std::to_string(aShard.second) : std::string()) +
                   " dispatcher=" + (aNext.empty() ? "-" : aNext) +
                   " former=" + (former.empty() ? "-" : former));
  DropRequests(aNow, aShard, former);
  ReportRunning(aNow, aShard);
}

void
PermitClient::DropRequests(Instant aNow, const ShardKey& aShard, const std::string& aFormer)
{
  std::vector<AttemptNumber> lost;
  for (const auto& [number, request] : requests_) {
    if (request.shard_ == aShard) {
      lost.push_back(number);
    }
  }
  const bool isWithdrawn = ShardCountOf(aShard.first) > 1 && IsUp(aFormer);
  const auto link = links_.find(aFormer);
  for (const auto number : lost) {
    requests_.erase(number);
    if (link != links_.end()) {
      link->second.firstAnswers_.OnAbandoned(aNow, number);
    }
    if (isWithdrawn) {
      actions_.Send(aFormer, PermitWithdrawal{ number });
    }
  }
  for (const auto number : lost) {
    listener_->OnPermitRequestLost(aNow, number);
  }
}

std::string
PermitClient::ReachableDispatcher(const ShardKey& aShard) const
{
  const auto dispatcher = dispatchers_.find(aShard);
  return dispatcher != dispatchers_.end() && IsUp(dispatcher->second) ? dispatcher->second
                                                                      : std::string();
}

bool
PermitClient::IsUp(const std::string& aDispatcher) const
{
  const auto link = links_.find(aDispatcher);
  return link != links_.end() && link->second.state_ == LinkState::Up;
}

void
PermitClient::ReportRunning(Instant aNow, const ShardKey& aShard)
{
  for (const auto& [number, send] : running_) {
    if (send.shard_ == aShard) {
      SendToDispatcher(aShard,
                       SendNotice{ number,
                                   aShard.first,
                                   send.server_,
                                   aNow - send.sentAt_,
                                   std::max(Duration(0), Duration(send.deadline_ - aNow)),
                                   send.fingerprint_ });
    }
  }
}

void
PermitClient::ReportSuspects(Instant aNow, const std::string& aDispatcher)
{
  for (const auto& crash : suspects_.Crashes()) {
    actions_.Send(aDispatcher,
                  CrashNotice{ crash.fingerprint_,
                               crash.server_,
                               crash.incarnation_,
                               aNow - crash.sentAt_,
                               aNow - crash.crashedAt_ });
  }
  for (const auto& quarantine : suspects_.Quarantines(aNow)) {
    actions_.Send(aDispatcher, quarantine);
  }
}

void
PermitClient::TrackCrashes(const RunningSend& aSend, const SendEnd& aEnd)
{
  const auto now = aSend.sentAt_ + aEnd.latency_;
  ApplyQuarantines(
    now,
    suspects_.OnSendEnded(now,
                          { aSend.fingerprint_, aSend.server_, aEnd.incarnation_, aSend.sentAt_ },
                          aEnd.result_,
                          aEnd.latency_,
                          aEnd.isConnectionLost_));
}

void
PermitClient::ApplyQuarantines(Instant aNow, const CrashSuspects::Changes& aChanges)
{
  for (const auto& change : aChanges) {
    const bool isLifted = change.remaining_ <= Duration(0);
    events_.Record(isLifted ? Event::QuarantineLifted : Event::RequestQuarantined,
                   "fingerprint=" + FormatFingerprint(change.fingerprint_) +
                     " crashes=" + std::to_string(change.crashes_) +
                     " remaining_us=" + std::to_string(change.remaining_.count()));
    if (!isLifted) {
      listener_->OnQuarantine(aNow, change.fingerprint_);
    }
  }
}

void
PermitClient::ReportCrashToOthers(const RunningSend& aSend, const SendEnd& aEnd)
{
  const auto& service = aSend.shard_.first;
  if (!aEnd.isConnectionLost_ || aSend.fingerprint_ == kNoFingerprint ||
      ShardCountOf(service) == 1) {
    return;
  }
  std::set<std::string> others;
  for (ShardNumber shard = 0; shard < ShardCountOf(service); ++shard) {
    others.insert(ReachableDispatcher({ service, shard }));
  }
  others.erase("");
  others.erase(ReachableDispatcher(aSend.shard_));
  for (const auto& dispatcher : others) {
    actions_.Send(
      dispatcher,
      CrashNotice{
        aSend.fingerprint_, aSend.server_, aEnd.incarnation_, aEnd.latency_, Duration(0) });
  }
}

void
PermitClient::SendToDispatcher(const ShardKey& aShard, const MessageToDispatcher& aMessage)
{
  if (const auto dispatcher = ReachableDispatcher(aShard); !dispatcher.empty()) {
    actions_.Send(dispatcher, aMessage);
  }
}

void
PermitClient::OnLinkUp(Instant aNow, const std::string& aDispatcher)
{
  auto& link = links_[aDispatcher];
  link.state_ = LinkState::Up;
  link.unansweredSince_ = Instant::max();
  link.failedUntil_ = Instant::min();
  for (const auto& [shard, dispatcher] : dispatchers_) {
    if (dispatcher == aDispatcher) {
      ReportRunning(aNow, shard);
    }
  }
  ReportSuspects(aNow, aDispatcher);
}

void
PermitClient::OnLinkDown(Instant aNow, const std::string& aDispatcher)
{
  MarkFailed(aNow, links_[aDispatcher]);
  SelectDispatchers(aNow);
}

void
PermitClient::MarkFailed(Instant aNow, Link& aLink)
{
  aLink.state_ = LinkState::Down;
  aLink.failedUntil_ = aNow + kReconnectDelay;
}

void
PermitClient::OnMessage(Instant aNow,
                        const std::string& aDispatcher,
                        const MessageFromDispatcher& aMessage)
{
  auto& answering = links_[aDispatcher];
  answering.unansweredSince_ = Instant::max();
  if (const auto* permit = std::get_if<Permit>(&aMessage)) {
    answering.firstAnswers_.OnAnswered(aNow, permit->number_);
    const auto request = requests_.find(permit->number_);
    if (request == requests_.end()) {
      // The permit request has been withdrawn meanwhile.
      actions_.Send(aDispatcher, CancelledSend(permit->number_));
      return;
    }
    running_[permit->number_] = { request->second.shard_,
                                  permit->server_,
                                  aNow,
                                  request->second.deadline_,
                                  request->second.fingerprint_ };
    requests_.erase(request);
    listener_->OnPermit(aNow, permit->number_, permit->server_);
  } else if (const auto* delay = std::get_if<PermitDelay>(&aMessage)) {
    answering.firstAnswers_.OnAnswered(aNow, delay->number_);
    if (requests_.contains(delay->number_)) {
      listener_->OnPermitDelayed(aNow, delay->number_);
    }
  } else if (const auto* denial = std::get_if<PermitDenial>(&aMessage)) {
    answering.firstAnswers_.OnAnswered(aNow, denial->number_);
    if (requests_.erase(denial->number_) > 0) {
      listener_->OnPermitDenied(aNow, denial->number_, denial->wait_, denial->isPromised_);
    }
  } else if (const auto* quarantine = std::get_if<Quarantine>(&aMessage)) {
    ApplyQuarantines(aNow, suspects_.OnQuarantine(aNow, *quarantine));
  } else if (const auto* resignation = std::get_if<DispatcherResignation>(&aMessage)) {
    answering.resignedUntil_ = aNow + resignation->time_;
    SelectDispatchers(aNow);
  }
}

void
PermitClient::Complain(Instant aNow, const std::string& aDispatcher, Link& aLink)
{
  if (aNow < aLink.nextComplaint_ || aNow < aLink.resignedUntil_ ||
      !aLink.firstAnswers_.IsSlow(aNow)) {
    return;
  }
  aLink.nextComplaint_ = aNow + kComplaintInterval;
  events_.Record(Event::DispatcherSlow, "dispatcher=" + aDispatcher);
  actions_.Send(aDispatcher, DispatcherComplaint{});
}

void
PermitClient::OnTime(Instant aNow)
{
  for (auto& [address, link] : links_) {
    if (usesLoadManagement_ && link.state_ == LinkState::Up) {
      Complain(aNow, address, link);
    }
    if (link.state_ != LinkState::Up || link.unansweredSince_ == Instant::max()) {
      continue;
    }
    if (aNow - link.unansweredSince_ > kAnswerTimeout) {
      events_.Record(Event::DispatcherSilent, "dispatcher=" + address);
      actions_.Disconnect(address);
      MarkFailed(aNow, link);
    } else if (aNow >= link.nextProbe_) {
      link.nextProbe_ = aNow + kProbeInterval;
      actions_.Send(address, DispatcherProbe{});
    }
  }
  SelectDispatchers(aNow);
}

bool
PermitClient::CanRequestPermit(const std::string& aService, const std::string& aServer) const
{
  const auto dispatcher = ReachableDispatcher(ShardOf(aService, aServer));
  return !dispatcher.empty() && links_.at(dispatcher).unansweredSince_ == Instant::max();
}

void
PermitClient::RequestPermit(Instant aNow, const PermitRequest& aRequest)
{
  const auto shard = ShardOf(aRequest.service_, aRequest.server_);
  requests_[aRequest.number_] = {
    shard, aRequest.server_, aNow + aRequest.timeLeft_, aRequest.fingerprint_
  };
  if (const auto dispatcher = ReachableDispatcher(shard);
      usesLoadManagement_ && !dispatcher.empty()) {
    links_.at(dispatcher).firstAnswers_.OnRequested(aNow, aRequest.number_, aRequest.timeLeft_);
  }
  SendToDispatcher(shard, aRequest);
}

void
PermitClient::Withdraw(AttemptNumber aNumber)
{
  if (const auto request = requests_.find(aNumber); request != requests_.end()) {
    SendToDispatcher(request->second.shard_, PermitWithdrawal{ aNumber });
    requests_.erase(request);
  }
}

void
PermitClient::OnPermitTimeout(Instant aNow, const std::string& aService, const std::string& aServer)
{
  if (const auto dispatcher = ReachableDispatcher(ShardOf(aService, aServer));
      !dispatcher.empty()) {
    auto& link = links_.at(dispatcher);
    link.unansweredSince_ = std::min(link.unansweredSince_, aNow);
  }
}

void
PermitClient::ReportSend(Instant aNow, const SendNotice& aNotice)
{
  const auto shard = ShardOf(aNotice.service_, aNotice.server_);
  running_[aNotice.number_] = {
    shard, aNotice.server_, aNow, aNow + aNotice.timeLeft_, aNotice.fingerprint_
  };
  SendToDispatcher(shard, aNotice);
}

void
PermitClient::ReportSendEnd(const SendEnd& aEnd)
{
  if (const auto send = running_.find(aEnd.number_); send != running_.end()) {
    const auto ended = std::move(send->second);
    running_.erase(send);
    SendToDispatcher(ended.shard_, aEnd);
    ReportCrashToOthers(ended, aEnd);
    TrackCrashes(ended, aEnd);
  }
}

} // namespace latchslip
