#pragma once

namespace latchslip {

// A program that links this part holds back SIGHUP, SIGTERM and SIGINT from its first instruction,
// before its libraries are initialized, since their default action would kill it. They stay
// pending, so that neither a planned stop nor a change of the settings is missed.
//
// Call this once the program handles these signals: those that are pending are delivered now.
void
ReleaseStartupSignals();

} // namespace latchslip
