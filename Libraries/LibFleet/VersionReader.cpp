#include "LibFleet/VersionReader.h"

namespace latchslip {

FieldResult<RowVersion>
ReadVersion(const boost::json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(aName);
  if (value == nullptr) {
    return RowVersion{ 0 };
  }
  boost::system::error_code error;
  const auto version = value->to_number<RowVersion>(error);
  if (error) {
    return FieldError{ std::string(aName), "must be a whole number" };
  }
  return version;
}

} // namespace latchslip
