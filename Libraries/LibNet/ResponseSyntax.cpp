#include "LibNet/ResponseSyntax.h"

#include <algorithm>
#include <cctype>

namespace latchslip {

namespace {

constexpr unsigned kFirstStatus = 100;
constexpr unsigned kLastStatus = 599;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kBlanks = " \t";
// Of a field name, beside letters and digits.
constexpr std::string_view kTokenSigns = "!#$%&'*+-.^_`|~";

bool
IsTokenByte(char aByte)
{
  const auto code = static_cast<unsigned char>(aByte);
  const bool isAscii = code < 0x80;
  return isAscii && (std::isalnum(code) != 0 || kTokenSigns.find(aByte) != std::string_view::npos);
}

bool
IsFieldAfterBlank(std::string_view aLine)
{
  const auto begin = aLine.find_first_not_of(kBlanks);
  if (begin == 0 || begin == std::string_view::npos) {
    return false;
  }
  auto name = aLine.substr(begin, aLine.find(':') - begin);
  if (begin + name.size() == aLine.size()) {
    return false;
  }
  name = name.substr(0, name.find_last_not_of(kBlanks) + 1);
  return IsFieldName(name);
}

// Whether the line is that of a last chunk: its size is zero, and extensions may follow.
bool
IsLastChunk(std::string_view aLine)
{
  const auto size = aLine.substr(0, aLine.find_first_of("; \t"));
  return !size.empty() && size.find_first_not_of('0') == std::string_view::npos;
}

} // namespace

bool
IsStatus(unsigned aStatus)
{
  return aStatus >= kFirstStatus && aStatus <= kLastStatus;
}

bool
IsFieldName(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), IsTokenByte);
}

bool
IsFieldValue(std::string_view aText)
{
  return std::none_of(aText.begin(), aText.end(), [](char aByte) {
    return aByte != '\t' && std::iscntrl(static_cast<unsigned char>(aByte)) != 0;
  });
}

bool
HasFieldAfterBlank(std::string_view aLines)
{
  while (!aLines.empty()) {
    const auto line = aLines.substr(0, aLines.find(kLineEnd));
    if (line.empty()) {
      return false;
    }
    if (IsFieldAfterBlank(line)) {
      return true;
    }
    aLines.remove_prefix(std::min(aLines.size(), line.size() + kLineEnd.size()));
  }
  return false;
}

std::string_view
TrailersOf(std::string_view aEnd)
{
  // Goes back from the empty line that ends the response, line by line.
  auto lines = aEnd.substr(0, aEnd.size() - std::min(aEnd.size(), kLineEnd.size()));
  while (lines.size() >= kLineEnd.size()) {
    const auto text = lines.substr(0, lines.size() - kLineEnd.size());
    const auto before = text.rfind(kLineEnd);
    const auto begin = before == std::string_view::npos ? 0 : before + kLineEnd.size();
    if (IsLastChunk(text.substr(begin))) {
      break;
    }
    lines = lines.substr(0, begin);
  }
  return aEnd.substr(lines.size());
}

} // namespace latchslip
