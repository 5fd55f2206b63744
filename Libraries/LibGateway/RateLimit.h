#pragma once

#include "LibBase/Time.h"
#include "LibGateway/TokenBucket.h"

#include <cstddef>
#include <limits>

namespace latchslip {

// Rate of a server that advertises no limit.
inline constexpr double kNoRateLimit = std::numeric_limits<double>::infinity();

// Rate limit that a server advertises in its answers, in requests per second for all instances
// together, and the token bucket with which this instance keeps to its share of it.
class RateLimit
{
public:
  // An answer to a request sent at aSentAt advertised aRate, kNoRateLimit for no limit. aShare, 0
  // to 1, is the share of the rate that this instance may use. Returns whether a limit begins or
  // ends.
  bool OnAdvertised(Instant aNow, Instant aSentAt, double aRate, double aShare);
  // Consumes a token for a request that was sent, even if there was none.
  void OnSent(Instant aNow);
  // Whether one more request may be sent now.
  bool HasCapacity(Instant aNow) const { return !IsAdvertised() || bucket_.HasToken(aNow); }
  // Time until one more request may be sent after aAhead others; zero if it may be sent now.
  Duration RemainingWait(Instant aNow, std::size_t aAhead) const;
  // Whether the server advertises a limit.
  bool IsAdvertised() const { return rate_ < kNoRateLimit; }
  // In requests per second; kNoRateLimit if the server advertises none.
  double Rate() const { return rate_; }

private:
  double rate_ = kNoRateLimit;
  // Time at which the limit was last advertised.
  Instant advertisedAt_ = Instant::min();
  TokenBucket bucket_;
};

} // namespace latchslip
