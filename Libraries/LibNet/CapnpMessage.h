#pragma once

#include "LibNet/FrameStream.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstdint>
#include <kj/exception.h>
#include <span>
#include <string>

namespace latchslip {

// With its length, since a text may hold any byte.
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

// A whole message with the length that frames it.
inline WireBytes
FrameOfMessage(capnp::MessageBuilder& aBuilder)
{
  const auto words = capnp::messageToFlatArray(aBuilder);
  const auto bytes = words.asBytes();
  return FrameOf({ bytes.begin(), bytes.size() });
}

// Gives the root of a message to aRead, and the problem to aFail when it is malformed.
// aBytes must be aligned to 8 bytes; aMostWords bounds what a broken message may cost.
template<typename TRoot, typename TRead, typename TFail>
auto
ReadMessage(std::span<const std::uint8_t> aBytes,
            std::uint64_t aMostWords,
            TRead aRead,
            TFail aFail) -> decltype(aRead(std::declval<typename TRoot::Reader>()))
{
  // NOTE: Cap'n Proto throws on malformed input; the exception ends here.
  try {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = aMostWords;
    const kj::ArrayPtr<const capnp::word> words(reinterpret_cast<const capnp::word*>(aBytes.data()),
                                                aBytes.size() / sizeof(capnp::word));
    capnp::FlatArrayMessageReader reader(words, options);
    return aRead(reader.getRoot<TRoot>());
  } catch (const kj::Exception& exception) {
    return aFail(exception.getDescription().cStr());
  }
}

} // namespace latchslip
