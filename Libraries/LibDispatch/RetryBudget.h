#pragma once

#include <algorithm>

namespace latchslip {

// Bounds retries to a share of the requests, so that retries cannot multiply
// the load of a server that is in trouble.
class RetryBudget
{
public:
  // Each request earns this much of a retry, up to a limit.
  static constexpr double kEarnedPerRequest = 0.1;
  static constexpr double kMost = 10;

  void OnRequest() { credit_ = std::min(kMost, credit_ + kEarnedPerRequest); }

  // Takes one retry out of the budget; false when it is spent.
  bool TrySpend()
  {
    if (credit_ < 1) {
      return false;
    }
    credit_ -= 1;
    return true;
  }

private:
  double credit_ = kMost;
};

} // namespace latchslip
