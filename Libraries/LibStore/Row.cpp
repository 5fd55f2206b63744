#include "LibStore/Row.h"

#include <algorithm>

namespace latchslip {

const Row*
FindRow(const std::vector<Row>& aRows, std::string_view aKey)
{
  const auto found =
    std::find_if(aRows.begin(), aRows.end(), [&](const Row& aRow) { return aRow.key_ == aKey; });
  return found == aRows.end() ? nullptr : &*found;
}

} // namespace latchslip
