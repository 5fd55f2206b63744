#pragma once

#include "LibDispatch/GrantManager.h"
#include "LibInstance/Messages.h"
#include "LibNet/Http.h"

#include <optional>
#include <string>
#include <string_view>

namespace latchslip {

// HTTP protocol between an instance and a backend server: grants and work.

// Headers of a work request.
inline constexpr std::string_view kFenceHeader = "Latchslip-Fence";
inline constexpr std::string_view kWorkHeader = "Latchslip-Work";
inline constexpr std::string_view kValidUntilHeader = "Latchslip-Valid-Until";
inline constexpr std::string_view kRequestIdHeader = "Latchslip-Request-Id";
inline constexpr std::string_view kGroupHeader = "Latchslip-Group";
// Response header: the request was not run, and why ("refused", "shed", "expired",
// "cancelled"). A response without it comes from the service itself.
inline constexpr std::string_view kNotRunHeader = "Latchslip-Not-Run";
inline constexpr std::string_view kRetryAfterHeader = "Latchslip-Retry-After-Ms";

HttpRequest
MakeGrantRequest(const GrantCommand& aCommand);
FieldResult<GrantCommand>
ParseGrantRequest(std::string_view aBody);
std::string
SerializeGrantReply(const GrantReply& aReply);
FieldResult<GrantReply>
ParseGrantReply(std::string_view aBody);

HttpRequest
MakeWorkRequest(const WorkCommand& aCommand);
// Interprets a server's response. A response with another work id counts as Broken.
WorkReply
ToWorkReply(const WorkCommand& aCommand, const HttpResponse& aResponse);

// Parses an unsigned decimal number; returns aDefault if the text is anything else.
std::uint64_t
ParseNumber(std::string_view aText, std::uint64_t aDefault);

} // namespace latchslip
