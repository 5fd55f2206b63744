#pragma once

#include <cstdint>
#include <string>

namespace latchslip {

// Identifies a request by what its repetitions have in common with it, unlike its request id. All
// instances compute the same value.
using RequestFingerprint = std::uint64_t;

// Fingerprint of requests that are not tracked.
inline constexpr RequestFingerprint kNoFingerprint = 0;

// As 16 hexadecimal digits, for logs.
std::string
FormatFingerprint(RequestFingerprint aFingerprint);

} // namespace latchslip
