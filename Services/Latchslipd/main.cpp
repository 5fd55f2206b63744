#include "LibDaemon/InstanceHost.h"
#include "LibDaemon/StartupSignals.h"

#include <absl/flags/usage.h>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 3;

} // namespace

// Daemon of one entry instance. On SIGTERM or SIGINT it drains: the instance leaves the fleet, and
// the process exits once no request is in flight. Exit codes: 2 for invalid settings, 3 if it can't
// start.
int
main(int aCount, char** aArguments)
{
  absl::SetProgramUsageMessage("latchslipd: one entry instance of latchslip. docs/SETTINGS.md "
                               "lists the settings; --check_settings checks them and exits.");
  const auto settings = latchslip::ReadDaemonSettings(aCount, aArguments);
  if (!settings) {
    std::cerr << "latchslipd: " << settings.error().Describe() << '\n';
    return kExitBadSettings;
  }
  if (settings.value().isCheckOnly_) {
    std::cout << "latchslipd: the settings are fine\n";
    return 0;
  }
  latchslip::InitializeLogging(aArguments[0]);
  boost::asio::io_context context(1);
  const auto host = latchslip::InstanceHost::Create(context, settings.value());
  if (!host) {
    std::cerr << "latchslipd: " << host.error().Describe() << '\n';
    return kExitCannotStart;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code aError, int) {
    if (!aError) {
      host.value()->BeginLeaving();
    }
  });
  latchslip::ReleaseStartupSignals();
  context.run();
  return 0;
}
