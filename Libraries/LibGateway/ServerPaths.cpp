#include "LibGateway/ServerPaths.h"

namespace latchslip {

ServerPaths::ServerPaths(std::string aHall, std::uint32_t aSeed, EventSink& aEvents)
  : events_(aEvents)
  , relays_(std::move(aHall), aSeed)
{
}

void
ServerPaths::SetPeers(std::map<std::string, RelayPeer> aPeers)
{
  hasPeers_ = !aPeers.empty();
  direct_.SetHasRelays(hasPeers_);
  relays_.SetPeers(std::move(aPeers));
}

std::optional<std::string>
ServerPaths::Choose(Instant aNow,
                    const std::string& aServer,
                    const std::vector<std::string>& aTried)
{
  if (aTried.empty() && (direct_.IsUsable(aNow, aServer) || IsGone(aNow, aServer))) {
    return std::string();
  }
  // The links of the whole hall may be cut: an instance of another one decides sooner.
  return relays_.Choose(aNow, aTried, direct_.IsUndecided());
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
    OnRelayEnded(aNow, aServer, aRelay, aResult);
    return;
  }
  switch (aResult) {
    case PathResult::Reached:
      direct_.OnReached(aNow, aServer);
      break;
    case PathResult::Unreachable:
      direct_.OnUnreachable(aNow, aServer);
      break;
    case PathResult::NoAnswer:
      direct_.OnNoAnswer(aNow, aServer);
      break;
    default:
      break;
  }
  RecordCutOff();
}

void
ServerPaths::OnRelayEnded(Instant aNow,
                          const std::string& aServer,
                          const std::string& aRelay,
                          PathResult aResult)
{
  const bool isRelayed =
    aResult != PathResult::NotTried && aResult != PathResult::UnreachableInDoubt;
  relays_.OnEnded(aNow, aRelay, isRelayed);
  if (aResult == PathResult::Reached) {
    direct_.OnRelayReached(aNow, aServer);
  } else if (aResult == PathResult::Unreachable) {
    direct_.OnGone(aServer);
  }
  RecordCutOff();
}

void
ServerPaths::OnUnreachableAndAsked(Instant aNow, const std::string& aServer)
{
  direct_.OnUnreachableAndAsked(aNow, aServer);
  RecordCutOff();
}

void
ServerPaths::OnNoneCouldSay(Instant aNow, const std::string& aServer)
{
  direct_.OnNoneCouldSay(aNow, aServer);
  RecordCutOff();
}

PathResult
ServerPaths::OnEndedForAnother(Instant aNow, const std::string& aServer, PathResult aResult)
{
  if (aResult != PathResult::Unreachable) {
    OnEnded(aNow, aServer, "", aResult);
    return aResult;
  }
  OnUnreachableAndAsked(aNow, aServer);
  return IsInDoubt(aServer) ? PathResult::UnreachableInDoubt : aResult;
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

} // namespace latchslip
