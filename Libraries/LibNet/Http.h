#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace latchslip {

// HTTP messages as plain types, independent of the HTTP library.

using HttpHeader = std::pair<std::string, std::string>;

// Returns the value of the first header with that name, ignoring case; empty if there is none.
std::string_view
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName);

struct HttpRequest
{
  std::string method_;
  std::string target_;
  std::vector<HttpHeader> headers_;
  std::shared_ptr<const std::string> body_;

  std::string_view Header(std::string_view aName) const { return FindHeader(headers_, aName); }
};

struct HttpResponse
{
  unsigned status_ = 200;
  std::vector<HttpHeader> headers_;
  // Omitted if empty.
  std::string contentType_ = "application/json";
  std::shared_ptr<const std::string> body_;
  // Whether the message has a length or is chunked. Otherwise the body ends when the connection
  // closes, and a truncated body cannot be distinguished from a complete one.
  bool isFramed_ = true;
  // The connection is closed in place of a response. Only test doubles use it, to lose answers.
  bool isLost_ = false;

  std::string_view Header(std::string_view aName) const { return FindHeader(headers_, aName); }
};

HttpResponse
MakeHttpResponse(unsigned aStatus, std::string aBody);

// See HttpResponse::isLost_.
HttpResponse
MakeLostResponse();

// Percent-decodes one path segment; empty if an escape is malformed.
std::string
DecodeSegment(std::string_view aSegment);
// Percent-encodes one path segment.
std::string
EncodeSegment(std::string_view aSegment);

// Splits the path of a request target into its nonempty segments, still percent-encoded. The
// query is dropped.
std::vector<std::string>
SplitPath(std::string_view aTarget);

} // namespace latchslip
