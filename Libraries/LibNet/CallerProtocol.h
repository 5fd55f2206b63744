#pragma once

#include "LibBase/Result.h"
#include "LibInstance/Messages.h"
#include "LibNet/Http.h"

namespace latchslip {

// The HTTP messages between a caller and an instance:
//   POST /v1/services/SERVICE/keys/KEY
// with the headers below.

inline constexpr std::string_view kCallerGroupHeader = "Latchslip-Group";
inline constexpr std::string_view kCallerRequestIdHeader = "Latchslip-Request-Id";
inline constexpr std::string_view kCallerDeadlineHeader = "Latchslip-Deadline-Ms";
inline constexpr std::string_view kCallerRepeatableHeader = "Latchslip-Repeatable";
inline constexpr std::string_view kOutcomeHeader = "Latchslip-Outcome";
inline constexpr std::string_view kReasonHeader = "Latchslip-Reason";

// What a caller gets who states no deadline.
inline constexpr Duration kDefaultDeadline = seconds(5);
inline constexpr Duration kMostDeadline = seconds(120);

// Reads a caller's request; the error names the header or the part of the path.
FieldResult<WorkRequest>
ParseCallerRequest(Instant aNow, const HttpRequest& aRequest);

HttpResponse
MakeCallerResponse(const WorkAnswer& aAnswer);
HttpResponse
MakeCallerError(unsigned aStatus, const FieldError& aError);

} // namespace latchslip
