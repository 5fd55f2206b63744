#pragma once

#include "LibBase/Result.h"
#include "LibStore/Row.h"

#include <boost/json.hpp>
#include <string_view>

namespace latchslip {

// Reads the version of a row or a table, which needs all 64 bits; 0 when there is none.
FieldResult<RowVersion>
ReadVersion(const boost::json::object& aObject, std::string_view aName);

} // namespace latchslip
