#include "LibDaemon/MetricsText.h"

namespace latchslip {

namespace {

template<typename Histogram>
void
WriteBuckets(std::ostream& aText,
             std::string_view aName,
             const std::string& aLabels,
             const Histogram& aHistogram)
{
  std::uint64_t total = 0;
  const auto& buckets = aHistogram.Buckets();
  for (std::size_t index = 0; index < Histogram::kBounds.size(); ++index) {
    total += buckets.at(index);
    aText << "latchslip_" << aName << "_bucket{" << aLabels << "le=\""
          << Histogram::kBounds.at(index) << "\"} " << total << '\n';
  }
  total += buckets.back();
  const auto labels =
    aLabels.empty() ? std::string() : "{" + aLabels.substr(0, aLabels.size() - 1) + "}";
  aText << "latchslip_" << aName << "_bucket{" << aLabels << "le=\"+Inf\"} " << total << '\n'
        << "latchslip_" << aName << "_sum" << labels << ' ' << aHistogram.Sum() << '\n'
        << "latchslip_" << aName << "_count" << labels << ' ' << total << '\n';
}

} // namespace

void
WriteType(std::ostream& aText, std::string_view aName, std::string_view aType)
{
  aText << "# TYPE latchslip_" << aName << ' ' << aType << '\n';
}

void
WriteHistogram(std::ostream& aText,
               std::string_view aName,
               const std::string& aLabels,
               const LatencyHistogram& aLatency)
{
  WriteBuckets(aText, aName, aLabels, aLatency);
}

void
WriteHistogram(std::ostream& aText,
               std::string_view aName,
               const std::string& aLabels,
               const FirstAnswerHistogram& aTimes)
{
  WriteBuckets(aText, aName, aLabels, aTimes);
}

} // namespace latchslip
