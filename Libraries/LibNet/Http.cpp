#include "LibNet/Http.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>

namespace latchslip {

std::string_view
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  const auto found = std::find_if(aHeaders.begin(), aHeaders.end(), [&](const HttpHeader& aHeader) {
    return boost::beast::iequals(aHeader.first, aName);
  });
  return found == aHeaders.end() ? std::string_view{} : std::string_view(found->second);
}

HttpResponse
MakeHttpResponse(unsigned aStatus, std::string aBody)
{
  HttpResponse response;
  response.status_ = aStatus;
  response.body_ = std::make_shared<const std::string>(std::move(aBody));
  return response;
}

HttpResponse
MakeLostResponse()
{
  HttpResponse response;
  response.isLost_ = true;
  return response;
}

std::string
DecodeSegment(std::string_view aSegment)
{
  std::string text;
  for (std::size_t index = 0; index < aSegment.size(); ++index) {
    if (aSegment[index] != '%') {
      text.push_back(aSegment[index]);
      continue;
    }
    const auto code = aSegment.substr(index + 1, 2);
    unsigned value = 0;
    const auto parsed = std::from_chars(code.data(), code.data() + code.size(), value, 16);
    if (code.size() != 2 || parsed.ptr != code.data() + 2) {
      return {};
    }
    text.push_back(static_cast<char>(value));
    index += 2;
  }
  return text;
}

std::string
EncodeSegment(std::string_view aSegment)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string text;
  for (const char letter : aSegment) {
    const auto code = static_cast<unsigned char>(letter);
    const bool isPlain = std::isalnum(code) != 0 || letter == '-' || letter == '_' || letter == '.';
    if (isPlain) {
      text.push_back(letter);
    } else {
      text.push_back('%');
      text.push_back(kDigits[code >> 4U]);
      text.push_back(kDigits[code & 15U]);
    }
  }
  return text;
}

std::vector<std::string>
SplitPath(std::string_view aTarget)
{
  const auto path = aTarget.substr(0, aTarget.find('?'));
  std::vector<std::string> segments;
  std::size_t start = 0;
  while (start < path.size()) {
    const auto end = std::min(path.find('/', start), path.size());
    if (end > start) {
      segments.emplace_back(path.substr(start, end - start));
    }
    start = end + 1;
  }
  return segments;
}

} // namespace latchslip
