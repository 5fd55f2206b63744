#pragma once

#include "LibNet/RelayMessages.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace latchslip {

// Path of the calls by which instances ask each other to relay.
inline constexpr std::string_view kRelayPath = "/v1/relay";

// Sends exchanges with servers through other instances.
class RelayClient
{
public:
  // aPath says what the exchange tells about the path; Unknown if nothing beyond it.
  using Callback = std::function<void(HttpExchange aExchange, PathResult aPath)>;

  explicit RelayClient(boost::asio::io_context& aContext);

  // Asks the instance at aPeer to perform the exchange. If that instance declines or is lost, the
  // exchange ends as NotTried. A command does not begin after its timeout, however long the
  // messages take.
  ExchangeId Send(const std::string& aPeer, RelayRequest aRequest, const Callback& aCallback);
  // Cancels the exchange without calling its callback; the other instance then cancels its part.
  void Cancel(ExchangeId aId);
  void PruneIdle() { links_->PruneIdle(); }

private:
  // Sends with a bound on its time, if the clock of the instance is known.
  void SendNow(ExchangeId aId,
               const std::string& aPeer,
               RelayRequest aRequest,
               const Callback& aCallback);
  // Learns the clock of an instance by a request to relay nothing, and then sends the command.
  void LearnClock(ExchangeId aId,
                  const std::string& aPeer,
                  const RelayRequest& aRequest,
                  const Callback& aCallback);
  void OnEnded(ExchangeId aId,
               const std::string& aPeer,
               const HttpExchange& aExchange,
               const Callback& aCallback);
  // Reads the answer of an instance and the clock that it tells. No value if it has not answered.
  std::optional<RelayAnswer> ReadAnswer(const std::string& aPeer, const HttpExchange& aExchange);

  std::unique_ptr<HttpClient> links_;
  // The exchange of the HTTP client by that of the caller.
  std::map<ExchangeId, ExchangeId> running_;
  // How far the clocks of the other instances are at least ahead of the own one.
  std::map<std::string, Duration> clockOffsets_;
  ExchangeId lastId_ = 0;
};

} // namespace latchslip
