#pragma once

#include "LibBase/Time.h"

#include <limits>

namespace latchslip {

// The limit of a server that names none.
inline constexpr double kNoRateLimit = std::numeric_limits<double>::infinity();

// How many requests a second a server takes from all instances together, as it names it in
// its answers.
class RateLimit
{
public:
  // An answer named aRate, kNoRateLimit for none; its request was sent at aSentAt. Whether a
  // limit begins or ends by it.
  bool OnTold(Instant aNow, Instant aSentAt, double aRate);
  // Whether the server names a limit.
  bool IsNamed() const { return rate_ < kNoRateLimit; }
  // Requests a second; kNoRateLimit when it names none.
  double Rate() const { return rate_; }

private:
  double rate_ = kNoRateLimit;
  // When it was last named.
  Instant namedAt_ = Instant::min();
};

} // namespace latchslip
