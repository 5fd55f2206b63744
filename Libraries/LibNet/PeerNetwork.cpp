#include "LibNet/PeerNetwork.h"

#include "LibNet/Address.h"
#include "LibNet/FrameStream.h"
#include "LibNet/PeerCodec.h"
#include "LibNet/PeerProof.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>

namespace latchslip {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr Duration kReconnectDelay = milliseconds(200);
constexpr Duration kHandshakeTimeout = seconds(2);

// Returns a frame handler that decodes messages; a malformed message closes the stream.
FrameStream::FrameFunction
ReadMessages(const std::weak_ptr<FrameStream>& aStream,
             std::function<void(const WireMessage&)> aOnMessage)
{
  return [aStream, onMessage = std::move(aOnMessage)](std::span<const std::uint8_t> aBytes) {
    const auto message = DecodeWire(aBytes);
    if (message) {
      onMessage(message.value());
    } else if (const auto stream = aStream.lock()) {
      stream->Close(message.error().problem_);
    }
  };
}

// The outgoing link to one peer; reconnects when it closes.
class OutgoingLink : public std::enable_shared_from_this<OutgoingLink>
{
public:
  OutgoingLink(asio::io_context& aContext,
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

  void Connect()
  {
    const auto endpoint = ParseAddress(address_);
    if (isStopped_ || !endpoint) {
      return;
    }
    auto socket = std::make_shared<tcp::socket>(context_);
    ++attempt_;
    StartHandshakeTimer(socket);
    socket->async_connect(endpoint.value(), [self = shared_from_this(), socket](error_code aError) {
      if (aError || self->isStopped_) {
        self->ScheduleReconnect();
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
      stream_->Close("peer is no longer listed");
    }
  }

  bool IsUp() const { return isUp_; }
  const InstanceId& PeerId() const { return peer_; }
  const std::string& Address() const { return address_; }
  std::size_t Send(const PeerMessage& aMessage) { return stream_->Send(EncodeWire(aMessage)); }

private:
  // Bounds connecting and the handshake. Without it an address that drops packets would block the
  // link from being reconnected.
  void StartHandshakeTimer(const std::shared_ptr<tcp::socket>& aSocket)
  {
    timer_.expires_after(kHandshakeTimeout);
    timer_.async_wait([self = shared_from_this(), aSocket, attempt = attempt_](error_code aError) {
      if (aError || self->isUp_ || attempt != self->attempt_) {
        return;
      }
      error_code ignored;
      aSocket->close(ignored);
      if (self->stream_) {
        self->stream_->Close("handshake timed out");
      }
    });
  }

  void ScheduleReconnect()
  {
    if (isStopped_) {
      return;
    }
    timer_.expires_after(kReconnectDelay);
    timer_.async_wait([self = shared_from_this()](error_code aError) {
      if (!aError) {
        self->Connect();
      }
    });
  }

  void OnConnected(tcp::socket aSocket)
  {
    stream_ = std::make_shared<FrameStream>(std::move(aSocket));
    stream_->Start(ReadMessages(stream_,
                                [self = shared_from_this()](const WireMessage& aMessage) {
                                  self->OnMessage(aMessage);
                                }),
                   [self = shared_from_this()](const std::string&) { self->OnClosed(); });
  }

  void OnMessage(const WireMessage& aMessage)
  {
    if (const auto* challenge = std::get_if<PeerChallenge>(&aMessage)) {
      PeerHello hello{ settings_.self_, settings_.hall_, MakeNonce(), "" };
      hello.proof_ = ComputeProof(settings_.secret_, PeerRole::Initiator, challenge->nonce_, hello);
      nonce_ = hello.nonce_;
      stream_->Send(EncodeWire(hello));
      return;
    }
    const auto* welcome = std::get_if<PeerHello>(&aMessage);
    if (welcome == nullptr || isUp_) {
      return;
    }
    const auto expected = ComputeProof(settings_.secret_, PeerRole::Acceptor, nonce_, *welcome);
    if (nonce_.empty() || !IsProofValid(expected, welcome->proof_)) {
      handler_.OnPeerRefused(address_, "its proof does not fit the fleet's secret");
      stream_->Close("authentication failed");
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
    ScheduleReconnect();
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

// An incoming link that a peer opened; after the handshake it is used only for receiving.
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
    stream_->Start(ReadMessages(stream_,
                                [self = shared_from_this()](const WireMessage& aMessage) {
                                  self->OnMessage(aMessage);
                                }),
                   [self = shared_from_this()](const std::string&) { self->OnClosed(); });
    stream_->Send(EncodeWire(PeerChallenge{ challenge_ }));
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
    const bool isProven =
      hello != nullptr &&
      IsProofValid(ComputeProof(settings_.secret_, PeerRole::Initiator, challenge_, *hello),
                   hello->proof_);
    if (!isProven) {
      handler_.OnPeerRefused(stream_->RemoteAddress(), "its proof does not fit the fleet's secret");
      stream_->Close("authentication failed");
      return;
    }
    peer_ = hello->id_;
    PeerHello welcome{ settings_.self_, settings_.hall_, MakeNonce(), "" };
    welcome.proof_ = ComputeProof(settings_.secret_, PeerRole::Acceptor, hello->nonce_, welcome);
    stream_->Send(EncodeWire(welcome));
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
        link = std::make_shared<OutgoingLink>(context_, settings_, handler_, peer.peerAddress_);
        link->Connect();
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
  std::map<std::string, std::shared_ptr<OutgoingLink>> links_;
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
