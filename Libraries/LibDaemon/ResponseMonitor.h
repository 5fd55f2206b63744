#pragma once

#include "LibBase/Event.h"
#include "LibNet/HttpClient.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace latchslip {

// Logs and counts what servers send beyond the responses to the requests that they were sent.
class ResponseMonitor
{
public:
  // Number of exchanges by the bound that their response exceeded.
  using ExcessCounts = std::array<std::uint64_t, kResponseExcessNames.names_.size()>;

  explicit ResponseMonitor(EventSink& aEvents)
    : events_(aEvents)
  {
  }

  // Call for each exchange with a server that this instance has performed itself. aRequest is the
  // id of the request; empty if it has none.
  void OnExchangeEnded(std::string_view aServer,
                       std::string_view aRequest,
                       const HttpExchange& aExchange);

  // Number of responses to other requests that were skipped.
  std::uint64_t OtherResponses() const { return otherResponses_; }
  const ExcessCounts& Excesses() const { return excesses_; }

private:
  EventSink& events_;
  std::uint64_t otherResponses_ = 0;
  ExcessCounts excesses_{};
};

} // namespace latchslip
