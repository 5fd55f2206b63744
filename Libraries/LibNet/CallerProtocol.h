#pragma once

#include "LibBase/Result.h"
#include "LibInstance/Messages.h"
#include "LibNet/Http.h"

namespace latchslip {

// HTTP protocol between callers and an instance:
//   POST /v1/services/SERVICE/keys/KEY
// with the headers below. The first four are of requests, the last two of responses.

inline constexpr std::string_view kCallerGroupHeader = "Latchslip-Group";
inline constexpr std::string_view kCallerRequestIdHeader = "Latchslip-Request-Id";
inline constexpr std::string_view kCallerDeadlineHeader = "Latchslip-Deadline-Ms";
inline constexpr std::string_view kCallerRepeatableHeader = "Latchslip-Repeatable";
inline constexpr std::string_view kOutcomeHeader = "Latchslip-Outcome";
inline constexpr std::string_view kReasonHeader = "Latchslip-Reason";

// Applied to requests without a deadline header.
inline constexpr Duration kDefaultDeadline = seconds(5);
inline constexpr Duration kMaxDeadline = seconds(120);

// Parses a caller's request; an error names the header or the part of the path.
FieldResult<WorkRequest>
ParseCallerRequest(Instant aNow, const HttpRequest& aRequest);

// Builds the response for an answered, refused or failed request. Refused requests carry
// Retry-After in seconds and Latchslip-Retry-After-Ms in milliseconds.
HttpResponse
MakeCallerResponse(const WorkAnswer& aAnswer);
// Builds the response for a request that was rejected before it was run.
HttpResponse
MakeCallerError(unsigned aStatus, const FieldError& aError);

} // namespace latchslip
