#pragma once

#include "LibBase/Result.h"
#include "LibStore/Row.h"

#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// Serializes and parses the JSON documents of the platform's table service.

std::string
SerializeTransaction(const Transaction& aTransaction);
FieldResult<Transaction>
ParseTransaction(std::string_view aText);

std::string
SerializeStamps(const std::vector<RowStamp>& aStamps);
FieldResult<std::vector<RowStamp>>
ParseStamps(std::string_view aText);

std::string
SerializeRows(const std::vector<Row>& aRows);
FieldResult<std::vector<Row>>
ParseRows(std::string_view aText);

} // namespace latchslip
