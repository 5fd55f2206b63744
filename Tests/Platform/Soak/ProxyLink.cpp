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
// Time after an answer at which its late copy is sent.
constexpr Duration kLateCopyDelay = milliseconds(8);
// Bytes without end that come slowly: as many at a time, with pauses between them.
constexpr std::size_t kSlowBytes = 5;
constexpr Duration kSlowPause = milliseconds(100);

// Draws the faults of a connection; the connections differ.
unsigned
NextSeed()
{
  static unsigned seed = 0;
  return ++seed;
}

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
  , disturber_(NextSeed())
  , lateTimer_(aContext)
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
  if (aDirection.isToClient_ && proxy_ != nullptr) {
    WriteAnswer(aDirection);
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

void
ProxyLink::WriteAnswer(Direction& aDirection)
{
  sent_ = disturber_.Apply(proxy_->FaultOfAnswers(),
                           std::string_view(aDirection.buffer_.data(), aDirection.size_));
  if (!sent_.late_.empty()) {
    lateTimer_.expires_after(kLateCopyDelay);
    lateTimer_.async_wait(
      [self = shared_from_this(), copy = std::move(sent_.late_)](error_code aError) {
        if (!aError) {
          self->WriteNow(copy);
        }
      });
  }
  asio::async_write(*aDirection.to_,
                    asio::buffer(sent_.bytes_),
                    [self = shared_from_this(), &aDirection](error_code aError, std::size_t) {
                      if (aError) {
                        self->End();
                      } else if (!self->sent_.endless_.empty()) {
                        self->WriteEndless();
                      } else {
                        self->Read(aDirection);
                      }
                    });
}

void
ProxyLink::WriteEndless()
{
  const bool isSlow = proxy_ != nullptr && proxy_->FaultOfAnswers().isSlow_;
  const auto size = isSlow ? kSlowBytes : sent_.endless_.size();
  asio::async_write(*toClient_.to_,
                    asio::buffer(sent_.endless_, size),
                    [self = shared_from_this(), isSlow, size](error_code aError, std::size_t) {
                      if (aError || self->proxy_ == nullptr) {
                        self->End();
                        return;
                      }
                      std::rotate(self->sent_.endless_.begin(),
                                  self->sent_.endless_.begin() + static_cast<std::ptrdiff_t>(size),
                                  self->sent_.endless_.end());
                      self->toClient_.timer_.expires_after(isSlow ? kSlowPause : Duration(0));
                      self->toClient_.timer_.async_wait([self](error_code aEnd) {
                        if (!aEnd) {
                          self->WriteEndless();
                        }
                      });
                    });
}

void
ProxyLink::WriteNow(const std::string& aBytes)
{
  error_code ignored;
  asio::write(*toClient_.to_, asio::buffer(aBytes), ignored);
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
