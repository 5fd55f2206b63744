#pragma once

#include <cstdint>
#include <string_view>

namespace latchslip {

// The place of a key in the hash space of its service.
using KeyHash = std::uint64_t;

// Hashes a key. Every process and every release must agree on the result, so
// the function is XXH3 and not a hash that may differ between runs.
KeyHash
HashKey(std::string_view aKey);

// Combines two words into one hash that all processes agree on.
std::uint64_t
HashPair(std::string_view aFirst, std::string_view aSecond);

} // namespace latchslip
