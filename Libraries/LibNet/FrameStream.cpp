#include "LibNet/FrameStream.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstring>

namespace latchslip {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kMaxMessageBytes = 48ULL * 1024 * 1024;
// A peer that does not read is disconnected when this many bytes are queued.
constexpr std::size_t kMaxQueuedBytes = 128ULL * 1024 * 1024;
constexpr std::size_t kWord = sizeof(std::uint64_t);

} // namespace

WireBytes
MakeFrame(std::span<const std::uint8_t> aMessage)
{
  WireBytes frame(kFrameHeaderBytes + aMessage.size(), 0);
  const auto size = static_cast<std::uint32_t>(aMessage.size());
  std::memcpy(frame.data(), &size, sizeof(size));
  std::memcpy(frame.data() + kFrameHeaderBytes, aMessage.data(), aMessage.size());
  return frame;
}

FrameStream::FrameStream(tcp::socket aSocket)
  : socket_(std::move(aSocket))
{
}

void
FrameStream::Start(FrameFunction aOnFrame, ClosedFunction aOnClosed)
{
  onFrame_ = std::move(aOnFrame);
  onClosed_ = std::move(aOnClosed);
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  ReadHeader();
}

std::size_t
FrameStream::Send(WireBytes aFrame)
{
  if (!socket_.is_open()) {
    return 0;
  }
  const auto size = aFrame.size();
  queuedBytes_ += size;
  queue_.push_back(std::move(aFrame));
  if (queuedBytes_ > kMaxQueuedBytes) {
    Close("send queue is full: the peer does not read");
  } else if (!isWriting_) {
    Write();
  }
  return size;
}

void
FrameStream::Close(const std::string& aReason)
{
  error_code ignored;
  socket_.close(ignored);
  if (auto closed = std::exchange(onClosed_, nullptr)) {
    closed(aReason);
  }
  onFrame_ = nullptr;
}

std::string
FrameStream::RemoteAddress() const
{
  error_code ignored;
  const auto endpoint = socket_.remote_endpoint(ignored);
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void
FrameStream::ReadHeader()
{
  asio::async_read(
    socket_, asio::buffer(header_), [self = shared_from_this()](error_code aError, std::size_t) {
      self->OnHeader(aError);
    });
}

void
FrameStream::OnHeader(error_code aError)
{
  if (aError) {
    Close(aError.message());
    return;
  }
  std::uint32_t size = 0;
  std::memcpy(&size, header_.data(), sizeof(size));
  if (size > kMaxMessageBytes || size % kWord != 0) {
    Close("invalid frame size");
    return;
  }
  // body_ has 8-byte elements so that the message is aligned.
  body_.resize(size / kWord);
  asio::async_read(
    socket_,
    asio::buffer(body_.data(), size),
    [self = shared_from_this()](error_code aFailure, std::size_t) { self->OnBody(aFailure); });
}

void
FrameStream::OnBody(error_code aError)
{
  if (aError) {
    Close(aError.message());
    return;
  }
  if (onFrame_) {
    // A copy, because the handler may close the stream, which destroys onFrame_.
    const auto handler = onFrame_;
    handler({ reinterpret_cast<const std::uint8_t*>(body_.data()), body_.size() * kWord });
  }
  if (socket_.is_open()) {
    ReadHeader();
  }
}

void
FrameStream::Write()
{
  isWriting_ = true;
  asio::async_write(
    socket_,
    asio::buffer(queue_.front()),
    [self = shared_from_this()](error_code aError, std::size_t) { self->OnWritten(aError); });
}

void
FrameStream::OnWritten(error_code aError)
{
  isWriting_ = false;
  queuedBytes_ -= queue_.front().size();
  queue_.pop_front();
  if (aError) {
    Close(aError.message());
  } else if (!queue_.empty() && socket_.is_open()) {
    Write();
  }
}

} // namespace latchslip
