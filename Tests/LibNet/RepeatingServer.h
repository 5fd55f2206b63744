#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace latchslip {

// Test double of a server that sends some responses a second time. aAnswer builds the response to a
// request; the test says when the second copy is sent. Each response names its request in the
// header X-Request-Id, if the request has one.
class RepeatingServer
{
public:
  enum class SecondCopy
  {
    None,
    // Together with the response.
    AtOnce,
    // While the connection is idle.
    WhileIdle,
    // In the place of the next response on the connection.
    BeforeNext,
  };

  struct Request
  {
    // Number of the connection, counted from 1 in the order in which they were opened.
    std::size_t connection_ = 0;
    std::string id_;
  };

  struct Reply
  {
    unsigned status_ = 200;
    SecondCopy copy_ = SecondCopy::None;
    // The response is sent, too. If not set, only the second copies of earlier ones are.
    bool isSent_ = true;
  };

  // Returns the reply to a request. The argument is the last element of Requests().
  using Answer = std::function<Reply(const Request&)>;

  // Listens on a port of 127.0.0.1; on a free one if aPort is 0.
  RepeatingServer(boost::asio::io_context& aContext, Answer aAnswer, std::uint16_t aPort = 0);
  // Closes all connections.
  ~RepeatingServer();
  RepeatingServer(const RepeatingServer&) = delete;
  RepeatingServer& operator=(const RepeatingServer&) = delete;

  const std::string& Address() const { return address_; }
  std::uint16_t Port() const { return acceptor_.local_endpoint().port(); }
  const std::vector<Request>& Requests() const { return requests_; }

private:
  class Connection;

  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  Answer answer_;
  std::string address_;
  std::vector<Request> requests_;
  std::size_t connections_ = 0;
  std::vector<std::weak_ptr<Connection>> open_;
};

} // namespace latchslip
