#pragma once

#include "LibGateway/PermitMessages.h"

namespace latchslip {

// Where an instance gets permits for its sends. Answers come later, never from inside.
class PermitSource
{
public:
  virtual ~PermitSource() = default;

  // Whether the dispatcher of that service can be asked; otherwise the instance chooses by
  // what it knows alone.
  virtual bool CanRequestPermit(const std::string& aService) const = 0;
  virtual void RequestPermit(Instant aNow, const PermitRequest& aRequest) = 0;
  virtual void Withdraw(AttemptNumber aNumber) = 0;
  // No answer came in the time in which one comes.
  virtual void OnUnanswered(Instant aNow, const std::string& aService) = 0;
  // Tells of a send without a permit.
  virtual void ReportSend(Instant aNow, const SendNotice& aNotice) = 0;
  // Tells the end of a send, or that a permit is not used.
  virtual void ReportSendEnd(const SendEnd& aEnd) = 0;
};

// Has no dispatcher: the instance chooses alone.
class NoPermits : public PermitSource
{
public:
  bool CanRequestPermit(const std::string&) const override { return false; }
  void RequestPermit(Instant, const PermitRequest&) override {}
  void Withdraw(AttemptNumber) override {}
  void OnUnanswered(Instant, const std::string&) override {}
  void ReportSend(Instant, const SendNotice&) override {}
  void ReportSendEnd(const SendEnd&) override {}
};

} // namespace latchslip
