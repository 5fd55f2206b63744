#include "LibNet/PeerNetwork.h"

#include "LibNet/Address.h"
#include "LibNet/PeerCodec.h"
#include "LibNet/PeerProof.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <deque>
#include <functional>
#include <map>

namespace latchslip {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kMostMessageBytes = 48ULL * 1024 * 1024;
// A peer that does not read is hung up on rather than waited for.
constexpr std::size_t kMostQueuedBytes = 128ULL * 1024 * 1024;
constexpr Duration kDialPause = milliseconds(200);
constexpr Duration kHandshakeLimit = seconds(2);

// One TCP connection that carries framed messages.
class FrameStream : public std::enable_shared_from_this<FrameStream>
{
public:
  using MessageFunction = std::function<void(const WireMessage&)>;
  using ClosedFunction = std::function<void(const std::string&)>;

  explicit FrameStream(tcp::socket aSocket)
    : socket_(std::move(aSocket))
  {
  }

  void Start(MessageFunction aOnMessage, ClosedFunction aOnClosed)
  {
    onMessage_ = std::move(aOnMessage);
    onClosed_ = std::move(aOnClosed);
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    ReadHeader();
  }

  std::size_t Send(const WireMessage& aMessage)
  {
    if (!socket_.is_open()) {
      return 0;
    }
    auto bytes = EncodeWire(aMessage);
    const auto size = bytes.size();
    queuedBytes_ += size;
    queue_.push_back(std::move(bytes));
    if (queuedBytes_ > kMostQueuedBytes) {
      Close("the peer does not read");
    } else if (!isWriting_) {
      Write();
    }
    return size;
  }

  void Close(const std::string& aReason)
  {
    error_code ignored;
    socket_.close(ignored);
    if (auto closed = std::exchange(onClosed_, nullptr)) {
      closed(aReason);
    }
    onMessage_ = nullptr;
  }

  std::string RemoteAddress() const
  {
    error_code ignored;
    const auto endpoint = socket_.remote_endpoint(ignored);
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  }

private:
  void ReadHeader()
  {
    asio::async_read(
      socket_, asio::buffer(header_), [self = shared_from_this()](error_code aError, std::size_t) {
        self->OnHeader(aError);
      });
  }

  void OnHeader(error_code aError)
  {
    if (aError) {
      Close(aError.message());
      return;
    }
    std::uint32_t size = 0;
    std::memcpy(&size, header_.data(), sizeof(size));
    if (size > kMostMessageBytes || size % 8 != 0) {
      Close("a frame of an impossible size");
      return;
    }
    // Words, so that the message is aligned.
    body_.resize(size / 8);
    asio::async_read(
      socket_,
      asio::buffer(body_.data(), size),
      [self = shared_from_this()](error_code aFailure, std::size_t) { self->OnBody(aFailure); });
  }

  void OnBody(error_code aError)
  {
    if (aError) {
      Close(aError.message());
      return;
    }
    auto message =
      DecodeWire({ reinterpret_cast<const std::uint8_t*>(body_.data()), body_.size() * 8 });
    if (!message) {
      Close(message.error().problem_);
      return;
    }
    if (onMessage_) {
      // A copy, because the handler may close the stream and so end itself.
      const auto handler = onMessage_;
      handler(message.value());
    }
    if (socket_.is_open()) {
      ReadHeader();
    }
  }

  void Write()
  {
    isWriting_ = true;
    asio::async_write(
      socket_,
      asio::buffer(queue_.front()),
      [self = shared_from_this()](error_code aError, std::size_t) { self->OnWritten(aError); });
  }

  void OnWritten(error_code aError)
  {
    isWriting_ = false;
    queuedBytes_ -= queue_.front().size();
    queue_.pop_front();
    if (aError) {
      Close(aError.message());
    } else if (!queue_.empty() && socket_.is_open()) {
      Write();
    }
  }

  tcp::socket socket_;
  std::array<std::uint8_t, kFrameHeaderBytes> header_{};
  std::vector<std::uint64_t> body_;
  std::deque<WireBytes> queue_;
  std::size_t queuedBytes_ = 0;
  bool isWriting_ = false;
  MessageFunction onMessage_;
  ClosedFunction onClosed_;
};

// The link that this instance dials to one peer, and dials again when it breaks.
class DialledLink : public std::enable_shared_from_this<DialledLink>
{
public:
  DialledLink(asio::io_context& aContext,
              const PeerNetwork::Settings& aSettings,
              PeerHandler& aHandler,
              std::string aAddress)
    : context_(aContext)
    , settings_(aSettings)
    , handler_(aHandler)
    , address_(std::move(aAddress))
    , timer_(aContext)
  {
  }

  void Dial()
  {
    const auto endpoint = ParseAddress(address_);
    if (isStopped_ || !endpoint) {
      return;
    }
    auto socket = std::make_shared<tcp::socket>(context_);
    ++attempt_;
    BoundHandshake(socket);
    socket->async_connect(endpoint.value(), [self = shared_from_this(), socket](error_code aError) {
      if (aError || self->isStopped_) {
        self->DialLater();
        return;
      }
      self->OnConnected(std::move(*socket));
    });
  }

  void Stop()
  {
    isStopped_ = true;
    timer_.cancel();
    if (stream_) {
      stream_->Close("no longer listed");
    }
  }

  bool IsUp() const { return isUp_; }
  const InstanceId& PeerId() const { return peer_; }
  const std::string& Address() const { return address_; }
  std::size_t Send(const PeerMessage& aMessage) { return stream_->Send(aMessage); }

private:
  // An address that swallows packets must not keep the link from being tried anew.
  void BoundHandshake(const std::shared_ptr<tcp::socket>& aSocket)
  {
    timer_.expires_after(kHandshakeLimit);
    timer_.async_wait([self = shared_from_this(), aSocket, attempt = attempt_](error_code aError) {
      if (aError || self->isUp_ || attempt != self->attempt_) {
        return;
      }
      error_code ignored;
      aSocket->close(ignored);
      if (self->stream_) {
        self->stream_->Close("the handshake took too long");
      }
    });
  }

  void DialLater()
  {
    if (isStopped_) {
      return;
    }
    timer_.expires_after(kDialPause);
    timer_.async_wait([self = shared_from_this()](error_code aError) {
      if (!aError) {
        self->Dial();
      }
    });
  }

  void OnConnected(tcp::socket aSocket)
  {
    stream_ = std::make_shared<FrameStream>(std::move(aSocket));
    stream_->Start(
      [self = shared_from_this()](const WireMessage& aMessage) { self->OnMessage(aMessage); },
      [self = shared_from_this()](const std::string&) { self->OnClosed(); });
  }

  void OnMessage(const WireMessage& aMessage)
  {
    if (const auto* challenge = std::get_if<PeerChallenge>(&aMessage)) {
      PeerHello hello{ settings_.self_, settings_.hall_, MakeNonce(), "" };
      hello.proof_ = ComputeProof(settings_.secret_, PeerRole::Dialler, challenge->nonce_, hello);
      nonce_ = hello.nonce_;
      stream_->Send(hello);
      return;
    }
    const auto* welcome = std::get_if<PeerHello>(&aMessage);
    if (welcome == nullptr || isUp_) {
      return;
    }
    const auto expected = ComputeProof(settings_.secret_, PeerRole::Acceptor, nonce_, *welcome);
    if (nonce_.empty() || !IsProofValid(expected, welcome->proof_)) {
      handler_.OnPeerRefused(address_, "its proof does not fit the fleet's secret");
      stream_->Close("refused");
      return;
    }
    timer_.cancel();
    isUp_ = true;
    peer_ = welcome->id_;
    handler_.OnPeerUp(peer_, welcome->hall_);
  }

  void OnClosed()
  {
    stream_.reset();
    nonce_.clear();
    if (std::exchange(isUp_, false)) {
      handler_.OnPeerDown(peer_);
    }
    DialLater();
  }

  asio::io_context& context_;
  const PeerNetwork::Settings& settings_;
  PeerHandler& handler_;
  std::string address_;
  asio::steady_timer timer_;
  std::shared_ptr<FrameStream> stream_;
  std::string nonce_;
  InstanceId peer_;
  std::uint64_t attempt_ = 0;
  bool isUp_ = false;
  bool isStopped_ = false;
};

// A link that a peer dialled to this instance; messages only come in on it.
class AcceptedLink : public std::enable_shared_from_this<AcceptedLink>
{
public:
  AcceptedLink(tcp::socket aSocket, const PeerNetwork::Settings& aSettings, PeerHandler& aHandler)
    : stream_(std::make_shared<FrameStream>(std::move(aSocket)))
    , settings_(aSettings)
    , handler_(aHandler)
    , challenge_(MakeNonce())
  {
  }

  void Start()
  {
    stream_->Start(
      [self = shared_from_this()](const WireMessage& aMessage) { self->OnMessage(aMessage); },
      [self = shared_from_this()](const std::string&) { self->OnClosed(); });
    stream_->Send(PeerChallenge{ challenge_ });
  }

private:
  void OnMessage(const WireMessage& aMessage)
  {
    if (!peer_.empty()) {
      if (const auto* message = std::get_if<PeerMessage>(&aMessage)) {
        handler_.OnPeerMessage(peer_, *message);
      }
      return;
    }
    const auto* hello = std::get_if<PeerHello>(&aMessage);
    const bool isProved =
      hello != nullptr &&
      IsProofValid(ComputeProof(settings_.secret_, PeerRole::Dialler, challenge_, *hello),
                   hello->proof_);
    if (!isProved) {
      handler_.OnPeerRefused(stream_->RemoteAddress(), "its proof does not fit the fleet's secret");
      stream_->Close("refused");
      return;
    }
    peer_ = hello->id_;
    PeerHello welcome{ settings_.self_, settings_.hall_, MakeNonce(), "" };
    welcome.proof_ = ComputeProof(settings_.secret_, PeerRole::Acceptor, hello->nonce_, welcome);
    stream_->Send(welcome);
  }

  void OnClosed()
  {
    if (!peer_.empty()) {
      handler_.OnPeerDown(peer_);
    }
  }

  std::shared_ptr<FrameStream> stream_;
  const PeerNetwork::Settings& settings_;
  PeerHandler& handler_;
  std::string challenge_;
  InstanceId peer_;
};

bool
IsWorkMessage(const PeerMessage& aMessage)
{
  return std::holds_alternative<ForwardedRequest>(aMessage) ||
         std::holds_alternative<ForwardedAnswer>(aMessage) ||
         std::holds_alternative<ForwardedCancel>(aMessage);
}

class AsioPeerNetwork : public PeerNetwork
{
public:
  AsioPeerNetwork(asio::io_context& aContext,
                  tcp::acceptor aAcceptor,
                  Settings aSettings,
                  PeerHandler& aHandler)
    : context_(aContext)
    , acceptor_(std::move(aAcceptor))
    , settings_(std::move(aSettings))
    , handler_(aHandler)
  {
    Accept();
  }

  void SetPeers(const std::vector<ListedInstance>& aPeers) override
  {
    std::erase_if(links_, [&](const auto& aLink) {
      const auto listed = std::find_if(aPeers.begin(), aPeers.end(), [&](const auto& aPeer) {
        return aPeer.name_ == aLink.first && aPeer.peerAddress_ == aLink.second->Address();
      });
      const bool isDropped = listed == aPeers.end();
      if (isDropped) {
        aLink.second->Stop();
      }
      return isDropped;
    });
    for (const auto& peer : aPeers) {
      auto& link = links_[peer.name_];
      if (!link) {
        link = std::make_shared<DialledLink>(context_, settings_, handler_, peer.peerAddress_);
        link->Dial();
      }
    }
  }

  bool Send(const InstanceId& aTo, const PeerMessage& aMessage) override
  {
    const auto found = links_.find(std::string(NameOfInstance(aTo)));
    if (found == links_.end() || !found->second->IsUp() || found->second->PeerId() != aTo) {
      return false;
    }
    const auto size = found->second->Send(aMessage);
    bytesSent_ += size;
    controlBytesSent_ += IsWorkMessage(aMessage) ? 0 : size;
    return size != 0;
  }

  std::uint64_t BytesSent() const override { return bytesSent_; }
  std::uint64_t ControlBytesSent() const override { return controlBytesSent_; }

private:
  void Accept()
  {
    acceptor_.async_accept([this](error_code aError, tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        std::make_shared<AcceptedLink>(std::move(aSocket), settings_, handler_)->Start();
      }
      Accept();
    });
  }

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  Settings settings_;
  PeerHandler& handler_;
  std::map<std::string, std::shared_ptr<DialledLink>> links_;
  std::uint64_t bytesSent_ = 0;
  std::uint64_t controlBytesSent_ = 0;
};

} // namespace

FieldResult<std::unique_ptr<PeerNetwork>>
PeerNetwork::Create(asio::io_context& aContext, Settings aSettings, PeerHandler& aHandler)
{
  if (aSettings.secret_.empty()) {
    return FieldError{ "peer secret", "must not be empty" };
  }
  BOOST_OUTCOME_TRY(auto acceptor, OpenAcceptor(aContext, aSettings.listenAddress_));
  return std::unique_ptr<PeerNetwork>(std::make_unique<AsioPeerNetwork>(
    aContext, std::move(acceptor), std::move(aSettings), aHandler));
}

} // namespace latchslip
