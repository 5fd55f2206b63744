#pragma once

#include "LibGateway/LatencyHistogram.h"
#include "LibGateway/PermitStatistics.h"

#include <ostream>
#include <string>
#include <string_view>

namespace latchslip {

// The functions below write the Prometheus text format: one line per value, labels in braces.

// Writes the type of the metric aName.
void
WriteType(std::ostream& aText, std::string_view aName, std::string_view aType);

// Writes the cumulative buckets, sum and count. aLabels ends with a comma unless it is empty.
void
WriteHistogram(std::ostream& aText,
               std::string_view aName,
               const std::string& aLabels,
               const LatencyHistogram& aLatency);
void
WriteHistogram(std::ostream& aText,
               std::string_view aName,
               const std::string& aLabels,
               const FirstAnswerHistogram& aTimes);

} // namespace latchslip
