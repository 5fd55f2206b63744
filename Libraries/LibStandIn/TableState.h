#pragma once

#include "LibStore/Row.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace latchslip {

// In-memory stand-in for the platform's table service: versioned rows, conditional multi-row
// transactions (compare-and-set on row versions) and reads by version. Does no I/O; callers
// simulate faults such as outages and lost answers.
class TableState
{
public:
  // Commits all writes if all conditions hold, and returns the new versions. Otherwise returns
  // Conflict with the rows whose versions differ.
  StoreReply Apply(const Transaction& aTransaction);
  // Returns each of the requested rows whose version is newer than in its stamp.
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
