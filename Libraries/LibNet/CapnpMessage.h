#pragma once

#include "LibNet/FrameStream.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <cstdint>
#include <kj/exception.h>
#include <kj/io.h>
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

// As MakeMessageFrame, in the packed encoding, which leaves out zero bytes: about half the size for
// short messages. Padded with zeros to the size that frames require; the decoder ignores them.
inline WireBytes
MakePackedMessageFrame(capnp::MessageBuilder& aBuilder)
{
  kj::VectorOutputStream output;
  capnp::writePackedMessage(output, aBuilder);
  const auto bytes = output.getArray();
  std::vector<std::uint8_t> message(bytes.begin(), bytes.end());
  constexpr auto kWord = sizeof(capnp::word);
  message.resize((message.size() + kWord - 1) / kWord * kWord);
  return MakeFrame(message);
}

// Calls aDecode, which passes the root of a message to aRead. Returns the result of aRead or, if
// the message is malformed, passes the problem to aFail and returns that function's result.
template<typename TFail, typename TDecode>
auto
DecodeOrFail(TFail aFail, TDecode aDecode) -> decltype(aDecode())
{
  // NOTE: Cap'n Proto throws on malformed input; this is the only place that catches it.
  try {
    return aDecode();
  } catch (const kj::Exception& exception) {
    return aFail(exception.getDescription().cStr());
  }
}

// Bounds the traversal of a malicious or corrupt message; aMaxWords is in words of 8 bytes.
inline capnp::ReaderOptions
LimitedReaderOptions(std::uint64_t aMaxWords)
{
  capnp::ReaderOptions options;
  options.traversalLimitInWords = aMaxWords;
  return options;
}

// Decodes a message: passes its root to aRead or, if it is malformed, the problem to aFail, and
// returns that function's result. aBytes must be aligned to 8 bytes. aMaxWords as in
// LimitedReaderOptions.
template<typename TRoot, typename TRead, typename TFail>
auto
ReadMessage(std::span<const std::uint8_t> aBytes, std::uint64_t aMaxWords, TRead aRead, TFail aFail)
  -> decltype(aRead(std::declval<typename TRoot::Reader>()))
{
  return DecodeOrFail(aFail, [&] {
    const kj::ArrayPtr<const capnp::word> words(reinterpret_cast<const capnp::word*>(aBytes.data()),
                                                aBytes.size() / sizeof(capnp::word));
    capnp::FlatArrayMessageReader reader(words, LimitedReaderOptions(aMaxWords));
    return aRead(reader.template getRoot<TRoot>());
  });
}

// As ReadMessage, for a message in the packed encoding, of any alignment.
template<typename TRoot, typename TRead, typename TFail>
auto
ReadPackedMessage(std::span<const std::uint8_t> aBytes,
                  std::uint64_t aMaxWords,
                  TRead aRead,
                  TFail aFail) -> decltype(aRead(std::declval<typename TRoot::Reader>()))
{
  return DecodeOrFail(aFail, [&] {
    kj::ArrayInputStream input(kj::arrayPtr(aBytes.data(), aBytes.size()));
    capnp::PackedMessageReader reader(input, LimitedReaderOptions(aMaxWords));
    return aRead(reader.template getRoot<TRoot>());
  });
}

} // namespace latchslip
