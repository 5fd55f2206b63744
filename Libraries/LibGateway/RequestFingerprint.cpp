#include "LibGateway/RequestFingerprint.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace latchslip {

std::string
FormatFingerprint(RequestFingerprint aFingerprint)
{
  constexpr std::size_t kDigits = 16;
  std::array<char, kDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, aFingerprint);
  return text.data();
}

} // namespace latchslip
