#pragma once

#include "LibBase/Time.h"

#include <array>
#include <cstdint>

namespace latchslip {

// How many sends beyond the first of each request all instances together may
// make to one service.
struct RetryBudgetTerms
{
  // Of the requests in any window.
  double ratio_ = 0.1;
  // On top of the ratio, for all instances together in any window.
  double extra_ = 0;
  Duration window_ = seconds(10);
};

// One instance's part of the retry budget of a service. Each instance spends
// only what its own requests have earned, so that the sum holds without any
// talk among instances; of the extra it takes its part by their count.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetTerms aTerms);

  void OnRequest(Instant aNow);
  // Takes one send beyond the first; false when the budget does not have it.
  bool TryTake(Instant aNow, std::size_t aInstances);
  void SetTerms(const RetryBudgetTerms& aTerms) { terms_ = aTerms; }

private:
  // The window is counted in this many steps, and one more that is being left.
  static constexpr std::size_t kSteps = 10;

  struct Step
  {
    std::int64_t number_ = -1;
    std::uint32_t requests_ = 0;
    std::uint32_t retries_ = 0;
  };

  Step& StepAt(Instant aNow);

  RetryBudgetTerms terms_;
  std::array<Step, kSteps + 1> steps_{};
};

} // namespace latchslip
