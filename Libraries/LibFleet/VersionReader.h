#pragma once

#include "LibBase/Result.h"
#include "LibStore/Row.h"

#include <boost/json.hpp>
#include <string_view>

namespace latchslip {

// Reads the version of a row or a table from a JSON member, with all 64 bits; 0 if the member is
// missing, an error if it is not a whole number.
FieldResult<RowVersion>
ReadVersion(const boost::json::object& aObject, std::string_view aName);

} // namespace latchslip
