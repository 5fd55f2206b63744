#pragma once

#include "LibBase/Result.h"
#include "LibStandIn/ServerState.h"

#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// What a stand-in server wrote down, one JSON document a line, so that the
// records of a killed server can still be audited. Times are microseconds on
// the monotonic clock of the machine, which its processes share.
struct ServerRecords
{
  std::string service_;
  std::string server_;
  unsigned slots_ = 0;
  bool checksGrants_ = true;
  std::vector<ExecutionRecord> executions_;
  std::vector<OwnershipRecord> ownerships_;
  std::size_t mostRunning_ = 0;
};

std::string
SerializeHeader(const ServerRecords& aRecords);
std::string
SerializeExecution(const ExecutionRecord& aExecution, std::size_t aMostRunning);
// A later line for the same beginning replaces the earlier one.
std::string
SerializeOwnership(const OwnershipRecord& aOwnership);

// A last line that was cut off by a kill is passed over.
FieldResult<ServerRecords>
ParseRecords(std::string_view aText);

} // namespace latchslip
