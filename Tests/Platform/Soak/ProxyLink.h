#pragma once

#include "LibBase/Time.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>

namespace latchslip::platform {

class LoopbackProxy;

// Closes a connection so that the other side is told of a failure.
void
Reset(boost::asio::ip::tcp::socket& aSocket);

// One connection through a proxy: from a caller to the target, and back.
class ProxyLink : public std::enable_shared_from_this<ProxyLink>
{
public:
  ProxyLink(boost::asio::io_context& aContext,
            LoopbackProxy& aProxy,
            boost::asio::ip::tcp::socket aCaller);

  // Connects to the target and passes bytes on both ways from then on.
  void Start(const boost::asio::ip::tcp::endpoint& aTarget);
  // The proxy is gone, or drops this link; nothing more may be asked of it.
  void Orphan();

private:
  struct Direction
  {
    explicit Direction(boost::asio::io_context& aContext)
      : timer_(aContext)
    {
    }
    std::shared_ptr<boost::asio::ip::tcp::socket> from_;
    std::shared_ptr<boost::asio::ip::tcp::socket> to_;
    boost::asio::steady_timer timer_;
    // Bytes that were read and are to be written.
    std::array<char, 16384> buffer_{};
    std::size_t size_ = 0;
    // From the target to the caller.
    bool isBack_ = false;
    // No more bytes come this way.
    bool isEnd_ = false;
  };

  void Read(Direction& aWay);
  // Writes what was read, after that delay and once nothing holds it up.
  void Hold(Direction& aWay, Duration aDelay);
  void Write(Direction& aWay);
  Duration Delay() const;
  bool IsHeld(const Direction& aWay) const;
  void ResetBoth();
  // A connection that broke on one side is reset on both.
  void End();

  // Null once the proxy does not know this link any more.
  LoopbackProxy* proxy_;
  Direction forth_;
  Direction back_;
  bool hasEndedOneWay_ = false;
};

} // namespace latchslip::platform
