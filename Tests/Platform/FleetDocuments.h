#pragma once

#include "LibBase/Time.h"
#include "LibNet/Http.h"

#include <string>

namespace latchslip::platform {

// Returns the address of a port on 127.0.0.1.
std::string
Loopback(int aPort);

// Returns the address at which other instances reach the instance whose first port is aPort. Each
// instance has a loopback host of its own, because all instances listen for permits on the same
// port.
std::string
ControlAddress(int aPort);

// Returns the settings file of the instance whose first port is aPort. It listens on three ports:
// for clients, for the load balancer's health checks, and for other instances. aSeedPort is the
// first port of the instance that the others contact when they start.
std::string
MakeSettings(const std::string& aName, int aPort, int aSeedPort, const std::string& aStoreAddress);

// Returns a configuration with the keyed service "rates", and with bookings (not safe to retry)
// routed to aBookingService. aTenants is the JSON list of groups; empty for none.
std::string
MakeManifest(int aVersion, const std::string& aBookingService, const std::string& aTenants = "");

// Returns the record of a server without slow start, as the server writes it to the store.
std::string
MakeServerEntry(const std::string& aService, const std::string& aAddress, int aSequence);

// Makes a client's request for bookings, which must not run twice.
HttpRequest
MakeBooking(const std::string& aId, Duration aTimeLeft);

} // namespace latchslip::platform
