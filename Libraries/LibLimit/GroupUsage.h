#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// Usage of one group at one instance since its last report.
struct GroupUsage
{
  std::string group_;
  // Requests that can be answered in time.
  std::uint32_t requests_ = 0;
  // Requests that can no longer be answered in time, because they are retries after a refusal.
  std::uint32_t lateRequests_ = 0;
  // Requests of both kinds that the instance admitted.
  std::uint32_t admitted_ = 0;

  bool operator==(const GroupUsage&) const = default;
};

// The fraction of a group's requests that each instance admits for now, 0 to 1; 1 admits all.
struct AdmittedShare
{
  std::string group_;
  // For requests that can be answered in time.
  double share_ = 1;
  // For late requests, which get the capacity that remains.
  double lateShare_ = 1;

  bool operator==(const AdmittedShare&) const = default;
};

using GroupUsages = std::vector<GroupUsage>;
using AdmittedShares = std::vector<AdmittedShare>;

// Usage report of one instance to the coordinator.
struct UsageReport
{
  // Address at which other instances reach the reporting one.
  std::string address_;
  GroupUsages usages_;

  bool operator==(const UsageReport&) const = default;
};

// JSON encoding of messages between instances. Parsing fails for malformed text.
std::string
SerializeUsageReport(const UsageReport& aReport);
FieldResult<UsageReport>
ParseUsageReport(std::string_view aText);

std::string
SerializeAdmittedShares(const AdmittedShares& aShares);
FieldResult<AdmittedShares>
ParseAdmittedShares(std::string_view aText);

// Lifetime of an admitted share that is not renewed.
inline constexpr Duration kAdmittedShareLifetime = milliseconds(1500);

} // namespace latchslip
