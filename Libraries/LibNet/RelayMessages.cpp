#include "LibNet/RelayMessages.h"

namespace latchslip {

PathResult
PathResultOf(const HttpExchange& aExchange)
{
  switch (aExchange.end_) {
    case ExchangeEnd::Complete:
      return PathResult::Reached;
    case ExchangeEnd::NotSent:
      if (aExchange.isSessionEnded_) {
        return PathResult::Unknown;
      }
      return aExchange.isLocal_ ? PathResult::NotTried : PathResult::Unreachable;
    case ExchangeEnd::Broken:
      break;
  }
  if (aExchange.isLinkLost_) {
    return PathResult::Unreachable;
  }
  return aExchange.isConnectionLost_ ? PathResult::NoAnswer : PathResult::Unknown;
}

} // namespace latchslip
