#pragma once

#include "LibDispatch/GrantManager.h"
#include "LibInstance/Messages.h"
#include "LibNet/Http.h"

#include <optional>
#include <string>
#include <string_view>

namespace latchslip {

// The HTTP messages between an instance and a backend server.

// Headers of a request for work.
inline constexpr std::string_view kFenceHeader = "Latchslip-Fence";
inline constexpr std::string_view kWorkHeader = "Latchslip-Work";
inline constexpr std::string_view kValidUntilHeader = "Latchslip-Valid-Until";
inline constexpr std::string_view kRequestIdHeader = "Latchslip-Request-Id";
inline constexpr std::string_view kGroupHeader = "Latchslip-Group";
// In an answer: the request was not run, and why ("refused", "shed", "expired",
// "cancelled"). Without it the answer is the service's own.
inline constexpr std::string_view kNotRunHeader = "Latchslip-Not-Run";
inline constexpr std::string_view kRetryAfterHeader = "Latchslip-Retry-After-Ms";

HttpRequest
MakeGrantRequest(const GrantCommand& aOrder);
FieldResult<GrantCommand>
ParseGrantRequest(std::string_view aBody);
std::string
SerializeGrantReply(const GrantReply& aReply);
FieldResult<GrantReply>
ParseGrantReply(std::string_view aBody);

HttpRequest
MakeWorkRequest(const WorkCommand& aOrder);
// Also checks that the answer is for this very work.
WorkReply
ToWorkReply(const WorkCommand& aOrder, const HttpResponse& aResponse);

std::uint64_t
ParseNumber(std::string_view aText, std::uint64_t aDefault);

} // namespace latchslip
