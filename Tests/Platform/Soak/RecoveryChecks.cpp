#include "RecoveryChecks.h"

#include <algorithm>
#include <csignal>
#include <iostream>

namespace latchslip::platform {

namespace {

// Time until everything is served again after all faults were removed. A grant that a server
// accepted late, just before it became unreachable, may stay valid for long.
constexpr Duration kRecovery = seconds(20);
// Time in which a change of the configuration, or a server's shutdown announcement, takes effect on
// all instances.
constexpr Duration kInForce = milliseconds(2500);
// Period in which no request may reach the former target.
constexpr Duration kWatched = seconds(1);
// Time limit of a graceful shutdown, including the grace period.
constexpr Duration kStopped = seconds(6);
// A request that crossed the close of its connection fails within this time, many times the round
// trip on loopback.
constexpr Duration kCrossing = milliseconds(50);
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
  if (!world_.RunUntil([this] { return world_.IsAllServed(); }, kRecovery)) {
    world_.Kept().Break("RECOVER not everything is served after all faults");
  }
}

void
RecoveryChecks::CheckConfiguration()
{
  const auto former = world_.BookingService();
  world_.SwitchBookingService();
  world_.Run(kInForce);
  const auto before = ArrivalsAt(former);
  world_.Run(kWatched);
  if (ArrivalsAt(former) != before) {
    world_.Kept().Break("CONFIG the former service still gets requests");
  }
}

void
RecoveryChecks::CheckDrain()
{
  auto& server = *world_.Servers().front().backend_;
  server.Leave();
  world_.Run(kInForce);
  const auto before = world_.Kept().ArrivalsOf(server.Id());
  world_.Run(kWatched);
  if (world_.Kept().ArrivalsOf(server.Id()) != before) {
    world_.Kept().Break("DRAIN " + server.Id() + " still gets requests");
  }
  // The server stays in shutdown; the following checks need only the others.
}

void
RecoveryChecks::CheckStops()
{
  const auto before = world_.Broken().size();
  auto& instances = world_.Instances();
  const auto stops = std::min(kStops, instances.size());
  for (std::size_t index = 0; index < stops; ++index) {
    instances[index].isExpected_ = false;
    instances[index].process_->Signal(SIGTERM);
    world_.Run(kStopGap);
  }
  for (std::size_t index = 0; index < stops; ++index) {
    CheckStop(instances[index]);
  }
  for (std::size_t index = before; index < world_.Broken().size(); ++index) {
    CheckCut(world_.Broken()[index]);
  }
}

void
RecoveryChecks::CheckStop(SoakEnvironment::Instance& aInstance)
{
  auto& process = *aInstance.process_;
  if (!world_.RunUntil([&] { return process.HasEnded(); }, kStopped)) {
    world_.Kept().Break("STOP " + aInstance.name_ + " still runs after its grace");
    process.Signal(SIGKILL);
  } else if (process.Wait() != 0) {
    world_.Kept().Break("STOP " + aInstance.name_ + " ended with a failure");
  }
}

void
RecoveryChecks::CheckCut(const SoakEnvironment::BrokenRequest& aRequest)
{
  if (world_.Kept().HasArrived(aRequest.id_) || aRequest.age_ > kCrossing) {
    world_.Kept().Break("LOST by a planned stop: " + aRequest.story_);
  } else {
    std::cout << "crossed a close: " << aRequest.story_ << '\n';
  }
}

std::size_t
RecoveryChecks::ArrivalsAt(const std::string& aService)
{
  std::size_t arrivals = 0;
  for (auto& server : world_.Servers()) {
    if (server.backend_->Service() == aService) {
      arrivals += world_.Kept().ArrivalsOf(server.backend_->Id());
    }
  }
  return arrivals;
}

} // namespace latchslip::platform
