#include "LibDaemon/ResponseMonitor.h"

#include <string>

namespace latchslip {

namespace {

std::string
Describe(std::string_view aServer, std::string_view aRequest, const HttpExchange& aExchange)
{
  return "server=" + std::string(aServer) +
         " request=" + (aRequest.empty() ? "-" : std::string(aRequest)) +
         " connection=" + std::to_string(aExchange.connection_);
}

} // namespace

void
ResponseMonitor::OnExchangeEnded(std::string_view aServer,
                                 std::string_view aRequest,
                                 const HttpExchange& aExchange)
{
  if (aExchange.otherResponses_ > 0) {
    otherResponses_ += aExchange.otherResponses_;
    events_.Record(Event::OtherResponsesSkipped,
                   Describe(aServer, aRequest, aExchange) +
                     " count=" + std::to_string(aExchange.otherResponses_));
  }
}

} // namespace latchslip
