#include "LibDaemon/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <sstream>

namespace latchslip {

namespace {

namespace accumulators = boost::accumulators;
using accumulators::tag::p_square_quantile;

using QuantileSet = accumulators::accumulator_set<double, accumulators::stats<p_square_quantile>>;
using MomentSet = accumulators::accumulator_set<
  double,
  accumulators::stats<accumulators::tag::count, accumulators::tag::mean, accumulators::tag::max>>;

} // namespace

struct Metrics::Latency
{
  MomentSet moments_;
  QuantileSet median_{ accumulators::quantile_probability = 0.5 };
  QuantileSet p99_{ accumulators::quantile_probability = 0.99 };
};

Metrics::Metrics()
  : latency_(std::make_unique<Latency>())
{
}

Metrics::~Metrics() = default;

void
Metrics::OnAnswer(const WorkAnswer& aAnswer, Duration aLatency)
{
  ++outcomes_[static_cast<std::size_t>(aAnswer.outcome_)];
  ++reasons_[static_cast<std::size_t>(aAnswer.reason_)];
  const auto micros = static_cast<double>(aLatency.count());
  latency_->moments_(micros);
  latency_->median_(micros);
  latency_->p99_(micros);
}

std::string
Metrics::Render() const
{
  std::ostringstream text;
  for (std::size_t index = 0; index < outcomes_.size(); ++index) {
    text << "latchslip_requests_total{outcome=\"" << kRequestOutcomeNames.names_[index] << "\"} "
         << outcomes_[index] << '\n';
  }
  for (std::size_t index = 1; index < reasons_.size(); ++index) {
    text << "latchslip_refusals_total{reason=\"" << kReasonNames.names_[index] << "\"} "
         << reasons_[index] << '\n';
  }
  if (accumulators::count(latency_->moments_) > 0) {
    text << "latchslip_latency_mean_us " << accumulators::mean(latency_->moments_) << '\n'
         << "latchslip_latency_max_us " << accumulators::max(latency_->moments_) << '\n'
         << "latchslip_latency_p50_us " << accumulators::p_square_quantile(latency_->median_)
         << '\n'
         << "latchslip_latency_p99_us " << accumulators::p_square_quantile(latency_->p99_) << '\n';
  }
  return text.str();
}

} // namespace latchslip
