#include "LibDaemon/MetricsText.h"

namespace latchslip {

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
  std::uint64_t total = 0;
  const auto& buckets = aLatency.Buckets();
  for (std::size_t index = 0; index < LatencyHistogram::kBounds.size(); ++index) {
    total += buckets.at(index);
    aText << "latchslip_" << aName << "_bucket{" << aLabels << "le=\""
          << LatencyHistogram::kBounds.at(index) << "\"} " << total << '\n';
  }
  total += buckets.back();
  const auto labels =
    aLabels.empty() ? std::string() : "{" + aLabels.substr(0, aLabels.size() - 1) + "}";
  aText << "latchslip_" << aName << "_bucket{" << aLabels << "le=\"+Inf\"} " << total << '\n'
        << "latchslip_" << aName << "_sum" << labels << ' ' << aLatency.Sum() << '\n'
        << "latchslip_" << aName << "_count" << labels << ' ' << total << '\n';
}

} // namespace latchslip
