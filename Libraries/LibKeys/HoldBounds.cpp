#include "LibKeys/HoldBounds.h"

#include <algorithm>

namespace latchslip {

void
HoldBounds::Start(std::map<std::string, Instant> aDoubts)
{
  own_.clear();
  former_.clear();
  doubts_ = std::move(aDoubts);
}

void
HoldBounds::Extend(const std::string& aServer, Instant aUntil)
{
  auto& until = own_.try_emplace(aServer, Instant::min()).first->second;
  until = std::max(until, aUntil);
}

void
HoldBounds::SetFormer(const std::string& aServer, Instant aUntil)
{
  former_[aServer] = aUntil;
}

void
HoldBounds::LimitFormer(Instant aLatest)
{
  for (auto& [server, until] : former_) {
    until = std::min(until, aLatest);
  }
}

void
HoldBounds::ForgetFormer(const std::string& aServer)
{
  former_.erase(aServer);
  doubts_.erase(aServer);
}

Instant
HoldBounds::Of(const std::string& aServer) const
{
  auto until = Instant::min();
  for (const auto* bounds : { &own_, &former_, &doubts_ }) {
    if (const auto bound = bounds->find(aServer); bound != bounds->end()) {
      until = std::max(until, bound->second);
    }
  }
  return until;
}

} // namespace latchslip
