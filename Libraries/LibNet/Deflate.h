#pragma once

#include "LibBase/Result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace latchslip {

// The text in zlib's format (RFC 1950), at its quickest level: tables of the store, whose
// rows are much alike, come to about a sixth of their bytes.
std::string
Deflate(std::string_view aText);

// Undoes Deflate; an error for bytes that are cut off, malformed or come to more than
// aMost.
FieldResult<std::string>
Inflate(std::string_view aBytes, std::size_t aMost);

} // namespace latchslip
