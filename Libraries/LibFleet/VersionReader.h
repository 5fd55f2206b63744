#pragma once

#include "LibBase/Result.h"
#include "LibConfig/JsonReader.h"
#include "LibStore/Row.h"

#include <string_view>

namespace latchslip {

// Reads the version of a row or a table; 0 when there is none.
FieldResult<RowVersion>
ReadVersion(const JsonReader& aReader, std::string_view aName);

} // namespace latchslip
