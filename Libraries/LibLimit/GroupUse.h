#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// Usage of one group at one instance since its last report.
struct GroupUse
{
  std::string group_;
  // Requests that can be answered in time.
  std::uint32_t asked_ = 0;
  // Requests that can no longer be answered in time, because they are retries after a refusal.
  std::uint32_t askedLate_ = 0;
  // Requests of both kinds that the instance admitted.
  std::uint32_t passed_ = 0;

  bool operator==(const GroupUse&) const = default;
};

// The fraction of a group's requests that each instance admits for now, 0 to 1; 1 admits all.
struct GroupPart
{
  std::string group_;
  // For requests that can be answered in time.
  double part_ = 1;
  // For late requests, which get the capacity that remains.
  double latePart_ = 1;

  bool operator==(const GroupPart&) const = default;
};

using GroupUses = std::vector<GroupUse>;
using GroupParts = std::vector<GroupPart>;

// Usage report of one instance to the coordinator.
struct UseReport
{
  // Address at which other instances reach the reporting one.
  // Encoding as JSON, which the instances exchange. Parsing fails for malformed text.
  std::string address_;
  GroupUses uses_;

  bool operator==(const UseReport&) const = default;
};

std::string
SerializeUseReport(const UseReport& aReport);
FieldResult<UseReport>
ParseUseReport(std::string_view aText);

std::string
SerializeParts(const GroupParts& aParts);
FieldResult<GroupParts>
ParseParts(std::string_view aText);

// Lifetime of an admitted share that is not renewed.
inline constexpr Duration kPartBound = milliseconds(1500);

} // namespace latchslip
