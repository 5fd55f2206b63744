#include "LibFleet/VersionReader.h"

namespace latchslip {

namespace {

// Versions are whole numbers, which a double holds exactly up to here.
constexpr double kMostVersion = 9e15;

} // namespace

FieldResult<RowVersion>
ReadVersion(const JsonReader& aReader, std::string_view aName)
{
  BOOST_OUTCOME_TRY(const auto version, aReader.NumberOr(aName, 0, 0, kMostVersion));
  return static_cast<RowVersion>(version);
}

} // namespace latchslip
