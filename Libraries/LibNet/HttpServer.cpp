#include "LibNet/HttpServer.h"

#include "LibNet/Address.h"
#include "LibNet/HttpSession.h"
#include "LibNet/MonotonicClock.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace latchslip {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Maximum interval of the check for connections that exceed the idle timeout.
constexpr Duration kIdleCheckInterval = seconds(1);

class BeastHttpServer : public HttpServer
{
public:
  BeastHttpServer(tcp::acceptor aAcceptor, HttpLimits aLimits, HttpHandler& aHandler)
    : acceptor_(std::move(aAcceptor))
    , idleTimer_(acceptor_.get_executor())
    , listener_(std::make_shared<HttpListener>(aLimits, aHandler))
  {
    Accept();
  }

  ~BeastHttpServer() override { BeginClose(); }

  void BeginDrain() override { listener_->isDraining_ = true; }

  void BeginClose() override
  {
    listener_->isDraining_ = true;
    AcceptBacklog();
    idleTimer_.cancel();
    error_code ignored;
    acceptor_.close(ignored);
    CloseIdleUntil(Instant::max());
  }

  std::size_t Connections() const override { return listener_->sessions_.size(); }

  std::size_t HeldBodyBytes() const override { return listener_->bodies_->Used(); }

  std::uint64_t RefusedBodies() const override { return listener_->refusedBodies_; }

  void SetLimits(HttpLimits aLimits) override { listener_->limits_ = aLimits; }

private:
  void Accept()
  {
    acceptor_.async_accept([this](error_code aError, tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted || !acceptor_.is_open()) {
        return;
      }
      if (!aError) {
        Serve(std::move(aSocket));
      }
      Accept();
    });
  }

  void Serve(tcp::socket aSocket)
  {
    // Above the limit a new connection is closed immediately rather than queued.
    if (listener_->sessions_.size() >= listener_->limits_.connections_ && !CloseOldestIdle()) {
      return;
    }
    error_code ignored;
    aSocket.set_option(tcp::no_delay(true), ignored);
    std::make_shared<HttpSession>(std::move(aSocket), listener_)->Start();
    ArmIdleTimer();
  }

  // Closes the connection that has been idle longest, to make room for a new one. Returns false
  // if all carry requests. Without this, refused clients that reconnect and leave their former
  // connections idle would use up the limit, and their new connections would be closed.
  bool CloseOldestIdle()
  {
    const auto& idle = listener_->idle_;
    for (auto next = idle.begin(); next != idle.end();) {
      // The iterator is advanced first, because a session that closes removes itself from the set.
      if ((next++)->second->CloseIfIdle()) {
        return true;
      }
    }
    return false;
  }

  // Schedules the next check of the idle timeout, as long as there are connections.
  void ArmIdleTimer()
  {
    if (isIdleTimerArmed_ || listener_->sessions_.empty() || !acceptor_.is_open()) {
      return;
    }
    isIdleTimerArmed_ = true;
    idleTimer_.expires_after(std::min<Duration>(listener_->limits_.idle_, kIdleCheckInterval));
    idleTimer_.async_wait([this](error_code aError) {
      if (aError) {
        return;
      }
      isIdleTimerArmed_ = false;
      CloseIdleUntil(MonotonicNow());
      ArmIdleTimer();
    });
  }

  void CloseIdleUntil(Instant aTime)
  {
    const auto& idle = listener_->idle_;
    for (auto next = idle.begin(); next != idle.end() && next->first <= aTime;) {
      (next++)->second->CloseIfIdle();
    }
  }

  // Accepts the connections in the kernel's backlog. Closing the listener would reset them and
  // lose the requests they carry.
  void AcceptBacklog()
  {
    error_code error;
    acceptor_.non_blocking(true, error);
    while (acceptor_.is_open() && !error) {
      tcp::socket socket(acceptor_.get_executor());
      acceptor_.accept(socket, error);
      if (!error) {
        Serve(std::move(socket));
      }
    }
  }

  tcp::acceptor acceptor_;
  asio::steady_timer idleTimer_;
  bool isIdleTimerArmed_ = false;
  std::shared_ptr<HttpListener> listener_;
};

} // namespace

FieldResult<std::unique_ptr<HttpServer>>
HttpServer::Create(asio::io_context& aContext,
                   const std::string& aAddress,
                   HttpLimits aLimits,
                   HttpHandler& aHandler)
{
  BOOST_OUTCOME_TRY(auto acceptor, OpenAcceptor(aContext, aAddress));
  return std::unique_ptr<HttpServer>(
    std::make_unique<BeastHttpServer>(std::move(acceptor), aLimits, aHandler));
}

} // namespace latchslip
