#include "RecoveryChecks.h"

#include <algorithm>
#include <csignal>
#include <iostream>

namespace latchslip::platform {

namespace {

// Time until everything is served again after all faults were removed. A grant that a server
// accepted late, just before it became unreachable, may stay valid for long.
constexpr Duration kRecoveryTimeout = seconds(20);
// Time in which a change of the configuration, or a server's shutdown announcement, takes effect on
// all instances.
constexpr Duration kTimeToTakeEffect = milliseconds(2500);
// Period in which no request may reach the former target.
constexpr Duration kObservationTime = seconds(1);
// Time limit of a graceful shutdown, including the grace period.
constexpr Duration kShutdownTimeout = seconds(6);
// A request that crossed the close of its connection fails within this time, many times the round
// trip on loopback.
constexpr Duration kMaxCrossingTime = milliseconds(50);
// Interval between graceful shutdowns, and their number.
constexpr Duration kStopGap = seconds(1);
constexpr std::size_t kStops = 2;

} // namespace

void
RecoveryChecks::Run()
{
  CheckRecovery();
  CheckConfiguration();
  CheckDrain();
  CheckStops();
}

void
RecoveryChecks::CheckRecovery()
{
  if (!environment_.RunUntil([this] { return environment_.IsAllServed(); }, kRecoveryTimeout)) {
    environment_.Guarantees().ReportViolation(
      "RECOVER not all requests are served after all faults were removed");
  }
}

void
RecoveryChecks::CheckConfiguration()
{
  const auto former = environment_.BookingService();
  environment_.SwitchBookingService();
  environment_.Run(kTimeToTakeEffect);
  const auto before = BookingsAt(former);
  environment_.Run(kObservationTime);
  if (BookingsAt(former) != before) {
    environment_.Guarantees().ReportViolation("CONFIG the former service still gets requests");
  }
}

void
RecoveryChecks::CheckDrain()
{
  auto& server = *environment_.Servers().front().backend_;
  server.Leave();
  environment_.Run(kTimeToTakeEffect);
  const auto before = environment_.Guarantees().ArrivalsOf(server.Id());
  environment_.Run(kObservationTime);
  if (environment_.Guarantees().ArrivalsOf(server.Id()) != before) {
    environment_.Guarantees().ReportViolation("DRAIN " + server.Id() + " still gets requests");
  }
  // The server stays in shutdown; the following checks need only the others.
}

void
RecoveryChecks::CheckStops()
{
  const auto before = environment_.BrokenRequests().size();
  auto& instances = environment_.Instances();
  const auto stops = std::min(kStops, instances.size());
  for (std::size_t index = 0; index < stops; ++index) {
    instances[index].shouldRun_ = false;
    instances[index].process_->Signal(SIGTERM);
    environment_.Run(kStopGap);
  }
  for (std::size_t index = 0; index < stops; ++index) {
    CheckStop(instances[index]);
  }
  for (std::size_t index = before; index < environment_.BrokenRequests().size(); ++index) {
    CheckFailedRequest(environment_.BrokenRequests()[index]);
  }
}

void
RecoveryChecks::CheckStop(SoakEnvironment::Instance& aInstance)
{
  auto& process = *aInstance.process_;
  if (!environment_.RunUntil([&] { return process.HasEnded(); }, kShutdownTimeout)) {
    environment_.Guarantees().ReportViolation("STOP " + aInstance.name_ +
                                              " still runs after the grace period");
    process.Signal(SIGKILL);
  } else if (process.Wait() != 0) {
    environment_.Guarantees().ReportViolation("STOP " + aInstance.name_ + " exited with a failure");
  }
}

void
RecoveryChecks::CheckFailedRequest(const SoakEnvironment::BrokenRequest& aRequest)
{
  if (environment_.Guarantees().HasArrived(aRequest.id_) || aRequest.age_ > kMaxCrossingTime) {
    environment_.Guarantees().ReportViolation("LOST during a graceful shutdown: " +
                                              aRequest.description_);
  } else {
    std::cout << "request crossed the close of its connection: " << aRequest.description_ << '\n';
  }
}

std::size_t
RecoveryChecks::BookingsAt(const std::string& aService)
{
  std::size_t arrivals = 0;
  for (auto& server : environment_.Servers()) {
    if (server.backend_->Service() == aService) {
      arrivals += environment_.Guarantees().BookingArrivalsOf(server.backend_->Id());
    }
  }
  return arrivals;
}

} // namespace latchslip::platform
