#pragma once

#include <string>

namespace latchslip::platform {

// The address of a port of this machine.
std::string
Loopback(int aPort);

// The settings file of an entry instance that listens from aPort on: for clients,
// the balancer and other instances, one port each.
std::string
MakeSettings(const std::string& aName,
             int aPort,
             const std::string& aSeedAddress,
             const std::string& aStoreAddress);

// A configuration with a keyed service "rates", and bookings, which must not run
// twice, at aBookingService.
std::string
MakeManifest(int aVersion, const std::string& aBookingService);

} // namespace latchslip::platform
