#include "LibDaemon/PermitLinks.h"

#include "LibNet/Address.h"
#include "LibNet/MonotonicClock.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <vector>

namespace latchslip {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Many round trips within a region; after it the client uses another dispatcher.
constexpr Duration kConnectTimeout = milliseconds(300);
// The caller id of this instance at its own dispatcher.
constexpr CallerId kLocalCaller = 0;

// Returns the address without its port.
std::string
HostOf(const std::string& aAddress)
{
  return aAddress.substr(0, aAddress.rfind(':'));
}

} // namespace

PermitLinks::PermitLinks(asio::io_context& aContext,
                         std::string aSelf,
                         unsigned aPort,
                         const ServerDirectory& aDirectory,
                         LeavingObserver aLeavingObserver,
                         EventSink& aEvents)
  : context_(aContext)
  , self_(std::move(aSelf))
  , port_(aPort)
  , leavingObserver_(std::move(aLeavingObserver))
  , events_(aEvents)
  , client_(*this, aEvents)
  , dispatcher_(aDirectory, *this)
  , timer_(
      aContext,
      [this] { return dispatcher_.NextTime(); },
      [this](Instant aNow) { dispatcher_.OnTime(aNow); })
{
}

std::string
PermitLinks::PermitAddressOf(const std::string& aInstance) const
{
  return HostOf(aInstance) + ":" + std::to_string(port_);
}

FieldResult<void>
PermitLinks::Listen()
{
  BOOST_OUTCOME_TRY(auto acceptor, OpenAcceptor(context_, PermitAddressOf(self_)));
  acceptor_ = std::make_unique<tcp::acceptor>(std::move(acceptor));
  Accept();
  return outcome::success();
}

void
PermitLinks::Close()
{
  timer_.Cancel();
  acceptor_.reset();
  std::vector<std::shared_ptr<FrameStream>> streams;
  for (const auto& [address, link] : dispatcherLinks_) {
    streams.push_back(link.stream_);
  }
  for (const auto& [caller, link] : callerLinks_) {
    streams.push_back(link.stream_);
  }
  for (const auto& stream : streams) {
    stream->Close("instance is stopping");
  }
}

void
PermitLinks::Accept()
{
  acceptor_->async_accept([this](error_code aError, tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted || !acceptor_) {
      return;
    }
    if (!aError) {
      OnAccepted(std::move(aSocket));
    }
    Accept();
  });
}

void
PermitLinks::OnAccepted(tcp::socket aSocket)
{
  const auto caller = ++lastCaller_;
  auto stream = std::make_shared<FrameStream>(std::move(aSocket));
  callerLinks_[caller].stream_ = stream;
  stream->Start(
    [this, caller](std::span<const std::uint8_t> aBytes) { OnCallerFrame(caller, aBytes); },
    [this, caller](const std::string&) {
      callerLinks_.erase(caller);
      dispatcher_.OnCallerGone(MonotonicNow(), caller);
    });
}

std::optional<PermitBatch>
PermitLinks::ReadBatch(std::span<const std::uint8_t> aBytes, FrameStream& aStream)
{
  auto batch = DecodePermitBatch(aBytes);
  if (batch) {
    return std::move(batch).value();
  }
  events_.Record(Event::PeerRefused, "reason=\"" + batch.error().Describe() + "\"");
  // Closing removes the stream from the links, so this reference keeps it alive meanwhile.
  const auto stream = aStream.shared_from_this();
  stream->Close("received a malformed batch");
  return std::nullopt;
}

void
PermitLinks::OnCallerFrame(CallerId aCaller, std::span<const std::uint8_t> aBytes)
{
  const auto batch = ReadBatch(aBytes, *callerLinks_.at(aCaller).stream_);
  if (!batch) {
    return;
  }
  const auto now = MonotonicNow();
  for (const auto& message : batch->toDispatcher_) {
    dispatcher_.OnMessage(now, aCaller, message);
  }
  timer_.Arm();
}

void
PermitLinks::Connect(const std::string& aDispatcher)
{
  if (aDispatcher == self_) {
    asio::post(context_, [this] { client_.OnLinkUp(MonotonicNow(), self_); });
    return;
  }
  const auto attempt = ++lastAttempt_;
  pendingAttempts_[aDispatcher] = attempt;
  const auto endpoint = ParseAddress(PermitAddressOf(aDispatcher));
  if (!endpoint) {
    events_.Record(Event::PeerRefused, "reason=\"" + endpoint.error().Describe() + "\"");
    asio::post(context_, [this, aDispatcher, attempt] { OnConnectFailed(aDispatcher, attempt); });
    return;
  }
  auto socket = std::make_shared<tcp::socket>(context_);
  auto timer = std::make_shared<asio::steady_timer>(context_, kConnectTimeout);
  timer->async_wait([socket](error_code aError) {
    if (!aError) {
      error_code ignored;
      socket->close(ignored);
    }
  });
  socket->async_connect(endpoint.value(),
                        [this, aDispatcher, attempt, socket, timer](error_code aError) {
                          timer->cancel();
                          if (aError || !socket->is_open()) {
                            OnConnectFailed(aDispatcher, attempt);
                          } else {
                            OnConnected(aDispatcher, attempt, std::move(*socket));
                          }
                        });
}

void
PermitLinks::OnConnectFailed(const std::string& aDispatcher, std::uint64_t aAttempt)
{
  if (const auto attempt = pendingAttempts_.find(aDispatcher);
      attempt != pendingAttempts_.end() && attempt->second == aAttempt) {
    pendingAttempts_.erase(attempt);
    client_.OnLinkDown(MonotonicNow(), aDispatcher);
  }
}

void
PermitLinks::OnConnected(const std::string& aDispatcher,
                         std::uint64_t aAttempt,
                         tcp::socket aSocket)
{
  const auto attempt = pendingAttempts_.find(aDispatcher);
  if (attempt == pendingAttempts_.end() || attempt->second != aAttempt) {
    return;
  }
  pendingAttempts_.erase(attempt);
  auto stream = std::make_shared<FrameStream>(std::move(aSocket));
  dispatcherLinks_[aDispatcher] = { stream, {} };
  stream->Start([this, aDispatcher](
                  std::span<const std::uint8_t> aBytes) { OnDispatcherFrame(aDispatcher, aBytes); },
                [this, aDispatcher, link = stream.get()](const std::string&) {
                  // Ignored if a newer link has replaced this one.
                  const auto open = dispatcherLinks_.find(aDispatcher);
                  if (open != dispatcherLinks_.end() && open->second.stream_.get() == link) {
                    dispatcherLinks_.erase(open);
                    client_.OnLinkDown(MonotonicNow(), aDispatcher);
                  }
                });
  client_.OnLinkUp(MonotonicNow(), aDispatcher);
}

void
PermitLinks::OnDispatcherFrame(const std::string& aDispatcher, std::span<const std::uint8_t> aBytes)
{
  const auto batch = ReadBatch(aBytes, *dispatcherLinks_.at(aDispatcher).stream_);
  if (!batch) {
    return;
  }
  const auto now = MonotonicNow();
  for (const auto& message : batch->fromDispatcher_) {
    client_.OnMessage(now, aDispatcher, message);
  }
}

void
PermitLinks::Disconnect(const std::string& aDispatcher)
{
  pendingAttempts_.erase(aDispatcher);
  if (const auto link = dispatcherLinks_.find(aDispatcher); link != dispatcherLinks_.end()) {
    const auto stream = link->second.stream_;
    dispatcherLinks_.erase(link);
    stream->Close("dispatcher does not respond");
  }
}

void
PermitLinks::Send(const std::string& aDispatcher, const MessageToDispatcher& aMessage)
{
  if (aDispatcher == self_) {
    localBatch_.toDispatcher_.push_back(aMessage);
  } else if (const auto link = dispatcherLinks_.find(aDispatcher); link != dispatcherLinks_.end()) {
    link->second.batch_.toDispatcher_.push_back(aMessage);
  }
  ScheduleFlush();
}

void
PermitLinks::Answer(CallerId aCaller, const MessageFromDispatcher& aMessage)
{
  if (aCaller == kLocalCaller) {
    localBatch_.fromDispatcher_.push_back(aMessage);
  } else if (const auto link = callerLinks_.find(aCaller); link != callerLinks_.end()) {
    link->second.batch_.fromDispatcher_.push_back(aMessage);
  }
  ScheduleFlush();
}

void
PermitLinks::RecordSuspension(const std::string& aServer, CallerId aCaller, Duration aTime)
{
  const auto link = callerLinks_.find(aCaller);
  events_.Record(Event::ServerSuspended,
                 "server=" + aServer + " reported_by=" +
                   (link == callerLinks_.end() ? "self" : link->second.stream_->RemoteAddress()) +
                   " suspended_us=" + std::to_string(aTime.count()));
}

void
PermitLinks::RecordResignation(std::size_t aComplaints, Duration aTime)
{
  events_.Record(Event::DispatcherResigned,
                 "complaints=" + std::to_string(aComplaints) +
                   " time_us=" + std::to_string(aTime.count()));
}

void
PermitLinks::ScheduleFlush()
{
  if (!isFlushScheduled_) {
    isFlushScheduled_ = true;
    asio::post(context_, [this] { Flush(); });
  }
}

void
PermitLinks::Flush()
{
  isFlushScheduled_ = false;
  std::vector<std::pair<std::shared_ptr<FrameStream>, PermitBatch>> full;
  const auto collect = [&](auto& aLinks) {
    for (auto& [key, link] : aLinks) {
      if (!link.batch_.IsEmpty()) {
        full.emplace_back(link.stream_, std::exchange(link.batch_, {}));
      }
    }
  };
  collect(dispatcherLinks_);
  collect(callerLinks_);
  for (const auto& [stream, batch] : full) {
    stream->Send(EncodePermitBatch(batch));
  }
  DeliverLocal();
}

void
PermitLinks::DeliverLocal()
{
  const auto batch = std::exchange(localBatch_, {});
  const auto now = MonotonicNow();
  for (const auto& message : batch.toDispatcher_) {
    dispatcher_.OnMessage(now, kLocalCaller, message);
  }
  for (const auto& message : batch.fromDispatcher_) {
    client_.OnMessage(now, self_, message);
  }
  timer_.Arm();
}

void
PermitLinks::OnTime()
{
  client_.OnTime(MonotonicNow());
}

} // namespace latchslip
