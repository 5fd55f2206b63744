#include "LibInstance/Messages.h"

namespace latchslip {

WorkAnswer
MakeNotRun(Reason aReason, Duration aRetryAfter)
{
  WorkAnswer answer;
  answer.outcome_ = RequestOutcome::NotRun;
  answer.reason_ = aReason;
  answer.retryAfter_ = aRetryAfter;
  return answer;
}

WorkAnswer
MakeUnknown(Reason aReason)
{
  WorkAnswer answer;
  answer.outcome_ = RequestOutcome::Unknown;
  answer.reason_ = aReason;
  return answer;
}

} // namespace latchslip
