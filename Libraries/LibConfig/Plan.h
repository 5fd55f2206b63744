#pragma once

#include "LibBase/Result.h"
#include "LibConfig/Declaration.h"

#include <cstdint>
#include <string>
#include <vector>

namespace latchslip {

// The changes that a declaration would make to the configuration. A plan is a document that
// the operator keeps; instances do not store it.
struct Plan
{
  // The revision of the configuration that the plan was made from.
  std::uint64_t baseRevision_ = 0;
  std::vector<std::string> changes_;
  Declaration declaration_;

  // Returns a hash of the base revision and the declaration.
  std::string Id() const;
};

Plan
MakePlan(std::uint64_t aBaseRevision, const Declaration& aCurrent, const Declaration& aRequested);

std::string
SerializePlan(const Plan& aPlan);

// Parses a plan. An edited plan is an error, because its id does not match any more.
FieldResult<Plan>
ParsePlan(std::string_view aText);

} // namespace latchslip
