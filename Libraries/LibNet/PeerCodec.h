#pragma once

#include "LibBase/Result.h"
#include "LibInstance/Messages.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace latchslip {

// A message as it goes over the wire, framing included.
using WireBytes = std::vector<std::uint8_t>;

// The first message of a link, with which the two ends prove themselves.
struct PeerChallenge
{
  std::string nonce_;
};
struct PeerHello
{
  InstanceId id_;
  std::string hall_;
  std::string nonce_;
  std::string proof_;
};
using WireMessage = std::variant<PeerMessage, PeerChallenge, PeerHello>;

struct CodecError
{
  std::string problem_;
};
template<typename T>
using CodecResult = Result<T, CodecError>;

WireBytes
EncodeWire(const WireMessage& aMessage);

// Takes the bytes of one message without the length that frames it. They must
// be aligned to 8 bytes.
CodecResult<WireMessage>
DecodeWire(std::span<const std::uint8_t> aBytes);

// Each message on the wire follows its length in bytes, 4 bytes little endian,
// padded to 8 so that the message is aligned.
inline constexpr std::size_t kFrameHeaderBytes = 8;

} // namespace latchslip
