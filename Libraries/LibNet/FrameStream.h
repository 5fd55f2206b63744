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

// A serialized message with its frame header.
using WireBytes = std::vector<std::uint8_t>;

// Size of the frame header before each message: the message's length in bytes as 4 bytes little
// endian, padded to 8 so that the message is aligned.
inline constexpr std::size_t kFrameHeaderBytes = 8;

// Prepends the frame header to a message, whose size must be a multiple of 8.
WireBytes
MakeFrame(std::span<const std::uint8_t> aMessage);

// Length-prefixed messages over one TCP connection. Received messages are aligned to 8 bytes.
// Sends are queued without waiting; a peer that lets the queue grow beyond 128 MB is
// disconnected.
class FrameStream : public std::enable_shared_from_this<FrameStream>
{
public:
  // Receives a message without its frame header.
  using FrameFunction = std::function<void(std::span<const std::uint8_t>)>;
  // Called once when the connection has closed, with the reason.
  using ClosedFunction = std::function<void(const std::string&)>;

  explicit FrameStream(boost::asio::ip::tcp::socket aSocket);

  // Starts reading. The stream keeps itself alive until it is closed.
  void Start(FrameFunction aOnFrame, ClosedFunction aOnClosed);
  // Queues a message that includes its frame header. Returns the number of bytes queued, 0 if
  // the connection is closed.
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
