#include "LibPermit/PermitClient.h"

#include <algorithm>

namespace latchslip {

namespace {

// A dispatcher that does not answer for this long is failed over: several times as long as a busy,
// weak instance takes to read its messages.
constexpr Duration kAnswerTimeout = milliseconds(400);
// Delay before a dispatcher whose link has failed is connected to again.
constexpr Duration kReconnectDelay = seconds(1);
// Interval between probes of a dispatcher that does not answer.
constexpr Duration kProbeInterval = milliseconds(50);

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
PermitClient::UpdateCandidates(Instant aNow)
{
  assignment_.Assign(peers_, services_);
  SelectDispatchers(aNow);
}

std::string
PermitClient::FirstCandidate(Instant aNow, const std::string& aService) const
{
  for (const auto& address : assignment_.CandidatesFor(aService)) {
    const auto link = links_.find(address);
    if (link == links_.end() || aNow >= link->second.failedUntil_) {
      return address;
    }
  }
  return {};
}

void
PermitClient::SelectDispatchers(Instant aNow)
{
  std::erase_if(dispatchers_, [&](const auto& aEntry) {
    return std::find(services_.begin(), services_.end(), aEntry.first) == services_.end();
  });
  for (const auto& service : services_) {
    const auto next = FirstCandidate(aNow, service);
    auto& current = dispatchers_[service];
    if (next != current) {
      events_.Record(Event::DispatcherChosen,
                     "service=" + service + " dispatcher=" + (next.empty() ? "-" : next) +
                       " former=" + (current.empty() ? "-" : current));
      current = next;
      DropRequests(aNow, service);
      if (IsUp(next)) {
        ReportRunning(aNow, service);
        ReportSuspects(aNow, next);
      }
    }
    if (next.empty()) {
      continue;
    }
    if (auto& link = links_[next]; link.state_ == LinkState::Down) {
      link.state_ = LinkState::Connecting;
      actions_.Connect(next);
    }
  }
}

void
PermitClient::DropRequests(Instant aNow, const std::string& aService)
{
  std::vector<AttemptNumber> lost;
  for (const auto& [number, request] : requests_) {
    if (request.service_ == aService) {
      lost.push_back(number);
    }
  }
  for (const auto number : lost) {
    requests_.erase(number);
  }
  for (const auto number : lost) {
    listener_->OnPermitRequestLost(aNow, number);
  }
}

bool
PermitClient::IsUp(const std::string& aDispatcher) const
{
  const auto link = links_.find(aDispatcher);
  return link != links_.end() && link->second.state_ == LinkState::Up;
}

void
PermitClient::ReportRunning(Instant aNow, const std::string& aService)
{
  for (const auto& [number, send] : running_) {
    if (send.service_ == aService) {
      SendToDispatcher(aService,
                       SendNotice{ number,
                                   send.service_,
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
PermitClient::SendToDispatcher(const std::string& aService, const MessageToDispatcher& aMessage)
{
  const auto dispatcher = dispatchers_.find(aService);
  if (dispatcher != dispatchers_.end() && IsUp(dispatcher->second)) {
    actions_.Send(dispatcher->second, aMessage);
  }
}

void
PermitClient::OnLinkUp(Instant aNow, const std::string& aDispatcher)
{
  auto& link = links_[aDispatcher];
  link.state_ = LinkState::Up;
  link.unansweredSince_ = Instant::max();
  link.failedUntil_ = Instant::min();
  for (const auto& [service, dispatcher] : dispatchers_) {
    if (dispatcher == aDispatcher) {
      ReportRunning(aNow, service);
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
  links_[aDispatcher].unansweredSince_ = Instant::max();
  if (const auto* permit = std::get_if<Permit>(&aMessage)) {
    const auto request = requests_.find(permit->number_);
    if (request == requests_.end()) {
      // The permit request has been withdrawn meanwhile.
      actions_.Send(aDispatcher, CancelledSend(permit->number_));
      return;
    }
    running_[permit->number_] = { request->second.service_,
                                  permit->server_,
                                  aNow,
                                  request->second.deadline_,
                                  request->second.fingerprint_ };
    requests_.erase(request);
    listener_->OnPermit(aNow, permit->number_, permit->server_);
  } else if (const auto* delay = std::get_if<PermitDelay>(&aMessage)) {
    if (requests_.contains(delay->number_)) {
      listener_->OnPermitDelayed(aNow, delay->number_);
    }
  } else if (const auto* denial = std::get_if<PermitDenial>(&aMessage)) {
    if (requests_.erase(denial->number_) > 0) {
      listener_->OnPermitDenied(aNow, denial->number_, denial->wait_, denial->isPromised_);
    }
  } else if (const auto* quarantine = std::get_if<Quarantine>(&aMessage)) {
    ApplyQuarantines(aNow, suspects_.OnQuarantine(aNow, *quarantine));
  }
}

void
PermitClient::OnTime(Instant aNow)
{
  for (auto& [address, link] : links_) {
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
PermitClient::CanRequestPermit(const std::string& aService) const
{
  const auto dispatcher = dispatchers_.find(aService);
  return dispatcher != dispatchers_.end() && IsUp(dispatcher->second) &&
         links_.at(dispatcher->second).unansweredSince_ == Instant::max();
}

void
PermitClient::RequestPermit(Instant aNow, const PermitRequest& aRequest)
{
  requests_[aRequest.number_] = { aRequest.service_,
                                  aNow + aRequest.timeLeft_,
                                  aRequest.fingerprint_ };
  SendToDispatcher(aRequest.service_, aRequest);
}

void
PermitClient::Withdraw(AttemptNumber aNumber)
{
  if (const auto request = requests_.find(aNumber); request != requests_.end()) {
    SendToDispatcher(request->second.service_, PermitWithdrawal{ aNumber });
    requests_.erase(request);
  }
}

void
PermitClient::OnPermitTimeout(Instant aNow, const std::string& aService)
{
  const auto dispatcher = dispatchers_.find(aService);
  if (dispatcher != dispatchers_.end() && IsUp(dispatcher->second)) {
    auto& link = links_.at(dispatcher->second);
    link.unansweredSince_ = std::min(link.unansweredSince_, aNow);
  }
}

void
PermitClient::ReportSend(Instant aNow, const SendNotice& aNotice)
{
  running_[aNotice.number_] = {
    aNotice.service_, aNotice.server_, aNow, aNow + aNotice.timeLeft_, aNotice.fingerprint_
  };
  SendToDispatcher(aNotice.service_, aNotice);
}

void
PermitClient::ReportSendEnd(const SendEnd& aEnd)
{
  if (const auto send = running_.find(aEnd.number_); send != running_.end()) {
    const auto ended = std::move(send->second);
    running_.erase(send);
    SendToDispatcher(ended.service_, aEnd);
    TrackCrashes(ended, aEnd);
  }
}

} // namespace latchslip
