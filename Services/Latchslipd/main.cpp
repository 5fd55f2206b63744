#include "LibDaemon/InstanceHost.h"

#include <absl/flags/usage.h>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 3;

} // namespace

// The daemon of one entry instance: reads its settings, runs the instance until
// it is told to leave, and exits when nothing is in flight.
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
  context.run();
  return 0;
}
