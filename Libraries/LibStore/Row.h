#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// The count of writes that a row of the table service has seen; 0 means that
// the row does not exist.
using RowVersion = std::uint64_t;

// How often a store has come back from an older copy of itself. Versions go back then, and
// are given out again to other changes.
using StoreEpoch = std::uint64_t;

struct Row
{
  std::string key_;
  RowVersion version_ = 0;
  std::string value_;
};

// States which version of a row somebody has or expects.
struct RowStamp
{
  std::string key_;
  RowVersion version_ = 0;

  bool operator==(const RowStamp&) const = default;
};

struct RowWrite
{
  std::string key_;
  std::string value_;
};

// All writes take effect together, or none does: when a row named by a
// condition has another version, nothing is written.
struct Transaction
{
  std::vector<RowStamp> conditions_;
  std::vector<RowWrite> writes_;
};

enum class StoreStatus
{
  Done,
  // A condition failed; the rows of the answer say what stands instead.
  Conflict,
  // The answer was lost: the write may have taken effect or may still do so.
  Unsure,
  // The request was certainly not carried out.
  Unavailable,
};

struct StoreReply
{
  StoreStatus status_ = StoreStatus::Unavailable;
  // After a read the rows that exist, after a transaction those written or,
  // on a conflict, those that differ (version 0 when absent).
  std::vector<Row> rows_;
};

// The row of that key, or nothing.
const Row*
FindRow(const std::vector<Row>& aRows, std::string_view aKey);

} // namespace latchslip
