#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace latchslip {

// A message as it goes over the wire, framing included.
using WireBytes = std::vector<std::uint8_t>;

// Each message on the wire follows its length in bytes, 4 bytes little endian,
// padded to 8 so that the message is aligned.
inline constexpr std::size_t kFrameHeaderBytes = 8;

// Puts the length before a message; its size must be a multiple of 8.
WireBytes
FrameOf(std::span<const std::uint8_t> aMessage);

// One TCP connection that carries framed messages, each aligned to 8 bytes.
class FrameStream : public std::enable_shared_from_this<FrameStream>
{
public:
  // Gets a message without its length.
  using FrameFunction = std::function<void(std::span<const std::uint8_t>)>;
  // Gets the reason.
  using ClosedFunction = std::function<void(const std::string&)>;

  explicit FrameStream(boost::asio::ip::tcp::socket aSocket);

  void Start(FrameFunction aOnFrame, ClosedFunction aOnClosed);
  // Takes a message with its length; how many bytes will be sent.
  std::size_t Send(WireBytes aFrame);
  void Close(const std::string& aReason);
  std::string RemoteAddress() const;

private:
  void ReadHeader();
  void OnHeader(boost::system::error_code aError);
  void OnBody(boost::system::error_code aError);
  void Write();
  void OnWritten(boost::system::error_code aError);

  boost::asio::ip::tcp::socket socket_;
  std::array<std::uint8_t, kFrameHeaderBytes> header_{};
  std::vector<std::uint64_t> body_;
  std::deque<WireBytes> queue_;
  std::size_t queuedBytes_ = 0;
  bool isWriting_ = false;
  FrameFunction onFrame_;
  ClosedFunction onClosed_;
};

} // namespace latchslip
