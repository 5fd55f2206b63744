#pragma once

#include "AnswerFault.h"
#include "LibBase/Time.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>

namespace latchslip::platform {

class LoopbackProxy;

// Closes a connection with a TCP reset, so that the peer sees a failure.
void
Reset(boost::asio::ip::tcp::socket& aSocket);

// One proxied connection: from a client to the target, and back.
class ProxyLink : public std::enable_shared_from_this<ProxyLink>
{
public:
  ProxyLink(boost::asio::io_context& aContext,
            LoopbackProxy& aProxy,
            boost::asio::ip::tcp::socket aClient);

  // Connects to the target and forwards bytes in both directions from then on.
  void Start(const boost::asio::ip::tcp::endpoint& aTarget);
  // Detaches the link from its proxy, which is being destroyed or drops the link, and resets both
  // connections.
  void Detach();

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
    // Bytes read and not yet written.
    std::array<char, 16384> buffer_{};
    std::size_t size_ = 0;
    // From the target to the client.
    bool isToClient_ = false;
    // End of stream was read in this direction.
    bool isEnd_ = false;
  };

  void Read(Direction& aDirection);
  // Writes the bytes read, after aDelay and once no fault holds them back.
  void WriteWhenAllowed(Direction& aDirection, Duration aDelay);
  void Write(Direction& aDirection);
  // Sends an answer of the target to the client, with the faults of the proxy's answers.
  void WriteAnswer(Direction& aDirection);
  // Sends the same bytes without end, until the client closes the connection.
  void WriteEndless();
  // Sends bytes that are short enough for the socket's buffer.
  void WriteNow(const std::string& aBytes);
  Duration Delay() const;
  bool IsHeldBack(const Direction& aDirection) const;
  void ResetBoth();
  // Ends the link. If one connection failed, both are reset.
  void End();

  // Null once the proxy has dropped this link.
  LoopbackProxy* proxy_;
  Direction toTarget_;
  Direction toClient_;
  AnswerDisturber disturber_;
  // The answer that is being sent.
  SentAnswer sent_;
  boost::asio::steady_timer lateTimer_;
  bool hasClosedOneDirection_ = false;
};

} // namespace latchslip::platform
