#include "LibDaemon/StartupSignals.h"

#include <csignal>

namespace latchslip {

namespace {

void
ChangeMask(int aHow)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigprocmask(aHow, &signals, nullptr);
}

void
HoldStartupSignals()
{
  ChangeMask(SIG_BLOCK);
}

// The functions in this section run before the initialization of shared libraries.
__attribute__((section(".preinit_array"), used)) void (*const kHoldAtStart)() = HoldStartupSignals;

} // namespace

void
ReleaseStartupSignals()
{
  ChangeMask(SIG_UNBLOCK);
}

} // namespace latchslip
