#include "BrokenResponses.h"

namespace latchslip {

namespace {

const std::string kOk = "HTTP/1.1 200 OK";
const std::string kBody = "hello";
// Statuses outside 100 to 599 (RFC 9110, section 15).
const std::vector<std::string> kNoStatuses{ "000", "001", "099", "600", "666", "999" };
// Blanks and control bytes.
const std::vector<char> kForbiddenBytes{ ' ', '\t', '\0', '\x01', '\x0b', '\x1f', '\x7f' };

std::string
MakeHead(const std::string& aStatusLine, const std::string& aId, const std::string& aLines)
{
  return aStatusLine + "\r\nX-Request-Id: " + aId + "\r\nX-Response-Signature: s1\r\n" + aLines +
         "\r\n";
}

std::string
MakeChunked(const std::string& aId, const std::string& aTrailers)
{
  return MakeHead(kOk, aId, "Transfer-Encoding: chunked\r\n") + "5\r\n" + kBody + "\r\n0\r\n" +
         aTrailers + "\r\n";
}

// The name with the byte at its start, in its middle and at its end.
std::vector<NamedResponse>
SpoiledLines(const std::string& aName, const std::string& aValue, char aByte)
{
  const std::string byte(1, aByte);
  const auto line = ": " + aValue + "\r\n";
  const auto middle = aName.size() / 2;
  return { { "start", byte + aName + line },
           { "middle", aName.substr(0, middle) + byte + aName.substr(middle) + line },
           { "end", aName + byte + line } };
}

void
AddSpoiledNames(std::vector<NamedResponse>& aResponses, const std::string& aId, char aByte)
{
  const auto code = " byte " + std::to_string(static_cast<int>(aByte));
  const auto sound = MakeResponse(kOk, aId, "");
  for (const auto& [place, line] : SpoiledLines("X-Note", "1", aByte)) {
    const auto end = " at the " + place + code;
    aResponses.push_back({ "head" + end, MakeResponse(kOk, aId, line) });
    aResponses.push_back(
      { "first field" + end, kOk + "\r\n" + line + sound.substr(sound.find('\n') + 1) });
    aResponses.push_back(
      { "interim head" + end, MakeHead("HTTP/1.1 103 Early Hints", aId, line) + sound });
    aResponses.push_back({ "trailers" + end, MakeChunked(aId, line) });
    aResponses.push_back({ "second trailer" + end, MakeChunked(aId, "X-Sum: 1\r\n" + line) });
  }
  for (const auto& [place, line] : SpoiledLines("Content-Length", "2", aByte)) {
    aResponses.push_back({ "length at the " + place + code, MakeHead(kOk, aId, line) + kBody });
  }
  for (const auto& [place, line] : SpoiledLines("Transfer-Encoding", "chunked", aByte)) {
    aResponses.push_back(
      { "coding at the " + place + code,
        MakeHead(kOk, aId, line + "Content-Length: 15\r\n") + "5\r\nhello\r\n0\r\n\r\n" });
  }
}

} // namespace

std::string
MakeResponse(const std::string& aStatusLine, const std::string& aId, const std::string& aLines)
{
  return MakeHead(
           aStatusLine, aId, aLines + "Content-Length: " + std::to_string(kBody.size()) + "\r\n") +
         kBody;
}

std::vector<NamedResponse>
BrokenResponses(const std::string& aId)
{
  std::vector<NamedResponse> responses;
  for (const auto& status : kNoStatuses) {
    const auto line = "HTTP/1.1 " + status + " Trouble";
    responses.push_back({ "status " + status, MakeResponse(line, aId, "") });
    responses.push_back(
      { "status " + status + " without a length", MakeHead(line, aId, "") + kBody });
    responses.push_back(
      { "status " + status + " in chunks",
        MakeHead(line, aId, "Transfer-Encoding: chunked\r\n") + "5\r\nhello\r\n0\r\n\r\n" });
    responses.push_back({ "status " + status + " of another response",
                          MakeResponse(line, "other", "") + MakeResponse(kOk, aId, "") });
    responses.push_back(
      { "status " + status + " after an interim one",
        MakeHead("HTTP/1.1 100 Continue", aId, "") + MakeResponse(line, aId, "") });
  }
  for (const auto byte : kForbiddenBytes) {
    AddSpoiledNames(responses, aId, byte);
  }
  return responses;
}

std::vector<NamedResponse>
OddResponses(const std::string& aId)
{
  return {
    { "no reason", MakeResponse("HTTP/1.1 200 ", aId, "") },
    { "reason with obsolete text", MakeResponse("HTTP/1.1 200 \xfc\x80\t!", aId, "") },
    { "lowest final status", MakeResponse("HTTP/1.1 200 OK", aId, "") },
    { "unknown status", MakeResponse("HTTP/1.1 299 Odd", aId, "") },
    { "highest status", MakeResponse("HTTP/1.1 599 Odd", aId, "") },
    { "version 1.0", MakeResponse("HTTP/1.0 200 OK", aId, "") },
    { "all token bytes in a name", MakeResponse(kOk, aId, "!#$%&'*+-.^_`|~09azAZ: 1\r\n") },
    { "no blank before the value", MakeResponse(kOk, aId, "X-Note:1\r\n") },
    { "blanks around the value", MakeResponse(kOk, aId, "X-Note: \t 1 \t \r\n") },
    { "empty value", MakeResponse(kOk, aId, "X-Note:\r\nX-Other: \t\r\n") },
    { "obsolete text in a value", MakeResponse(kOk, aId, "X-Note: \x80\xff\r\n") },
    { "colons and blanks in a value", MakeResponse(kOk, aId, "X-Note: a b: c : d\r\n") },
    { "folded value", MakeResponse(kOk, aId, "X-Note: <a>;\r\n\t rel=next\r\n") },
    { "folded value with a colon", MakeResponse(kOk, aId, "X-Note: at\r\n \"12:30\"\r\n") },
    { "interim heads",
      MakeHead("HTTP/1.1 103 Early Hints", aId, "Link: <a>;\r\n rel=next\r\n") +
        MakeHead("HTTP/1.1 100 ", aId, "") + MakeResponse(kOk, aId, "") },
    { "trailers", MakeChunked(aId, "X-Sum: a\r\n folded\r\nX-Other:\r\n") },
    { "last chunk with an extension",
      MakeHead(kOk, aId, "Transfer-Encoding: chunked\r\n") +
        "5;a=b\r\nhello\r\n000;x=\"y: z\"\r\nX-Sum: 1\r\n\r\n" },
  };
}

} // namespace latchslip
