#pragma once

#include "LibGateway/PermitMessages.h"

namespace latchslip {

// Client side of the permit protocol. Answers arrive later through the GatewayRouter, never from
// within a call.
class PermitSource
{
public:
  virtual ~PermitSource() = default;

  // Whether the dispatcher of the server accepts permit requests; if not, the instance chooses
  // servers by its local state alone. aServer is empty if any server of the service may get the
  // request, here and below.
  virtual bool CanRequestPermit(const std::string& aService, const std::string& aServer) const = 0;
  // Remaining time for which the request must not be sent to any server; zero for none.
  virtual Duration RemainingQuarantine(Instant aNow, RequestFingerprint aFingerprint) const = 0;
  // Sends a permit request.
  virtual void RequestPermit(Instant aNow, const PermitRequest& aRequest) = 0;
  virtual void Withdraw(AttemptNumber aNumber) = 0;
  // The dispatcher did not answer a permit request before its timeout.
  virtual void OnPermitTimeout(Instant aNow,
                               const std::string& aService,
                               const std::string& aServer) = 0;
  // Reports a send that used no permit.
  virtual void ReportSend(Instant aNow, const SendNotice& aNotice) = 0;
  // Reports the end of an attempt, or that a permit was not used.
  virtual void ReportSendEnd(const SendEnd& aEnd) = 0;
};

// For an instance without a dispatcher: it chooses servers by its local state alone.
class NullPermitSource : public PermitSource
{
public:
  bool CanRequestPermit(const std::string&, const std::string&) const override { return false; }
  Duration RemainingQuarantine(Instant, RequestFingerprint) const override { return Duration(0); }
  void RequestPermit(Instant, const PermitRequest&) override {}
  void Withdraw(AttemptNumber) override {}
  void OnPermitTimeout(Instant, const std::string&, const std::string&) override {}
  void ReportSend(Instant, const SendNotice&) override {}
  void ReportSendEnd(const SendEnd&) override {}
};

} // namespace latchslip
