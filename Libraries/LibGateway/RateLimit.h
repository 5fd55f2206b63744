#pragma once

#include "LibBase/Time.h"
#include "LibGateway/TokenBucket.h"

#include <cstddef>
#include <limits>

namespace latchslip {

// The limit of a server that names none.
inline constexpr double kNoRateLimit = std::numeric_limits<double>::infinity();

// How many requests a second a server takes from all instances together, as it names it in
// its answers, and what may be sent to it by that.
class RateLimit
{
public:
  // An answer named aRate, kNoRateLimit for none; its request was sent at aSentAt. aShare, 0
  // to 1, is the part of the rate that may be sent from here. Whether a limit begins or ends.
  bool OnTold(Instant aNow, Instant aSentAt, double aRate, double aShare);
  // A request was sent, with room or without.
  void OnSent(Instant aNow);
  // Whether one more may be sent now.
  bool HasRoom(Instant aNow) const { return !IsNamed() || bucket_.HasToken(aNow); }
  // How long until one more may be sent after aAhead others; zero when that is now.
  Duration WaitLeft(Instant aNow, std::size_t aAhead) const;
  // Whether the server names a limit.
  bool IsNamed() const { return rate_ < kNoRateLimit; }
  // Requests a second; kNoRateLimit when it names none.
  double Rate() const { return rate_; }

private:
  double rate_ = kNoRateLimit;
  // When it was last named.
  Instant namedAt_ = Instant::min();
  TokenBucket bucket_;
};

} // namespace latchslip
