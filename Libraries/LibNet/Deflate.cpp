#include "LibNet/Deflate.h"

#include <algorithm>
#include <array>
#include <zlib.h>

namespace latchslip {

namespace {

// RAII wrapper of a zlib inflate stream.
class InflateStream
{
public:
  explicit InflateStream(std::string_view aBytes)
    : bytes_(aBytes)
  {
    stream_.next_in = reinterpret_cast<Bytef*>(bytes_.data());
    stream_.avail_in = static_cast<uInt>(bytes_.size());
    isReady_ = inflateInit(&stream_) == Z_OK;
  }
  InflateStream(const InflateStream&) = delete;
  InflateStream& operator=(const InflateStream&) = delete;
  ~InflateStream()
  {
    if (isReady_) {
      inflateEnd(&stream_);
    }
  }

  // Decompresses the next piece and appends it to aText. Returns zlib's result code.
  int Step(std::string& aText)
  {
    if (!isReady_) {
      return Z_STREAM_ERROR;
    }
    std::array<char, 16UL * 1024> piece{};
    stream_.next_out = reinterpret_cast<Bytef*>(piece.data());
    stream_.avail_out = static_cast<uInt>(piece.size());
    const int code = inflate(&stream_, Z_NO_FLUSH);
    aText.append(piece.data(), piece.size() - stream_.avail_out);
    return code;
  }

private:
  // A copy, because zlib's input pointer is not const.
  std::string bytes_;
  z_stream stream_{};
  bool isReady_ = false;
};

} // namespace

std::string
Deflate(std::string_view aText)
{
  auto length = compressBound(static_cast<uLong>(aText.size()));
  std::string bytes(length, '\0');
  // The buffer has the size from compressBound(), so only a failed allocation can be an error.
  const int code = compress2(reinterpret_cast<Bytef*>(bytes.data()),
                             &length,
                             reinterpret_cast<const Bytef*>(aText.data()),
                             static_cast<uLong>(aText.size()),
                             Z_BEST_SPEED);
  bytes.resize(code == Z_OK ? length : 0);
  return bytes;
}

FieldResult<std::string>
Inflate(std::string_view aBytes, std::size_t aMaxBytes)
{
  InflateStream stream(aBytes);
  std::string text;
  while (true) {
    const auto code = stream.Step(text);
    if (text.size() > aMaxBytes) {
      return FieldError{ "deflated text",
                         "is longer than " + std::to_string(aMaxBytes) + " bytes" };
    }
    if (code == Z_STREAM_END) {
      return text;
    }
    if (code != Z_OK) {
      return FieldError{ "deflated text", "is malformed or cut off" };
    }
  }
}

} // namespace latchslip
