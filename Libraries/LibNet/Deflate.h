#pragma once

#include "LibBase/Result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace latchslip {

// Compresses a text in the zlib format (RFC 1950) at the fastest level. Tables of the store,
// whose rows are similar, shrink to about a sixth.
std::string
Deflate(std::string_view aText);

// Decompresses the output of Deflate(). Fails if the bytes are truncated or malformed, or if
// the text would be longer than aMaxBytes.
FieldResult<std::string>
Inflate(std::string_view aBytes, std::size_t aMaxBytes);

} // namespace latchslip
