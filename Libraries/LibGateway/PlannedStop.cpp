// The end of a planned stop in GatewayRouter.

#include "LibGateway/GatewayRouter.h"

namespace latchslip {

void
GatewayRouter::EndBy(Instant aNow, Instant aEnd)
{
  if (aEnd == endsBy_) {
    return;
  }
  endsBy_ = aEnd;
  std::vector<RequestNumber> waiting;
  for (const auto& [number, pending] : pending_) {
    if (pending.attempt_ == 0 && MayOutlastStop(pending)) {
      waiting.push_back(number);
    }
  }
  for (const auto number : waiting) {
    auto& pending = pending_.at(number);
    pending.blockReason_ = RefusalReason::Stopping;
    RefuseWaiting(aNow, pending);
  }
}

bool
GatewayRouter::MayOutlastStop(const PendingRequest& aPending) const
{
  return aPending.deadline_ + kAnswerGrace > endsBy_;
}

} // namespace latchslip
