#pragma once

#include "SoakEnvironment.h"

#include <string>

namespace latchslip::platform {

// Checks the guarantees with time limits once all faults have been removed. Violations are reported
// to the environment's GuaranteeChecker.
class RecoveryChecks
{
public:
  explicit RecoveryChecks(SoakEnvironment& aEnvironment)
    : environment_(aEnvironment)
  {
  }

  // Runs all checks in order. The first instances of the environment are stopped afterwards.
  void Run();

private:
  // Everything is served again within a time limit.
  void CheckRecovery();
  // A change of the configuration reaches all instances in time.
  void CheckConfiguration();
  // A server that announces its shutdown gets no new requests in time.
  void CheckDrain();
  // Graceful shutdowns in succession lose no request, although clients use their open connections
  // until the process has exited.
  void CheckStops();
  // Checks a request that failed during a graceful shutdown. Only a request that crossed the close
  // of its connection may fail: it fails at once and reached no server, so the client can safely
  // retry it.
  void CheckFailedRequest(const SoakEnvironment::BrokenRequest& aRequest);
  void CheckStop(SoakEnvironment::Instance& aInstance);
  // Number of bookings that have reached servers of the service.
  std::size_t BookingsAt(const std::string& aService);

  SoakEnvironment& environment_;
};

} // namespace latchslip::platform
