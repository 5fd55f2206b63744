#pragma once

#include "LibBase/Result.h"
#include "LibGateway/PermitMessages.h"
#include "LibNet/FrameStream.h"

#include <span>
#include <vector>

namespace latchslip {

// The messages sent over a permit link within one turn of the event loop.
struct PermitBatch
{
  std::vector<MessageToDispatcher> toDispatcher_;
  std::vector<MessageFromDispatcher> fromDispatcher_;

  bool IsEmpty() const { return toDispatcher_.empty() && fromDispatcher_.empty(); }
  bool operator==(const PermitBatch&) const = default;
};

// Serializes a batch with its frame header.
WireBytes
EncodePermitBatch(const PermitBatch& aBatch);

// Decodes a batch without its frame header.
FieldResult<PermitBatch>
DecodePermitBatch(std::span<const std::uint8_t> aBytes);

} // namespace latchslip
