#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace latchslip {

// Maps the values of an enumeration to names. The names are listed in the order of the
// values, which start at 0.
template<typename Enum, std::size_t Count>
struct NameTable
{
  std::array<std::string_view, Count> names_;

  constexpr std::string_view NameOf(Enum aValue) const
  {
    return names_.at(static_cast<std::size_t>(aValue));
  }

  constexpr std::optional<Enum> ValueOf(std::string_view aName) const
  {
    for (std::size_t index = 0; index < Count; ++index) {
      if (names_[index] == aName) {
        return static_cast<Enum>(index);
      }
    }
    return std::nullopt;
  }
};

} // namespace latchslip
