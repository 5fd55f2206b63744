// Responses that are no valid HTTP, and odd ones that are.

#pragma once

#include <string>
#include <vector>

namespace latchslip {

// A response to the request with that id.
struct NamedResponse
{
  std::string name_;
  std::string bytes_;
};

// Responses whose status is none, or which have a blank or a control byte in the name of a field
// of the head, of an interim head or of the trailers.
std::vector<NamedResponse>
BrokenResponses(const std::string& aId);

// Valid responses with the body "hello" that look unusual.
std::vector<NamedResponse>
OddResponses(const std::string& aId);

// Returns a response with a length, that status line and the given further lines in its head.
std::string
MakeResponse(const std::string& aStatusLine, const std::string& aId, const std::string& aLines);

} // namespace latchslip
