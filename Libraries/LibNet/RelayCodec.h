#pragma once

#include "LibBase/Result.h"
#include "LibNet/RelayMessages.h"

#include <string>
#include <string_view>

namespace latchslip {

// Serialize messages between instances that relay exchanges with servers, and read them.
std::string
EncodeRelayRequest(const RelayRequest& aRequest);
FieldResult<RelayRequest>
DecodeRelayRequest(std::string_view aBytes);
std::string
EncodeRelayAnswer(const RelayAnswer& aAnswer);
FieldResult<RelayAnswer>
DecodeRelayAnswer(std::string_view aBytes);

} // namespace latchslip
