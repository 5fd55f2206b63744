#pragma once

#include "LibInstance/Messages.h"
#include "LibStandIn/RecordFile.h"

#include <string>
#include <vector>

namespace latchslip {

// Compares what callers were told with what servers wrote down. Pure.

// One request as its caller saw it. Times are on the machine's monotonic clock.
struct CallerRecord
{
  std::string requestId_;
  std::string service_;
  KeyHash hash_ = 0;
  bool isRepeatable_ = false;
  RequestOutcome outcome_ = RequestOutcome::Unknown;
  Reason reason_ = Reason::None;
  // Whether an answer was whole and the one to this very request.
  bool isOwnAnswer_ = true;
  Instant startedAt_{ 0 };
  Instant endedAt_{ 0 };
};

std::string
SerializeCallerRecord(const CallerRecord& aRecord);
FieldResult<std::vector<CallerRecord>>
ParseCallerRecords(std::string_view aText);

struct AuditReport
{
  std::size_t requests_ = 0;
  std::size_t answered_ = 0;
  std::size_t notRun_ = 0;
  std::size_t unknown_ = 0;
  std::size_t executions_ = 0;
  // Each names one broken promise.
  std::vector<std::string> violations_;
};

// Checks: one owner of a key at any moment; a request that is not repeatable ran
// at most once; one that was told not to have run did not; one that was told to
// be answered ran; answers are whole and the caller's own; slots are kept.
AuditReport
Audit(const std::vector<CallerRecord>& aCallers, const std::vector<ServerRecords>& aServers);

// The longest time between two answers in a row, for each key, that began
// within the span. Longest first.
struct KeyGap
{
  KeyHash hash_ = 0;
  Duration gap_{ 0 };
};
std::vector<KeyGap>
LongestGaps(const std::vector<CallerRecord>& aCallers);

} // namespace latchslip
