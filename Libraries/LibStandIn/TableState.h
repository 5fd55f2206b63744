#pragma once

#include "LibStore/Row.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace latchslip {

// The rows of a small stand-in for the platform's table service. Pure: faults
// such as outages and lost answers are added by whoever uses it.
class TableState
{
public:
  StoreReply Apply(const Transaction& aTransaction);
  // Every named row that is newer than its stamp.
  StoreReply Read(const std::vector<RowStamp>& aStamps) const;

  std::uint64_t Writes() const { return writes_; }
  std::uint64_t Reads() const { return reads_; }
  const std::map<std::string, Row>& Rows() const { return rows_; }

private:
  std::map<std::string, Row> rows_;
  std::uint64_t writes_ = 0;
  mutable std::uint64_t reads_ = 0;
};

} // namespace latchslip
