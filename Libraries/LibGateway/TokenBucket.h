#pragma once

#include "LibBase/Time.h"

#include <cstddef>

namespace latchslip {

// Fill rate, capacity and overdraft of a token bucket.
struct TokenBucketParameters
{
  // Tokens per second.
  double rate_ = 0;
  // Capacity in tokens.
  double capacity_ = 1;
  // Overdraft: tokens that may be taken from the empty bucket.
  double maxDebt_ = 0;
};

// Token bucket rate limiter: tokens accrue at a fixed rate, and each send takes one.
class TokenBucket
{
public:
  // Changes the parameters from now on; keeps the accrued tokens.
  void SetParameters(Instant aNow, TokenBucketParameters aParameters);
  // Sets the number of tokens.
  void SetTokens(Instant aNow, double aTokens);
  bool HasToken(Instant aNow) const { return Tokens(aNow) >= 1; }
  // Takes a token, down to the overdraft.
  void Take(Instant aNow);
  // Time until the bucket holds aCount tokens if none is taken; zero if it does now. If aCount
  // exceeds the capacity, the time is as if the bucket had no capacity limit.
  Duration WaitFor(Instant aNow, std::size_t aCount) const;

private:
  double Tokens(Instant aNow) const;

  TokenBucketParameters parameters_;
  double tokens_ = 0;
  Instant updatedAt_{ 0 };
};

} // namespace latchslip
