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

// HTTP messages without the library that carries them.

using HttpHeader = std::pair<std::string, std::string>;

// The first header of that name, whatever its case; empty when there is none.
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

// As the status of a response: close the connection without an answer. Only
// stand-ins use it, to lose answers on purpose.
inline constexpr unsigned kNoAnswer = 0;

struct HttpResponse
{
  unsigned status_ = 200;
  std::vector<HttpHeader> headers_;
  // Not sent when empty.
  std::string contentType_ = "application/json";
  std::shared_ptr<const std::string> body_;
  // Whether the message tells where its body ends; otherwise its connection's
  // close does, and a cut cannot be told from the end.
  bool isFramed_ = true;

  std::string_view Header(std::string_view aName) const { return FindHeader(headers_, aName); }
};

HttpResponse
MakeHttpResponse(unsigned aStatus, std::string aBody);

// Undoes the percent encoding of one path segment; empty on a bad code.
std::string
DecodeSegment(std::string_view aSegment);
std::string
EncodeSegment(std::string_view aSegment);

// The segments of a path, still encoded.
std::vector<std::string>
SplitPath(std::string_view aTarget);

} // namespace latchslip
