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
  if (aExchange.excess_ != ResponseExcess::None) {
    ++excesses_.at(static_cast<std::size_t>(aExchange.excess_));
    events_.Record(Event::ResponseOutOfBounds,
                   Describe(aServer, aRequest, aExchange) +
                     " excess=" + std::string(kResponseExcessNames.NameOf(aExchange.excess_)) +
                     " bytes=" + std::to_string(aExchange.receivedBytes_) +
                     " age_us=" + std::to_string(aExchange.age_.count()));
  }
}

} // namespace latchslip
