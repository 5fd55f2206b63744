#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// What an instance has met of one group since it last told.
struct GroupUse
{
  std::string group_;
  // Requests that came and can be answered in time.
  std::uint32_t asked_ = 0;
  // Those that cannot any more, as they come again after a refusal.
  std::uint32_t askedLate_ = 0;
  // Those of both that it let through.
  std::uint32_t passed_ = 0;

  bool operator==(const GroupUse&) const = default;
};

// What part of a group's requests each instance lets through for now, 1 for all.
struct GroupPart
{
  std::string group_;
  // Of those that can be answered in time.
  double part_ = 1;
  // Of the others, which get what is left.
  double latePart_ = 1;

  bool operator==(const GroupPart&) const = default;
};

using GroupUses = std::vector<GroupUse>;
using GroupParts = std::vector<GroupPart>;

// What one instance tells the keeper.
struct UseReport
{
  // Where the other instances reach the one that tells.
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

// How long a part holds that is not told again.
inline constexpr Duration kPartBound = milliseconds(1500);

} // namespace latchslip
