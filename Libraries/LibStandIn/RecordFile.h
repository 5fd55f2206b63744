#pragma once

#include "LibBase/Result.h"
#include "LibStandIn/ServerState.h"

#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// Records of one stand-in server. The file has one JSON document a line, appended as events happen,
// so that the records of a killed server can still be audited. Times are microseconds on the
// machine's monotonic clock, which all its processes share.
struct ServerRecords
{
  std::string service_;
  std::string server_;
  unsigned slots_ = 0;
  bool checksGrants_ = true;
  std::vector<ExecutionRecord> executions_;
  std::vector<OwnershipRecord> ownerships_;
  std::size_t maxRunning_ = 0;
};

// The first line of the file: service, server, slots and whether the server checks grants.
std::string
SerializeHeader(const ServerRecords& aRecords);
std::string
SerializeExecution(const ExecutionRecord& aExecution, std::size_t aMaxRunning);
// A line with the same start time as the preceding ownership line replaces that line, so that the
// end of a renewed or revoked grant can be corrected.
std::string
SerializeOwnership(const OwnershipRecord& aOwnership);

// Ignores a last line without a line end, which a killed server leaves. The error names the field
// that is missing or invalid.
FieldResult<ServerRecords>
ParseServerRecords(std::string_view aText);

} // namespace latchslip
