#pragma once

#include "LibBase/Time.h"

#include <cstddef>

namespace latchslip {

// How a bucket fills and how far it may be overdrawn.
struct TokenBucketTerms
{
  // Tokens a second.
  double rate_ = 0;
  // Tokens that are saved up at the most.
  double most_ = 1;
  // Tokens that may be taken before there are any.
  double mostDebt_ = 0;
};

// Holds what is sent to a rate: tokens come at that rate, and each send takes one.
class TokenBucket
{
public:
  // Changes the terms from now on; what has been saved up stays.
  void SetTerms(Instant aNow, TokenBucketTerms aTerms);
  // Has so many tokens now.
  void Fill(Instant aNow, double aTokens);
  bool HasToken(Instant aNow) const { return Tokens(aNow) >= 1; }
  void Take(Instant aNow);
  // How long until there are so many tokens if none is taken; zero when there are. A bucket
  // that holds fewer counts as refilled after each.
  Duration WaitFor(Instant aNow, std::size_t aCount) const;

private:
  double Tokens(Instant aNow) const;

  TokenBucketTerms terms_;
  double tokens_ = 0;
  Instant countedAt_{ 0 };
};

} // namespace latchslip
