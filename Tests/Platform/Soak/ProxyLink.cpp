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
constexpr Duration kHeldCheck = milliseconds(20);

} // namespace

void
Reset(tcp::socket& aSocket)
{
  error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

ProxyLink::ProxyLink(asio::io_context& aContext, LoopbackProxy& aProxy, tcp::socket aCaller)
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

void
ProxyLink::Start(const tcp::endpoint& aTarget)
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

void
ProxyLink::Orphan()
{
  proxy_ = nullptr;
  ResetBoth();
}

void
ProxyLink::Read(Direction& aWay)
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

void
ProxyLink::Hold(Direction& aWay, Duration aDelay)
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

void
ProxyLink::Write(Direction& aWay)
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

Duration
ProxyLink::Delay() const
{
  const bool isDelayed = proxy_ != nullptr && proxy_->Fault() == LinkFault::Delayed;
  return isDelayed ? proxy_->Delay() : Duration(0);
}

bool
ProxyLink::IsHeld(const Direction& aWay) const
{
  const auto fault = proxy_ == nullptr ? LinkFault::None : proxy_->Fault();
  return fault == LinkFault::Silent ||
         fault == (aWay.isBack_ ? LinkFault::CutBack : LinkFault::CutForth);
}

void
ProxyLink::ResetBoth()
{
  Reset(*forth_.from_);
  Reset(*back_.from_);
}

void
ProxyLink::End()
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

} // namespace latchslip::platform
