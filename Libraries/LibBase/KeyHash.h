#pragma once

#include <cstdint>
#include <string_view>

namespace latchslip {

// Position of a key in the hash space of its service.
using KeyHash = std::uint64_t;

// Hashes a key. Every process and every release must compute the same value, so the function
// is XXH3 and not a hash that may differ between runs.
KeyHash
HashKey(std::string_view aKey);

// Hashes two words into one value that is the same in all processes.
std::uint64_t
HashPair(std::string_view aFirst, std::string_view aSecond);

} // namespace latchslip
