#pragma once

#include "LibBase/Result.h"
#include "LibConfig/Declaration.h"

#include <cstdint>
#include <string>
#include <vector>

namespace latchslip {

// What would change if a declaration came into force. A plan is a document that
// the operator keeps; the system remembers none of it.
struct Plan
{
  // The revision of the configuration that the plan was made from.
  std::uint64_t baseRevision_ = 0;
  std::vector<std::string> changes_;
  Declaration declaration_;

  // Identifies exactly this plan: base and declaration.
  std::string Id() const;
};

Plan
MakePlan(std::uint64_t aBaseRevision, const Declaration& aCurrent, const Declaration& aWanted);

std::string
SerializePlan(const Plan& aPlan);

// Reads a plan back; an edited plan is an error, since its id no longer fits.
FieldResult<Plan>
ParsePlan(std::string_view aText);

} // namespace latchslip
