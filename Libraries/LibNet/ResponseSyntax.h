#pragma once

#include <string_view>

namespace latchslip {

// The rules of HTTP for responses, as far as the HTTP library does not check them or is not used.

// Whether the number is a status (RFC 9110, section 15).
bool
IsStatus(unsigned aStatus);

// Whether the text may be the name of a field (RFC 9110, section 5.1).
bool
IsFieldName(std::string_view aText);

// Whether the text may be the value of a field, in which no control bytes but tabs may stand (RFC
// 9110, section 5.5).
bool
IsFieldValue(std::string_view aText);

// Whether a line of a head or of trailers begins with a blank and otherwise reads as a field. The
// library takes such a line for the rest of the field before (obsolete line folding), and loses the
// field that was meant. aLines may go on behind the empty line that ends the head.
bool
HasFieldAfterBlank(std::string_view aLines);

// Returns the trailers of a chunked response. aEnd is the end of the response, and begins no later
// than its last chunk.
std::string_view
TrailersOf(std::string_view aEnd);

} // namespace latchslip
