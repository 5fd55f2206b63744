#include "LibGateway/PermitStatistics.h"

#include <algorithm>

namespace latchslip {

void
FirstAnswerHistogram::Add(Duration aTime)
{
  const auto micros = static_cast<double>(aTime.count());
  const auto* bucket = std::lower_bound(kBounds.begin(), kBounds.end(), micros);
  ++buckets_.at(static_cast<std::size_t>(bucket - kBounds.begin()));
  sum_ += micros;
}

void
PermitStatistics::OnFirstAnswer(const std::string& aService, Duration aTime)
{
  services_[aService].firstAnswers_.Add(aTime);
}

void
PermitStatistics::OnUnanswered(const std::string& aService)
{
  ++services_[aService].unanswered_;
}

void
PermitStatistics::OnSendWithoutPermit(const std::string& aService)
{
  ++services_[aService].sendsWithoutPermit_;
}

void
PermitStatistics::KeepServices(const std::function<bool(const std::string&)>& aExists)
{
  std::erase_if(services_, [&](const auto& aEntry) { return !aExists(aEntry.first); });
}

} // namespace latchslip
