#pragma once

#include <cstddef>
#include <string>

namespace latchslip {

// Returns the text aCount times in a row.
inline std::string
Repeat(const std::string& aText, std::size_t aCount)
{
  std::string text;
  text.reserve(aText.size() * aCount);
  for (std::size_t number = 0; number < aCount; ++number) {
    text += aText;
  }
  return text;
}

} // namespace latchslip
