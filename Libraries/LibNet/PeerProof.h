#pragma once

#include "LibNet/PeerCodec.h"

#include <string>

namespace latchslip {

// Returns random bytes for one handshake.
std::string
MakeNonce();

// The ends of a link: the instance that opened the connection, and the one that accepted it.
enum class PeerRole
{
  Initiator,
  Acceptor,
};

// Computes the proof that the sender of a hello knows the fleet's secret: an HMAC-SHA256 over
// both nonces, the role and the identity. The role prevents reflection: a proof cannot be sent
// back to its own sender as the other end's proof.
std::string
ComputeProof(const std::string& aSecret,
             PeerRole aRole,
             const std::string& aChallenge,
             const PeerHello& aHello);

// Compares two proofs in constant time.
bool
IsProofValid(const std::string& aExpected, const std::string& aGiven);

} // namespace latchslip
