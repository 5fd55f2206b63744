#pragma once

#include <algorithm>

namespace latchslip {

// Limits retries to a fraction of the requests, so that retries cannot amplify the load of an
// overloaded server.
class RetryBudget
{
public:
  // Credit that each request earns, in retries, and the cap of the credit.
  static constexpr double kCreditPerRequest = 0.1;
  static constexpr double kMaxCredit = 10;

  void OnRequest() { credit_ = std::min(kMaxCredit, credit_ + kCreditPerRequest); }

  // Spends one retry; returns false if the budget is exhausted.
  bool TrySpend()
  {
    if (credit_ < 1) {
      return false;
    }
    credit_ -= 1;
    return true;
  }

private:
  double credit_ = kMaxCredit;
};

} // namespace latchslip
