#include "LibBase/KeyHash.h"

#include <xxhash.h>

namespace latchslip {

KeyHash
HashKey(std::string_view aKey)
{
  return XXH3_64bits(aKey.data(), aKey.size());
}

std::uint64_t
HashPair(std::string_view aFirst, std::string_view aSecond)
{
  return XXH3_64bits_withSeed(aFirst.data(), aFirst.size(), HashKey(aSecond));
}

} // namespace latchslip
