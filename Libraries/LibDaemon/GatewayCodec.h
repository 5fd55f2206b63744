#pragma once

#include "LibGateway/Messages.h"
#include "LibKeys/OwnershipPlacer.h"
#include "LibNet/Http.h"
#include "LibNet/HttpClient.h"

#include <string>

namespace latchslip {

// Translates between the routing decisions and the HTTP that clients and backend
// servers of a platform speak.
class GatewayCodec
{
public:
  virtual ~GatewayCodec() = default;

  // What the decisions need to know of a client's request.
  virtual RoutedRequest DecodeRequest(RequestNumber aNumber, const HttpRequest& aRequest) const = 0;
  // The request as it goes to a server.
  virtual HttpRequest EncodeAttempt(const HttpRequest& aRequest,
                                    const AttemptCommand& aOrder) const = 0;
  virtual AttemptOutcome DecodeAttempt(const AttemptCommand& aOrder,
                                       const HttpExchange& aExchange) const = 0;
  // A server's answer as it goes to the client.
  virtual HttpResponse EncodeAnswer(HttpResponse aAnswer) const = 0;
  virtual HttpResponse EncodeRefusal(const RoutedRequest& aRequest,
                                     const Refusal& aRefusal) const = 0;
  // The header by which an answer names the request it belongs to.
  virtual std::string EchoHeader() const = 0;

  virtual HttpRequest EncodeCommand(const KeyCommand& aCommand) const = 0;
  virtual CommandOutcome DecodeCommand(const KeyCommand& aCommand,
                                       const HttpExchange& aExchange) const = 0;
};

} // namespace latchslip
