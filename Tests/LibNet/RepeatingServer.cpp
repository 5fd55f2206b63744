#include "RepeatingServer.h"

#include "LibBase/Time.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <optional>

namespace latchslip {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Time after a response at which a copy for an idle connection is sent.
constexpr Duration kIdleCopyDelay = milliseconds(10);

std::string
Encode(const RepeatingServer::Request& aRequest, const RepeatingServer::Reply& aReply)
{
  std::string text = "HTTP/1.1 " + std::to_string(aReply.status_) + " -\r\n";
  if (!aRequest.id_.empty()) {
    text += "X-Request-Id: " + aRequest.id_ + "\r\n";
  }
  return text + "Content-Length: 0\r\n\r\n";
}

} // namespace

// Reads one request after another and sends the replies.
class RepeatingServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(RepeatingServer& aServer, tcp::socket aSocket)
    : server_(aServer)
    , socket_(std::move(aSocket))
    , timer_(socket_.get_executor())
    , number_(++aServer.connections_)
  {
  }

  void Read()
  {
    request_.emplace();
    http::async_read(
      socket_, buffer_, *request_, [self = shared_from_this()](error_code aError, std::size_t) {
        if (!aError) {
          self->OnRequest();
        }
      });
  }

  void Close()
  {
    error_code ignored;
    socket_.close(ignored);
  }

private:
  void OnRequest()
  {
    server_.requests_.push_back({ number_, std::string((*request_)["X-Request-Id"]) });
    const auto reply = server_.answer_(server_.requests_.back());
    const auto response = Encode(server_.requests_.back(), reply);
    auto bytes = std::exchange(copyBeforeNext_, {});
    bytes += reply.isSent_ ? response : std::string();
    bytes += reply.copy_ == SecondCopy::AtOnce ? response : std::string();
    if (reply.copy_ == SecondCopy::BeforeNext) {
      copyBeforeNext_ = response;
    }
    Write(bytes);
    if (reply.copy_ == SecondCopy::WhileIdle) {
      timer_.expires_after(kIdleCopyDelay);
      timer_.async_wait([self = shared_from_this(), response](error_code aError) {
        if (!aError) {
          self->Write(response);
        }
      });
    }
    Read();
  }

  // Short enough for the socket's buffer.
  void Write(const std::string& aBytes)
  {
    error_code ignored;
    asio::write(socket_, asio::buffer(aBytes), ignored);
  }

  RepeatingServer& server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::size_t number_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request<http::string_body>> request_;
  std::string copyBeforeNext_;
};

RepeatingServer::RepeatingServer(asio::io_context& aContext, Answer aAnswer, std::uint16_t aPort)
  : acceptor_(aContext, tcp::endpoint(asio::ip::address_v4::loopback(), aPort))
  , answer_(std::move(aAnswer))
  , address_("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()))
{
  Accept();
}

RepeatingServer::~RepeatingServer()
{
  for (const auto& entry : open_) {
    if (const auto connection = entry.lock()) {
      connection->Close();
    }
  }
}

void
RepeatingServer::Accept()
{
  acceptor_.async_accept([this](error_code aError, tcp::socket aSocket) {
    if (aError) {
      return;
    }
    const auto connection = std::make_shared<Connection>(*this, std::move(aSocket));
    open_.push_back(connection);
    connection->Read();
    Accept();
  });
}

} // namespace latchslip
