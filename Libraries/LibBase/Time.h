#pragma once

#include <chrono>

namespace latchslip {

// A span of time in microseconds.
using Duration = std::chrono::microseconds;

// A moment on the monotonic clock of one machine, in microseconds since an
// arbitrary origin. Instants of two machines are never compared.
using Instant = std::chrono::microseconds;

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace latchslip
