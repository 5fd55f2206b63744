#include "LibGateway/RetryBudget.h"

#include <algorithm>

namespace latchslip {

namespace {

// Fraction of the budget that is used: servers count retries when they arrive, so a retry sent
// now may count in the next window.
constexpr double kUsableFraction = 0.8;
// Lower bound on the number of instances, because others may be starting.
constexpr std::size_t kMinInstances = 12;

} // namespace

RetryBudget::RetryBudget(RetryBudgetParameters aParameters)
  : parameters_(aParameters)
{
}

void
RetryBudget::OnRequest(Instant aNow)
{
  ++StepAt(aNow).requests_;
}

bool
RetryBudget::TryTake(Instant aNow, std::size_t aInstances)
{
  auto& current = StepAt(aNow);
  double requests = 0;
  double retries = 0;
  for (const auto& step : steps_) {
    if (step.number_ < 0 || step.number_ + static_cast<std::int64_t>(kSteps) < current.number_) {
      continue;
    }
    // The oldest step has partly left the window: its retries still count, its requests do not.
    const bool isLeaving = step.number_ + static_cast<std::int64_t>(kSteps) == current.number_;
    requests += isLeaving ? 0 : step.requests_;
    retries += step.retries_;
  }
  const auto part = static_cast<double>(std::max(aInstances, kMinInstances));
  const double allowed =
    kUsableFraction * (parameters_.ratio_ * requests + parameters_.extra_ / part);
  if (retries + 1 > allowed) {
    return false;
  }
  ++current.retries_;
  return true;
}

RetryBudget::Step&
RetryBudget::StepAt(Instant aNow)
{
  const auto length = std::max<Duration>(parameters_.window_ / kSteps, Duration(1));
  const auto number = aNow / length;
  auto& step = steps_[static_cast<std::size_t>(number) % steps_.size()];
  if (step.number_ != number) {
    step = { number, 0, 0 };
  }
  return step;
}

} // namespace latchslip
