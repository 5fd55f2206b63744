#pragma once

#include "LibGateway/RequestFingerprint.h"

#include <string_view>

namespace latchslip {

// What a request and its repetitions have in common.
struct RequestIdentity
{
  std::string_view method_;
  std::string_view host_;
  std::string_view path_;
  // As the client sent it; empty for none.
  std::string_view key_;
  // The API key that the client presented; empty for none.
  std::string_view apiKey_;
  std::string_view body_;
};

// Computes the fingerprint, never kNoFingerprint. Uses a truncated SHA-256: a client must not be
// able to construct a request with the fingerprint of another client's.
RequestFingerprint
ComputeFingerprint(const RequestIdentity& aIdentity);

} // namespace latchslip
