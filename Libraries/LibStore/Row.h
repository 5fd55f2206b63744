#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// Version of a row in the table service: increases with every write; 0 if the row does not
// exist.
using RowVersion = std::uint64_t;

// How often the store has been restored from an older copy of itself. Row versions go back
// then and are assigned again to other changes.
using StoreEpoch = std::uint64_t;

struct Row
{
  std::string key_;
  RowVersion version_ = 0;
  std::string value_;
};

// A row key with the version that a process has or expects.
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

// An atomic conditional write. If a row named by a condition has another version, nothing is
// written.
struct Transaction
{
  std::vector<RowStamp> conditions_;
  std::vector<RowWrite> writes_;
};

enum class StoreStatus
{
  Done,
  // A condition failed; the reply contains the current rows.
  Conflict,
  // The answer was lost: the write may have taken effect or may still do so.
  Indeterminate,
  // The request was certainly not executed.
  Unavailable,
};

struct StoreReply
{
  StoreStatus status_ = StoreStatus::Unavailable;
  // After a read, the rows that exist; after a transaction, the rows written or, on a
  // conflict, those whose version differs (0 if absent).
  std::vector<Row> rows_;
};

// Returns the row with the key, or nullptr.
const Row*
FindRow(const std::vector<Row>& aRows, std::string_view aKey);

} // namespace latchslip
