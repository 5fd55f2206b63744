#include "LibGateway/TokenBucket.h"

#include <algorithm>

namespace latchslip {

namespace {

// The wait for a token that never comes. Adding it to a present time does not overflow.
constexpr Duration kForEver = std::chrono::hours(24 * 365);

} // namespace

void
TokenBucket::SetTerms(Instant aNow, TokenBucketParameters aTerms)
{
  Fill(aNow, Tokens(aNow));
  terms_ = aTerms;
}

void
TokenBucket::Fill(Instant aNow, double aTokens)
{
  tokens_ = aTokens;
  countedAt_ = std::max(countedAt_, aNow);
}

void
TokenBucket::Take(Instant aNow)
{
  Fill(aNow, std::max(-terms_.mostDebt_, Tokens(aNow) - 1));
}

Duration
TokenBucket::WaitFor(Instant aNow, std::size_t aCount) const
{
  const double missing = static_cast<double>(aCount) - Tokens(aNow);
  if (missing <= 0) {
    return Duration(0);
  }
  if (terms_.rate_ * ToSeconds(kForEver) <= missing) {
    return kForEver;
  }
  // Rounded up, so that the token exists when the time has passed.
  return Scale(seconds(1), missing / terms_.rate_) + Duration(1);
}

double
TokenBucket::Tokens(Instant aNow) const
{
  const auto past = std::max(Duration(0), Duration(aNow - countedAt_));
  return std::min(terms_.most_, tokens_ + terms_.rate_ * ToSeconds(past));
}

} // namespace latchslip
