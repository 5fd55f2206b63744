#pragma once

#include "LibBase/Time.h"
#include "LibGateway/TokenBucket.h"

#include <cstddef>

namespace latchslip {

// Limits the sends of one instance to a server in slow start to its equal share of the few
// requests per second that the server accepts from all instances. No coordination is needed. A
// server that receives far more requests crashes, and goes through slow start again.
class SlowStartLimiter
{
public:
  // Allows aRate requests per second until aUntil. aInitialTokens, 0 to 1, is the initial fraction
  // of a token; a random value on each instance keeps their first requests from arriving together.
  void Begin(Instant aNow, Instant aUntil, double aRate, double aInitialTokens);
  // Whether one more request may be sent now.
  bool HasCapacity(Instant aNow) const;
  void OnSent(Instant aNow);
  bool IsOver(Instant aNow) const { return aNow >= until_; }

  // Time until one more request may be sent after aAhead others; zero if it may be sent now.
  Duration RemainingWait(Instant aNow, std::size_t aAhead) const;

private:
  Instant until_ = Instant::min();
  TokenBucket bucket_;
};

} // namespace latchslip
