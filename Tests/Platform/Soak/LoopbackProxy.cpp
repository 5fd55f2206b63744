#include "LoopbackProxy.h"

#include "LibNet/Address.h"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace latchslip::platform {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// How often bytes that are held up look whether the fault has ended.
constexpr Duration kHeldCheck = milliseconds(20);

void
Reset(tcp::socket& aSocket)
{
  error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

} // namespace

// One connection through the proxy.
class ProxyLink : public std::enable_shared_from_this<ProxyLink>
{
public:
  ProxyLink(asio::io_context& aContext, LoopbackProxy& aProxy, tcp::socket aCaller)
    : proxy_(&aProxy)
    , forth_(aContext)
    , back_(aContext)
  {
    forth_.from_ = std::make_shared<tcp::socket>(std::move(aCaller));
    back_.from_ = std::make_shared<tcp::socket>(aContext);
    forth_.to_ = back_.from_;
    back_.to_ = forth_.from_;
    back_.isBack_ = true;
  }

  void Start(const tcp::endpoint& aTarget)
  {
    back_.from_->async_connect(aTarget, [self = shared_from_this()](error_code aError) {
      if (aError) {
        self->End();
        return;
      }
      error_code ignored;
      self->forth_.from_->set_option(tcp::no_delay(true), ignored);
      self->back_.from_->set_option(tcp::no_delay(true), ignored);
      self->Read(self->forth_);
      self->Read(self->back_);
    });
  }

  void ResetBoth()
  {
    Reset(*forth_.from_);
    Reset(*back_.from_);
  }

  // The proxy is gone; nothing more may be asked of it.
  void Orphan()
  {
    proxy_ = nullptr;
    ResetBoth();
  }

private:
  struct Direction
  {
    explicit Direction(asio::io_context& aContext)
      : timer_(aContext)
    {
    }
    std::shared_ptr<tcp::socket> from_;
    std::shared_ptr<tcp::socket> to_;
    asio::steady_timer timer_;
    std::array<char, 16384> buffer_{};
    std::size_t size_ = 0;
    bool isBack_ = false;
    bool isEnd_ = false;
  };

  void Read(Direction& aWay)
  {
    aWay.from_->async_read_some(
      asio::buffer(aWay.buffer_),
      [self = shared_from_this(), &aWay](error_code aError, std::size_t aSize) {
        if (aError && aError != asio::error::eof) {
          self->End();
          return;
        }
        aWay.size_ = aSize;
        aWay.isEnd_ = aError == asio::error::eof;
        self->Hold(aWay, self->Delay());
      });
  }

  Duration Delay() const
  {
    const bool isDelayed = proxy_ != nullptr && proxy_->fault_ == LinkFault::Delayed;
    return isDelayed ? proxy_->delay_ : Duration(0);
  }

  bool IsHeld(const Direction& aWay) const
  {
    const auto fault = proxy_ == nullptr ? LinkFault::None : proxy_->fault_;
    return fault == LinkFault::Silent ||
           fault == (aWay.isBack_ ? LinkFault::CutBack : LinkFault::CutForth);
  }

  void Hold(Direction& aWay, Duration aDelay)
  {
    if (aDelay == Duration(0) && !IsHeld(aWay)) {
      Write(aWay);
      return;
    }
    aWay.timer_.expires_after(std::max(aDelay, kHeldCheck));
    aWay.timer_.async_wait([self = shared_from_this(), &aWay](error_code aError) {
      if (!aError) {
        self->Hold(aWay, Duration(0));
      }
    });
  }

  void Write(Direction& aWay)
  {
    if (aWay.isEnd_) {
      error_code ignored;
      aWay.to_->shutdown(tcp::socket::shutdown_send, ignored);
      if (std::exchange(hasEndedOneWay_, true)) {
        End();
      }
      return;
    }
    asio::async_write(*aWay.to_,
                      asio::buffer(aWay.buffer_.data(), aWay.size_),
                      [self = shared_from_this(), &aWay](error_code aError, std::size_t) {
                        if (aError) {
                          self->End();
                        } else {
                          self->Read(aWay);
                        }
                      });
  }

  // A connection that broke on one side is reset on both.
  void End()
  {
    if (hasEndedOneWay_) {
      error_code ignored;
      forth_.from_->close(ignored);
      back_.from_->close(ignored);
    } else {
      ResetBoth();
    }
    if (auto* proxy = std::exchange(proxy_, nullptr)) {
      proxy->Forget(this);
    }
  }

  LoopbackProxy* proxy_;
  Direction forth_;
  Direction back_;
  bool hasEndedOneWay_ = false;
};

FieldResult<std::unique_ptr<LoopbackProxy>>
LoopbackProxy::Create(asio::io_context& aContext,
                      const std::string& aListen,
                      const std::string& aTarget)
{
  BOOST_OUTCOME_TRY(const auto target, ParseAddress(aTarget));
  BOOST_OUTCOME_TRY(auto acceptor, OpenAcceptor(aContext, aListen));
  return std::unique_ptr<LoopbackProxy>(new LoopbackProxy(aContext, std::move(acceptor), target));
}

LoopbackProxy::LoopbackProxy(asio::io_context& aContext,
                             tcp::acceptor aAcceptor,
                             tcp::endpoint aTarget)
  : context_(aContext)
  , acceptor_(std::move(aAcceptor))
  , target_(std::move(aTarget))
{
  Accept();
}

LoopbackProxy::~LoopbackProxy()
{
  for (const auto& link : links_) {
    link->Orphan();
  }
}

void
LoopbackProxy::Accept()
{
  acceptor_.async_accept([this](error_code aError, tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (!aError && fault_ == LinkFault::Reset) {
      Reset(aSocket);
    } else if (!aError) {
      links_.push_back(std::make_shared<ProxyLink>(context_, *this, std::move(aSocket)));
      links_.back()->Start(target_);
    }
    Accept();
  });
}

void
LoopbackProxy::Forget(const ProxyLink* aLink)
{
  links_.remove_if([&](const auto& aOther) { return aOther.get() == aLink; });
}

void
LoopbackProxy::SetFault(LinkFault aFault, Duration aDelay)
{
  fault_ = aFault;
  delay_ = aDelay;
  if (aFault == LinkFault::Reset) {
    const auto links = std::exchange(links_, {});
    for (const auto& link : links) {
      link->Orphan();
    }
  }
}

} // namespace latchslip::platform
