#pragma once

#include "LibBase/Result.h"
#include "LibInstance/Messages.h"
#include "LibNet/FrameStream.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace latchslip {

// The handshake of a peer link: the accepting end sends a challenge, then each end sends a hello
// with a proof (see PeerProof.h).
struct PeerChallenge
{
  // Random bytes that the dialling end must include in its proof.
  std::string nonce_;
};
struct PeerHello
{
  InstanceId id_;
  std::string hall_;
  std::string nonce_;
  std::string proof_;
};
// Any message of a peer link.
using WireMessage = std::variant<PeerMessage, PeerChallenge, PeerHello>;

struct CodecError
{
  std::string problem_;
};
template<typename T>
using CodecResult = Result<T, CodecError>;

// Serializes a message with its frame header.
WireBytes
EncodeWire(const WireMessage& aMessage);

// Decodes one message without its frame header. aBytes must be aligned to 8 bytes.
CodecResult<WireMessage>
DecodeWire(std::span<const std::uint8_t> aBytes);

} // namespace latchslip
