#include "ProxyLink.h"

#include "LoopbackProxy.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

namespace latchslip::platform {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Interval at which held-back bytes check whether the fault has ended.
constexpr Duration kHoldCheckInterval = milliseconds(20);

} // namespace

void
Reset(tcp::socket& aSocket)
{
  error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

ProxyLink::ProxyLink(asio::io_context& aContext, LoopbackProxy& aProxy, tcp::socket aClient)
  : proxy_(&aProxy)
  , toTarget_(aContext)
  , toClient_(aContext)
{
  toTarget_.from_ = std::make_shared<tcp::socket>(std::move(aClient));
  toClient_.from_ = std::make_shared<tcp::socket>(aContext);
  toTarget_.to_ = toClient_.from_;
  toClient_.to_ = toTarget_.from_;
  toClient_.isToClient_ = true;
}

void
ProxyLink::Start(const tcp::endpoint& aTarget)
{
  toClient_.from_->async_connect(aTarget, [self = shared_from_this()](error_code aError) {
    if (aError) {
      self->End();
      return;
    }
    error_code ignored;
    self->toTarget_.from_->set_option(tcp::no_delay(true), ignored);
    self->toClient_.from_->set_option(tcp::no_delay(true), ignored);
    self->Read(self->toTarget_);
    self->Read(self->toClient_);
  });
}

void
ProxyLink::Detach()
{
  proxy_ = nullptr;
  ResetBoth();
}

void
ProxyLink::Read(Direction& aDirection)
{
  aDirection.from_->async_read_some(
    asio::buffer(aDirection.buffer_),
    [self = shared_from_this(), &aDirection](error_code aError, std::size_t aSize) {
      if (aError && aError != asio::error::eof) {
        self->End();
        return;
      }
      aDirection.size_ = aSize;
      aDirection.isEnd_ = aError == asio::error::eof;
      self->WriteWhenAllowed(aDirection, self->Delay());
    });
}

void
ProxyLink::WriteWhenAllowed(Direction& aDirection, Duration aDelay)
{
  if (aDelay == Duration(0) && !IsHeldBack(aDirection)) {
    Write(aDirection);
    return;
  }
  aDirection.timer_.expires_after(std::max(aDelay, kHoldCheckInterval));
  aDirection.timer_.async_wait([self = shared_from_this(), &aDirection](error_code aError) {
    if (!aError) {
      self->WriteWhenAllowed(aDirection, Duration(0));
    }
  });
}

void
ProxyLink::Write(Direction& aDirection)
{
  if (aDirection.isEnd_) {
    error_code ignored;
    aDirection.to_->shutdown(tcp::socket::shutdown_send, ignored);
    if (std::exchange(hasClosedOneDirection_, true)) {
      End();
    }
    return;
  }
  asio::async_write(*aDirection.to_,
                    asio::buffer(aDirection.buffer_.data(), aDirection.size_),
                    [self = shared_from_this(), &aDirection](error_code aError, std::size_t) {
                      if (aError) {
                        self->End();
                      } else {
                        self->Read(aDirection);
                      }
                    });
}

Duration
ProxyLink::Delay() const
{
  const bool isDelayed = proxy_ != nullptr && proxy_->Fault() == LinkFault::Delayed;
  return isDelayed ? proxy_->Delay() : Duration(0);
}

bool
ProxyLink::IsHeldBack(const Direction& aDirection) const
{
  const auto fault = proxy_ == nullptr ? LinkFault::None : proxy_->Fault();
  return fault == LinkFault::BlackHole ||
         fault == (aDirection.isToClient_ ? LinkFault::HeldToClient : LinkFault::HeldToTarget);
}

void
ProxyLink::ResetBoth()
{
  Reset(*toTarget_.from_);
  Reset(*toClient_.from_);
}

void
ProxyLink::End()
{
  if (hasClosedOneDirection_) {
    error_code ignored;
    toTarget_.from_->close(ignored);
    toClient_.from_->close(ignored);
  } else {
    ResetBoth();
  }
  if (auto* proxy = std::exchange(proxy_, nullptr)) {
    proxy->OnLinkEnded(this);
  }
}

} // namespace latchslip::platform
