#include "LibPermit/PermitClient.h"

#include <algorithm>

namespace latchslip {

namespace {

// A dispatcher that is silent for so long is passed over: several times as long as a busy
// weak instance takes to read what came for it.
constexpr Duration kSilence = milliseconds(400);
// A dispatcher whose link broke is dialled again after this time.
constexpr Duration kFailedPause = seconds(1);
// Between two questions to a silent one.
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
    Assign(aNow);
  }
}

void
PermitClient::SetServices(Instant aNow, std::vector<std::string> aServices)
{
  if (services_ != aServices) {
    services_ = std::move(aServices);
    Assign(aNow);
  }
}

void
PermitClient::Assign(Instant aNow)
{
  ring_.Assign(peers_, services_);
  Choose(aNow);
}

std::string
PermitClient::FirstOf(Instant aNow, const std::string& aService) const
{
  for (const auto& address : ring_.CandidatesOf(aService)) {
    const auto link = links_.find(address);
    if (link == links_.end() || aNow >= link->second.failedUntil_) {
      return address;
    }
  }
  return {};
}

void
PermitClient::Choose(Instant aNow)
{
  std::erase_if(dispatchers_, [&](const auto& aEntry) {
    return std::find(services_.begin(), services_.end(), aEntry.first) == services_.end();
  });
  for (const auto& service : services_) {
    const auto next = FirstOf(aNow, service);
    auto& current = dispatchers_[service];
    if (next != current) {
      events_.Record(Event::DispatcherChosen,
                     "service=" + service + " dispatcher=" + (next.empty() ? "-" : next) +
                       " former=" + (current.empty() ? "-" : current));
      current = next;
      LoseAsks(aNow, service);
      if (IsUp(next)) {
        TellRunning(aNow, service);
      }
    }
    if (next.empty()) {
      continue;
    }
    if (auto& link = links_[next]; link.state_ == LinkState::Down) {
      link.state_ = LinkState::Dialled;
      actions_.Dial(next);
    }
  }
}

void
PermitClient::LoseAsks(Instant aNow, const std::string& aService)
{
  std::vector<AttemptNumber> lost;
  for (const auto& [number, ask] : asks_) {
    if (ask.service_ == aService) {
      lost.push_back(number);
    }
  }
  for (const auto number : lost) {
    asks_.erase(number);
  }
  for (const auto number : lost) {
    listener_->OnAskLost(aNow, number);
  }
}

bool
PermitClient::IsUp(const std::string& aDispatcher) const
{
  const auto link = links_.find(aDispatcher);
  return link != links_.end() && link->second.state_ == LinkState::Up;
}

void
PermitClient::TellRunning(Instant aNow, const std::string& aService)
{
  for (const auto& [number, send] : running_) {
    if (send.service_ == aService) {
      TellDispatcherOf(aService,
                       SendNotice{ number,
                                   send.service_,
                                   send.server_,
                                   aNow - send.sentAt_,
                                   std::max(Duration(0), Duration(send.deadline_ - aNow)) });
    }
  }
}

void
PermitClient::TellDispatcherOf(const std::string& aService, const MessageToDispatcher& aMessage)
{
  const auto dispatcher = dispatchers_.find(aService);
  if (dispatcher != dispatchers_.end() && IsUp(dispatcher->second)) {
    actions_.Tell(dispatcher->second, aMessage);
  }
}

void
PermitClient::OnLinkUp(Instant aNow, const std::string& aDispatcher)
{
  auto& link = links_[aDispatcher];
  link.state_ = LinkState::Up;
  link.silentSince_ = Instant::max();
  link.failedUntil_ = Instant::min();
  for (const auto& [service, dispatcher] : dispatchers_) {
    if (dispatcher == aDispatcher) {
      TellRunning(aNow, service);
    }
  }
}

void
PermitClient::OnLinkDown(Instant aNow, const std::string& aDispatcher)
{
  Fail(aNow, links_[aDispatcher]);
  Choose(aNow);
}

void
PermitClient::Fail(Instant aNow, Link& aLink)
{
  aLink.state_ = LinkState::Down;
  aLink.failedUntil_ = aNow + kFailedPause;
}

void
PermitClient::OnMessage(Instant aNow,
                        const std::string& aDispatcher,
                        const MessageFromDispatcher& aMessage)
{
  links_[aDispatcher].silentSince_ = Instant::max();
  if (const auto* permit = std::get_if<Permit>(&aMessage)) {
    const auto ask = asks_.find(permit->number_);
    if (ask == asks_.end()) {
      // It was withdrawn meanwhile.
      actions_.Tell(aDispatcher, CancelledSend(permit->number_));
      return;
    }
    running_[permit->number_] = {
      ask->second.service_, permit->server_, aNow, ask->second.deadline_
    };
    asks_.erase(ask);
    listener_->OnPermit(aNow, permit->number_, permit->server_);
  } else if (const auto* delay = std::get_if<PermitDelay>(&aMessage)) {
    if (asks_.contains(delay->number_)) {
      listener_->OnPermitDelayed(aNow, delay->number_);
    }
  } else if (const auto* denial = std::get_if<PermitDenial>(&aMessage)) {
    if (asks_.erase(denial->number_) > 0) {
      listener_->OnPermitDenied(aNow, denial->number_, denial->wait_);
    }
  }
}

void
PermitClient::OnTime(Instant aNow)
{
  for (auto& [address, link] : links_) {
    if (link.state_ != LinkState::Up || link.silentSince_ == Instant::max()) {
      continue;
    }
    if (aNow - link.silentSince_ > kSilence) {
      events_.Record(Event::DispatcherSilent, "dispatcher=" + address);
      actions_.HangUp(address);
      Fail(aNow, link);
    } else if (aNow >= link.nextProbe_) {
      link.nextProbe_ = aNow + kProbeInterval;
      actions_.Tell(address, DispatcherProbe{});
    }
  }
  Choose(aNow);
}

bool
PermitClient::CanAsk(const std::string& aService) const
{
  const auto dispatcher = dispatchers_.find(aService);
  return dispatcher != dispatchers_.end() && IsUp(dispatcher->second) &&
         links_.at(dispatcher->second).silentSince_ == Instant::max();
}

void
PermitClient::RequestPermit(Instant aNow, const PermitAsk& aAsk)
{
  asks_[aAsk.number_] = { aAsk.service_, aNow + aAsk.timeLeft_ };
  TellDispatcherOf(aAsk.service_, aAsk);
}

void
PermitClient::Withdraw(AttemptNumber aNumber)
{
  if (const auto ask = asks_.find(aNumber); ask != asks_.end()) {
    TellDispatcherOf(ask->second.service_, PermitWithdrawal{ aNumber });
    asks_.erase(ask);
  }
}

void
PermitClient::OnPermitTimeout(Instant aNow, const std::string& aService)
{
  const auto dispatcher = dispatchers_.find(aService);
  if (dispatcher != dispatchers_.end() && IsUp(dispatcher->second)) {
    auto& link = links_.at(dispatcher->second);
    link.silentSince_ = std::min(link.silentSince_, aNow);
  }
}

void
PermitClient::TellSend(Instant aNow, const SendNotice& aNotice)
{
  running_[aNotice.number_] = { aNotice.service_, aNotice.server_, aNow, aNow + aNotice.timeLeft_ };
  TellDispatcherOf(aNotice.service_, aNotice);
}

void
PermitClient::TellEnd(const SendEnd& aEnd)
{
  if (const auto send = running_.find(aEnd.number_); send != running_.end()) {
    TellDispatcherOf(send->second.service_, aEnd);
    running_.erase(send);
  }
}

} // namespace latchslip
