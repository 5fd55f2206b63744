#include "LibGateway/PathSearch.h"

namespace latchslip {

namespace {

// Maximum number of instances that are asked to relay one send.
constexpr std::size_t kMaxRelays = 4;
// This many instances that could not reach a server prove that it is unreachable, even if each of
// them may be cut off.
constexpr unsigned kDoubtfulToProve = 2;

// Whether a search that ends so has found out nothing about the server, which this instance could
// not reach.
bool
IsWithoutVerdict(const std::string& aRelay, PathResult aResult)
{
  return aResult == PathResult::NotTried || aResult == PathResult::UnreachableInDoubt ||
         (aRelay.empty() && aResult == PathResult::Unreachable);
}

} // namespace

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
  const bool mayAsk = relay_.empty() && aIsUnsent && aResult == PathResult::Unreachable;
  const bool isGone = mayAsk && aPaths.IsGone(aNow, aServer);
  if (mayAsk) {
    aPaths.OnUnreachableAndAsked(aNow, aServer);
  } else {
    End(aNow, aPaths, aServer, aResult);
  }
  if (isGone) {
    isServerUnreachable_ = true;
    return false;
  }
  if (aIsUnsent && TakeNext(aNow, aPaths, aServer, aResult)) {
    return true;
  }
  if (IsWithoutVerdict(relay_, aResult)) {
    aPaths.OnNoneCouldSay(aNow, aServer);
  }
  return false;
}

bool
PathSearch::TakeNext(Instant aNow,
                     ServerPaths& aPaths,
                     const std::string& aServer,
                     PathResult aResult)
{
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
