#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"

#include <cstddef>

namespace latchslip {

// The bound that a response exceeded, which ended its exchange.
enum class ResponseExcess
{
  None,
  // Bytes of the status line and the header fields.
  Head,
  // Time from the first byte of the head to its last.
  SlowHead,
  // Bytes of the bodies.
  Body,
  // Bytes of chunk extensions and trailers.
  ChunkMetadata,
  // Number of interim responses (status 1xx).
  InterimResponses,
  // Number of responses to other requests.
  OtherResponses,
  // Bytes of all bodies that the client holds.
  HeldBytes,
};

inline constexpr NameTable<ResponseExcess, 8> kResponseExcessNames{ { "none",
                                                                      "head",
                                                                      "slow-head",
                                                                      "body",
                                                                      "chunk-metadata",
                                                                      "interim-responses",
                                                                      "other-responses",
                                                                      "held-bytes" } };

// Maximum size of a head.
inline constexpr std::size_t kMaxResponseHeadBytes = 8UL * 1024;
// Maximum size of the bodies of an exchange, those of responses to other requests included.
inline constexpr std::size_t kMaxResponseBytes = 16UL * 1024 * 1024;
// Maximum size of all chunk extensions of an exchange, of one that is being read, and of the
// trailers.
inline constexpr std::size_t kMaxChunkMetadataBytes = 64UL * 1024;
inline constexpr unsigned kMaxInterimResponses = 8;
inline constexpr unsigned kMaxOtherResponses = 8;
// A head must be complete within this fraction of the exchange's timeout after its first byte.
inline constexpr double kHeadTimePerTimeout = 0.5;

// Counts what an exchange receives beyond the head and the body of its response.
class ResponseMeter
{
public:
  // Each returns whether the exchange is still within the bound.
  bool AddInterimResponse() { return ++interimResponses_ <= kMaxInterimResponses; }
  bool AddOtherResponse(std::size_t aBodyBytes)
  {
    otherBodyBytes_ += aBodyBytes;
    return ++otherResponses_ <= kMaxOtherResponses;
  }
  bool AddChunkExtension(std::size_t aBytes)
  {
    chunkExtensionBytes_ += aBytes;
    return chunkExtensionBytes_ <= kMaxChunkMetadataBytes;
  }

  unsigned OtherResponses() const { return otherResponses_; }
  // Returns how much of aLimit the bodies of other responses have left.
  std::size_t BodyBytesLeft(std::size_t aLimit) const
  {
    return aLimit > otherBodyBytes_ ? aLimit - otherBodyBytes_ : 0;
  }

private:
  unsigned interimResponses_ = 0;
  unsigned otherResponses_ = 0;
  std::size_t otherBodyBytes_ = 0;
  std::size_t chunkExtensionBytes_ = 0;
};

} // namespace latchslip
