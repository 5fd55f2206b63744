#pragma once

#include "LibBase/Time.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace latchslip {

// Histogram of the times to first answers of dispatchers, exported as a metric.
class FirstAnswerHistogram
{
public:
  // Upper bounds of the buckets in microseconds, from a round trip within a data hall to answers
  // that wait behind a full link.
  static constexpr std::array<double, 10> kBounds{ 500,    1'000,  2'000,   5'000,   10'000,
                                                   20'000, 40'000, 100'000, 400'000, 1'000'000 };

  void Add(Duration aTime);
  // Counts by bucket; one more than there are bounds, for times above the last bound.
  const std::array<std::uint64_t, kBounds.size() + 1>& Buckets() const { return buckets_; }
  // Sum of all times in microseconds.
  double Sum() const { return sum_; }

private:
  std::array<std::uint64_t, kBounds.size() + 1> buckets_{};
  double sum_ = 0;
};

// Counters of one service.
struct ServicePermitStatistics
{
  // Times from permit requests to their first answers.
  FirstAnswerHistogram firstAnswers_;
  // Permit requests without a first answer in time.
  std::uint64_t unanswered_ = 0;
  std::uint64_t sendsWithoutPermit_ = 0;
};

// Counters of the permit requests of one instance by service, for its metrics.
class PermitStatistics
{
public:
  void OnFirstAnswer(const std::string& aService, Duration aTime);
  void OnUnanswered(const std::string& aService);
  void OnSendWithoutPermit(const std::string& aService);

  // Drops the entries for which the predicate returns false.
  void KeepServices(const std::function<bool(const std::string&)>& aExists);

  const std::map<std::string, ServicePermitStatistics>& Services() const { return services_; }

private:
  std::map<std::string, ServicePermitStatistics> services_;
};

} // namespace latchslip
