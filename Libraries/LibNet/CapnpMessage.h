#pragma once

#include "LibNet/FrameStream.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstdint>
#include <kj/exception.h>
#include <span>
#include <string>

namespace latchslip {

// Passes the length, because a text may contain NUL bytes.
inline kj::StringPtr
ToText(const std::string& aText)
{
  return { aText.c_str(), aText.size() };
}

inline std::string
FromText(capnp::Text::Reader aText)
{
  return { aText.cStr(), aText.size() };
}

// Serializes a complete message with its frame header.
inline WireBytes
MakeMessageFrame(capnp::MessageBuilder& aBuilder)
{
  const auto words = capnp::messageToFlatArray(aBuilder);
  const auto bytes = words.asBytes();
  return MakeFrame({ bytes.begin(), bytes.size() });
}

// Decodes a message: passes its root to aRead or, if it is malformed, the problem to aFail, and
// returns that function's result. aBytes must be aligned to 8 bytes. aMaxWords, in words of
// 8 bytes, bounds the traversal of a malicious or corrupt message.
template<typename TRoot, typename TRead, typename TFail>
auto
ReadMessage(std::span<const std::uint8_t> aBytes, std::uint64_t aMaxWords, TRead aRead, TFail aFail)
  -> decltype(aRead(std::declval<typename TRoot::Reader>()))
{
  // NOTE: Cap'n Proto throws on malformed input; this is the only place that catches it.
  try {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = aMaxWords;
    const kj::ArrayPtr<const capnp::word> words(reinterpret_cast<const capnp::word*>(aBytes.data()),
                                                aBytes.size() / sizeof(capnp::word));
    capnp::FlatArrayMessageReader reader(words, options);
    return aRead(reader.getRoot<TRoot>());
  } catch (const kj::Exception& exception) {
    return aFail(exception.getDescription().cStr());
  }
}

} // namespace latchslip
