#pragma once

#include "LibInstance/Messages.h"
#include "LibStandIn/RecordFile.h"

#include <string>
#include <vector>

namespace latchslip {

// One request as its caller saw it. Times are on the machine's monotonic clock.
struct CallerRecord
{
  std::string requestId_;
  std::string service_;
  KeyHash hash_ = 0;
  bool isRepeatable_ = false;
  RequestOutcome outcome_ = RequestOutcome::Unknown;
  Reason reason_ = Reason::None;
  // Whether the answer was complete and belonged to this request.
  bool isMatchingAnswer_ = true;
  Instant startedAt_{ 0 };
  Instant endedAt_{ 0 };
};

// One JSON document, without a line end.
std::string
SerializeCallerRecord(const CallerRecord& aRecord);
// Parses one JSON document a line. The error names the field that is missing or invalid.
FieldResult<std::vector<CallerRecord>>
ParseCallerRecords(std::string_view aText);

struct AuditReport
{
  std::size_t requests_ = 0;
  std::size_t answered_ = 0;
  std::size_t notRun_ = 0;
  std::size_t unknown_ = 0;
  std::size_t executions_ = 0;
  // One line of text per violation, at most 50; each begins with the name of the invariant.
  std::vector<std::string> violations_;
};

// Compares the outcomes that callers received with the records that servers wrote. Checks that a
// key has one owner at any time; that a request that is not repeatable ran at most once; that
// requests answered "not run" did not run and answered ones did; that answers are complete and
// belong to their request; and that no server ran more requests at once than it has slots. Pure
// function.
AuditReport
Audit(const std::vector<CallerRecord>& aCallers, const std::vector<ServerRecords>& aServers);

// The longest time between two consecutive answers for a key.
struct KeyGap
{
  KeyHash hash_ = 0;
  Duration gap_{ 0 };
};
// One entry for each key that had an answer, longest gap first.
std::vector<KeyGap>
LongestGaps(const std::vector<CallerRecord>& aCallers);

} // namespace latchslip
