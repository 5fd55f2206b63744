#pragma once

#include <string>

namespace latchslip::platform {

// The address of a port of this machine.
std::string
Loopback(int aPort);

// Where the instance that listens from aPort on is reached by the others. Each has a host
// of its own, since all take links at the same port.
std::string
ControlAddress(int aPort);

// The settings file of an entry instance that listens from aPort on: for clients,
// the balancer and other instances, one port each. aSeedPort is the first port of the
// instance that the others ask at their start.
std::string
MakeSettings(const std::string& aName, int aPort, int aSeedPort, const std::string& aStoreAddress);

// A configuration with a keyed service "rates", and bookings, which must not run
// twice, at aBookingService. aTenants is the list of the groups; empty for none.
std::string
MakeManifest(int aVersion, const std::string& aBookingService, const std::string& aTenants = "");

// What a server without a slow start writes of itself into the store.
std::string
MakeServerEntry(const std::string& aService, const std::string& aAddress, int aSequence);

} // namespace latchslip::platform
