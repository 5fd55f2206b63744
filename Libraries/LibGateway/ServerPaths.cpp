#include "LibGateway/ServerPaths.h"

namespace latchslip {

namespace {

// Maximum number of instances that are asked to relay one send.
constexpr std::size_t kMaxRelays = 4;
// This many instances that could not reach a server prove that it is unreachable, even if each of
// them may be cut off.
constexpr unsigned kDoubtfulToProve = 2;

} // namespace

ServerPaths::ServerPaths(std::string aHall, std::uint32_t aSeed, EventSink& aEvents)
  : events_(aEvents)
  , relays_(std::move(aHall), aSeed)
{
}

void
ServerPaths::SetPeers(std::map<std::string, RelayPeer> aPeers)
{
  hasPeers_ = !aPeers.empty();
  relays_.SetPeers(std::move(aPeers));
}

std::optional<std::string>
ServerPaths::Choose(Instant aNow,
                    const std::string& aServer,
                    const std::vector<std::string>& aTried)
{
  if (aTried.empty() && direct_.IsUsable(aNow, aServer)) {
    return std::string();
  }
  return relays_.Choose(aNow, aTried);
}

void
ServerPaths::OnSent(const std::string& aRelay)
{
  relays_.OnSent(aRelay);
}

void
ServerPaths::OnEnded(Instant aNow,
                     const std::string& aServer,
                     const std::string& aRelay,
                     PathResult aResult)
{
  if (!aRelay.empty()) {
    const bool isRelayed =
      aResult != PathResult::NotTried && aResult != PathResult::UnreachableInDoubt;
    relays_.OnEnded(aNow, aRelay, isRelayed);
    return;
  }
  switch (aResult) {
    case PathResult::Reached:
      direct_.OnReached(aServer);
      break;
    case PathResult::Unreachable:
      direct_.OnUnreachable(aNow, aServer);
      break;
    case PathResult::NoAnswer:
      direct_.OnNoAnswer(aServer);
      break;
    default:
      break;
  }
  RecordCutOff();
}

void
ServerPaths::OnProbeEnded(Instant, bool aIsConnected)
{
  if (aIsConnected) {
    direct_.OnProbeSucceeded();
    RecordCutOff();
  }
}

void
ServerPaths::KeepServers(const std::function<bool(const std::string&)>& aIsListed)
{
  direct_.KeepServers(aIsListed);
  RecordCutOff();
}

bool
ServerPaths::HasPath(Instant aNow) const
{
  return !hasPeers_ || !IsCutOff() || relays_.HasChoice(aNow);
}

void
ServerPaths::RecordCutOff()
{
  if (IsCutOff() != wasCutOff_) {
    wasCutOff_ = IsCutOff();
    events_.Record(wasCutOff_ ? Event::ServerLinksCut : Event::ServerLinksRestored, "");
  }
}

void
PathSearch::Begin(Instant aNow, ServerPaths& aPaths, const std::string& aServer)
{
  tried_.clear();
  doubtful_ = 0;
  isServerUnreachable_ = false;
  // Without any path the direct one is as good as none.
  relay_ = aPaths.Choose(aNow, aServer, tried_).value_or("");
  aPaths.OnSent(relay_);
}

bool
PathSearch::TryNext(Instant aNow,
                    ServerPaths& aPaths,
                    const std::string& aServer,
                    PathResult aResult,
                    bool aIsUnsent)
{
  End(aNow, aPaths, aServer, aResult);
  if (!aIsUnsent) {
    return false;
  }
  doubtful_ += aResult == PathResult::UnreachableInDoubt ? 1 : 0;
  const bool isConfirmed = !relay_.empty() && aResult == PathResult::Unreachable;
  isServerUnreachable_ = isConfirmed || doubtful_ >= kDoubtfulToProve;
  if (!relay_.empty()) {
    tried_.push_back(relay_);
  }
  if (isServerUnreachable_ || tried_.size() >= kMaxRelays) {
    return false;
  }
  const auto next = aPaths.Choose(aNow, aServer, tried_);
  if (!next || next->empty()) {
    return false;
  }
  relay_ = *next;
  aPaths.OnSent(relay_);
  return true;
}

} // namespace latchslip
