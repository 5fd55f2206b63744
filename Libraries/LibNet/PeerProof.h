#pragma once

#include "LibNet/PeerCodec.h"

#include <string>

namespace latchslip {

// Fresh random bytes for one handshake.
std::string
MakeNonce();

enum class PeerRole
{
  Dialler,
  Acceptor,
};

// What shows that the sender of a hello knows the fleet's secret: an HMAC-SHA256
// over both nonces, the role and the identity. Neither side's proof can be sent
// back to it as its own.
std::string
ComputeProof(const std::string& aSecret,
             PeerRole aRole,
             const std::string& aChallenge,
             const PeerHello& aHello);

// Compares in constant time.
bool
IsProofValid(const std::string& aExpected, const std::string& aGiven);

} // namespace latchslip
