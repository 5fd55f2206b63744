#pragma once

#include "LibGateway/Messages.h"
#include "LibKeys/OwnershipPlacer.h"
#include "LibNet/Http.h"
#include "LibNet/HttpClient.h"

#include <string>

namespace latchslip {

// Converts between the gateway's own request, attempt and command types and the HTTP messages
// of one platform. Each platform has its own implementation; GatewayFrontend and GatewayHost
// call it.
class GatewayCodec
{
public:
  virtual ~GatewayCodec() = default;

  // Extracts what routing needs from a client's request: service, key, deadline, group.
  virtual RoutedRequest DecodeRequest(RequestNumber aNumber, const HttpRequest& aRequest) const = 0;
  // Builds the request that is sent to the backend server for one attempt.
  virtual HttpRequest EncodeAttempt(const HttpRequest& aRequest,
                                    const AttemptCommand& aCommand) const = 0;
  // Classifies how an attempt ended, from the server's response or the lack of one.
  virtual AttemptOutcome DecodeAttempt(const AttemptCommand& aCommand,
                                       const HttpExchange& aExchange) const = 0;
  // Converts a server's response to the one that is sent to the client.
  virtual HttpResponse EncodeAnswer(HttpResponse aAnswer) const = 0;
  // Builds the response for a request that the gateway refuses itself.
  virtual HttpResponse EncodeRefusal(const RoutedRequest& aRequest,
                                     const Refusal& aRefusal) const = 0;
  // Returns the name of the header whose value a server copies from request to response, so
  // that a response can be matched with its request.
  virtual std::string EchoHeader() const = 0;

  // Convert a command about keys (grant or release) to the request that is sent to a server,
  // and the exchange back to the command's outcome.
  virtual HttpRequest EncodeCommand(const KeyCommand& aCommand) const = 0;
  virtual CommandOutcome DecodeCommand(const KeyCommand& aCommand,
                                       const HttpExchange& aExchange) const = 0;
};

} // namespace latchslip
