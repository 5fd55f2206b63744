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
  RefuseAllWaiting(aNow, RefusalReason::Stopping, [this](const PendingRequest& aPending) {
    return MayOutlastStop(aPending);
  });
}

bool
GatewayRouter::MayOutlastStop(const PendingRequest& aPending) const
{
  return aPending.deadline_ + kAnswerGrace > endsBy_;
}

} // namespace latchslip
