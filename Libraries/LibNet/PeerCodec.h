#pragma once

#include "LibBase/Result.h"
#include "LibInstance/Messages.h"
#include "LibNet/FrameStream.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace latchslip {

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

} // namespace latchslip
