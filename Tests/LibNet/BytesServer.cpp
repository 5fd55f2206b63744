#include "BytesServer.h"

#include "LibNet/MonotonicClock.h"

#include <algorithm>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <memory>

namespace latchslip {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

} // namespace

class BytesServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(BytesServer& aServer, tcp::socket aSocket)
    : server_(aServer)
    , socket_(std::move(aSocket))
    , timer_(socket_.get_executor())
  {
  }

  void Read()
  {
    asio::async_read_until(socket_,
                           asio::dynamic_buffer(request_),
                           "\r\n\r\n",
                           [self = shared_from_this()](error_code aError, std::size_t aSize) {
                             if (aError) {
                               self->server_.closedAt_ = MonotonicNow();
                               return;
                             }
                             self->request_.erase(0, aSize);
                             // Another response may be prescribed while this one is sent.
                             self->bytes_ = self->server_.bytes_;
                             self->sent_ = 0;
                             self->Write();
                           });
  }

private:
  void Write()
  {
    const auto left = bytes_.size() - sent_;
    if (left == 0) {
      OnBytesSent();
      return;
    }
    const auto count = server_.pause_ > Duration(0) ? std::min(server_.pieceBytes_, left) : left;
    asio::async_write(socket_,
                      asio::buffer(bytes_.data() + sent_, count),
                      [self = shared_from_this(), count](error_code aError, std::size_t) {
                        if (aError) {
                          self->server_.closedAt_ = MonotonicNow();
                          return;
                        }
                        self->sent_ += count;
                        self->WriteLater();
                      });
  }

  void WriteLater()
  {
    timer_.expires_after(server_.pause_);
    timer_.async_wait([self = shared_from_this()](error_code) { self->Write(); });
  }

  void OnBytesSent()
  {
    if (!server_.endless_.empty()) {
      WriteEndless();
    } else if (server_.isClosing_) {
      error_code ignored;
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
    } else {
      Read();
    }
  }

  void WriteEndless()
  {
    asio::async_write(socket_,
                      asio::buffer(server_.endless_),
                      [self = shared_from_this()](error_code aError, std::size_t) {
                        if (aError) {
                          self->server_.closedAt_ = MonotonicNow();
                        } else {
                          self->WriteEndless();
                        }
                      });
  }

  BytesServer& server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::string request_;
  // The response to the last request, and how much of it is sent.
  std::string bytes_;
  std::size_t sent_ = 0;
};

BytesServer::BytesServer(asio::io_context& aContext)
  : acceptor_(aContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  , address_("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()))
{
  Accept();
}

void
BytesServer::Accept()
{
  acceptor_.async_accept([this](error_code aError, tcp::socket aSocket) {
    if (!aError) {
      ++connections_;
      std::make_shared<Connection>(*this, std::move(aSocket))->Read();
      Accept();
    }
  });
}

} // namespace latchslip
