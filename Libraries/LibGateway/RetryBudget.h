#pragma once

#include "LibBase/Time.h"

#include <array>
#include <cstdint>

namespace latchslip {

// Limits of the retries, sends beyond the first of each request, that all instances together make
// to one service.
struct RetryBudgetParameters
{
  // Retries as a fraction of the requests in any window.
  double ratio_ = 0.1;
  // Retries that are allowed beyond the ratio, for all instances together in any window.
  double extra_ = 0;
  Duration window_ = seconds(10);
};

// One instance's share of the retry budget of a service. Each instance spends only what its own
// requests have earned, so that the total holds without coordination; of the extra retries it
// takes an equal share by the number of instances.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetParameters aParameters);

  // Counts the first send of a request.
  void OnRequest(Instant aNow);
  // Takes one retry from the budget; returns false if the budget is exhausted.
  bool TryTake(Instant aNow, std::size_t aInstances);
  void SetParameters(const RetryBudgetParameters& aParameters) { parameters_ = aParameters; }

private:
  // The sliding window is counted in this many steps; one more step holds the part that is
  // leaving the window.
  static constexpr std::size_t kSteps = 10;

  struct Step
  {
    std::int64_t number_ = -1;
    std::uint32_t requests_ = 0;
    std::uint32_t retries_ = 0;
  };

  Step& StepAt(Instant aNow);

  RetryBudgetParameters parameters_;
  std::array<Step, kSteps + 1> steps_{};
};

} // namespace latchslip
