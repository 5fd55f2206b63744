#pragma once

#include "LibBase/Result.h"
#include "LibGateway/PermitMessages.h"
#include "LibNet/FrameStream.h"

#include <span>
#include <vector>

namespace latchslip {

// What is said over a link between an instance and a dispatcher in one turn.
struct PermitBatch
{
  std::vector<MessageToDispatcher> toDispatcher_;
  std::vector<MessageFromDispatcher> fromDispatcher_;

  bool IsEmpty() const { return toDispatcher_.empty() && fromDispatcher_.empty(); }
  bool operator==(const PermitBatch&) const = default;
};

// With the length that frames it.
WireBytes
EncodePermitBatch(const PermitBatch& aBatch);

// Takes the bytes of one message without its length, aligned to 8 bytes.
FieldResult<PermitBatch>
DecodePermitBatch(std::span<const std::uint8_t> aBytes);

} // namespace latchslip
