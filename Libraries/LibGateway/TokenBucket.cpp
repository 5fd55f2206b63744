#include "LibGateway/TokenBucket.h"

#include <algorithm>

namespace latchslip {

namespace {

// The wait for a token that never comes. Adding it to a present time does not overflow.
constexpr Duration kMaxWait = std::chrono::hours(24 * 365);

} // namespace

void
TokenBucket::SetParameters(Instant aNow, TokenBucketParameters aParameters)
{
  SetTokens(aNow, Tokens(aNow));
  parameters_ = aParameters;
}

void
TokenBucket::SetTokens(Instant aNow, double aTokens)
{
  tokens_ = aTokens;
  updatedAt_ = std::max(updatedAt_, aNow);
}

void
TokenBucket::Take(Instant aNow)
{
  SetTokens(aNow, std::max(-parameters_.maxDebt_, Tokens(aNow) - 1));
}

Duration
TokenBucket::WaitFor(Instant aNow, std::size_t aCount) const
{
  const double missing = static_cast<double>(aCount) - Tokens(aNow);
  if (missing <= 0) {
    return Duration(0);
  }
  if (parameters_.rate_ * ToSeconds(kMaxWait) <= missing) {
    return kMaxWait;
  }
  // Rounded up, so that the token exists when the time has passed.
  return Scale(seconds(1), missing / parameters_.rate_) + Duration(1);
}

double
TokenBucket::Tokens(Instant aNow) const
{
  const auto past = std::max(Duration(0), Duration(aNow - updatedAt_));
  return std::min(parameters_.capacity_, tokens_ + parameters_.rate_ * ToSeconds(past));
}

} // namespace latchslip
