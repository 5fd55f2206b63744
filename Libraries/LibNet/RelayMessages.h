#pragma once

#include "LibGateway/ServerPaths.h"
#include "LibNet/Http.h"
#include "LibNet/HttpClient.h"

#include <string>

namespace latchslip {

// See ExchangeOptions::ackTimeout_, for connections to servers. A packet and two repetitions of it
// have their chance until then.
inline constexpr Duration kServerAckTimeout = milliseconds(700);

// Maximum size of the body of a response to a command, which is short.
inline constexpr std::size_t kMaxCommandResponseBytes = 64UL * 1024;

// Asks another instance to perform an exchange with a server.
struct RelayRequest
{
  // Id of the server, which the relaying instance must list at aAddress.
  std::string server_;
  std::string address_;
  // A command about keys; otherwise an attempt of a client's request.
  bool isCommand_ = false;
  // Time on the relaying instance's clock after which the exchange must not begin; no bound if
  // Instant::max().
  Instant expiresAt_ = Instant::max();
  ExchangeOptions options_;
  HttpRequest request_;
};

// How a relayed exchange ended.
struct RelayAnswer
{
  // Clock of the relaying instance.
  Instant clock_{ 0 };
  // Unknown if path_ adds nothing to the exchange.
  PathResult path_ = PathResult::Unknown;
  HttpExchange exchange_;
};

// What a direct exchange with a server says about the path to it.
PathResult
PathResultOf(const HttpExchange& aExchange);

} // namespace latchslip
