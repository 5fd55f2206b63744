#include "LibDaemon/GatewayHost.h"

#include "LibDaemon/PeerCalls.h"
#include "LibNet/MonotonicClock.h"

#include <boost/asio/steady_timer.hpp>

namespace latchslip {

namespace {

namespace asio = boost::asio;

// Between two looks at what is due in the fleet's duties.
constexpr Duration kStep = milliseconds(50);
// Between two looks for idle connections that servers are about to close.
constexpr Duration kPruneInterval = seconds(1);
// A stopping instance tells clients to close their connections from this time
// on: earlier, many would come back to it.
constexpr Duration kTellClients = milliseconds(1200);
// The balancer asks every second and takes an instance out after two refusals;
// until then, and a little for connections on their way, clients still come.
// Then idle connections are closed and nothing more is taken: what is taken later
// than three seconds after the stop must end within the grace.
constexpr Duration kBalancerNotice = milliseconds(2600);
// A stop ends this long before the grace, whatever is under way.
constexpr Duration kLastMoments = milliseconds(400);
// An order to a server that is not answered in this time counts as unanswered.
constexpr Duration kOrderTimeout = milliseconds(1500);
constexpr Duration kOrderConnectTimeout = milliseconds(300);
constexpr std::size_t kMostOrderConnections = 16;

class AsioGatewayHost
  : public GatewayHost
  , private FleetActions
  , private FleetStoreListener
{
public:
  AsioGatewayHost(asio::io_context& aContext,
                  GatewayHostSettings aSettings,
                  const GatewayCodec& aCodec,
                  const RowDecoder& aDecoder,
                  FleetStore& aStore,
                  EventSink& aEvents)
    : context_(aContext)
    , settings_(std::move(aSettings))
    , codec_(aCodec)
    , store_(aStore)
    , events_(aEvents)
    , member_(settings_.member_, aDecoder, *this, aEvents)
    , front_(aContext,
             settings_.desk_,
             aCodec,
             member_.Directory(),
             aEvents,
             [this](const std::string& aServer, KeyNumber aKey) { CountKey(aServer, aKey); })
    , orders_(HttpClient::Create(aContext, kMostOrderConnections))
    , peers_(aContext, member_)
    , timer_(aContext)
  {
  }

  FieldResult<void> Listen(asio::io_context& aContext)
  {
    BOOST_OUTCOME_TRY(readyServer_,
                      HttpServer::Create(aContext, settings_.readyAddress_, {}, ready_));
    BOOST_OUTCOME_TRY(peerServer_,
                      HttpServer::Create(aContext, settings_.peerAddress_, {}, peers_));
    BOOST_OUTCOME_TRY(clientServer_,
                      HttpServer::Create(aContext, settings_.clientAddress_, {}, front_));
    store_.Start(*this);
    Step();
    return outcome::success();
  }

  void Reload(const GatewayHostSettings& aSettings) override
  {
    settings_.stopGrace_ = aSettings.stopGrace_;
    front_.Desk().SetRetryTerms(aSettings.desk_.retries_);
    events_.Record(Event::SettingsReloaded, "");
  }

  void BeginLeaving() override
  {
    if (leavingSince_ == Instant::max()) {
      leavingSince_ = MonotonicNow();
      events_.Record(Event::InstanceLeaving, "");
    }
  }

private:
  // Answers the balancer.
  class ReadyHandler : public HttpHandler
  {
  public:
    explicit ReadyHandler(AsioGatewayHost& aHost)
      : host_(aHost)
    {
    }
    void OnRequest(std::uint64_t, HttpRequest, HttpResponder aRespond) override
    {
      constexpr unsigned kReady = 200;
      constexpr unsigned kNotReady = 503;
      aRespond(MakeHttpResponse(host_.IsReady() ? kReady : kNotReady, ""));
    }
    void OnGone(std::uint64_t) override {}

  private:
    AsioGatewayHost& host_;
  };

  bool IsReady() const { return member_.IsReady() && leavingSince_ == Instant::max(); }

  void CountKey(const std::string& aServer, KeyNumber aKey)
  {
    if (const auto* server = member_.Directory().Find(aServer)) {
      member_.CountKey(server->service_, aKey);
    }
  }

  void Step()
  {
    const auto now = MonotonicNow();
    member_.OnTime(now);
    if (now >= nextPrune_) {
      nextPrune_ = now + kPruneInterval;
      front_.PruneIdle();
      orders_->PruneIdle();
    }
    front_.ArmTimer();
    if (leavingSince_ != Instant::max() && ContinueLeaving(now)) {
      return;
    }
    timer_.expires_after(kStep);
    timer_.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        Step();
      }
    });
  }

  // Whether the stop is complete.
  bool ContinueLeaving(Instant aNow)
  {
    const auto past = aNow - leavingSince_;
    if (past < kTellClients) {
      return false;
    }
    clientServer_->BeginDrain();
    if (!isClosing_ && past >= kBalancerNotice) {
      isClosing_ = true;
      clientServer_->BeginClose();
    }
    const bool isQuiet = front_.Desk().UnderWay() == 0 && clientServer_->Connections() == 0;
    if (!(isClosing_ && isQuiet) && past < settings_.stopGrace_ - kLastMoments) {
      return false;
    }
    readyServer_->BeginClose();
    peerServer_->BeginClose();
    store_.Stop();
    events_.Record(Event::InstanceStopped, isQuiet ? "reason=quiet" : "reason=grace");
    context_.stop();
    return true;
  }

  // What FleetMember decides.
  void Transact(const Transaction& aTransaction) override
  {
    store_.Transact(aTransaction, [this](const StoreReply& aReply) {
      member_.OnTransactEnded(MonotonicNow(), aReply);
    });
  }

  void Order(const std::string& aService, const KeyOrder& aOrder) override
  {
    ExchangeOptions options;
    options.timeout_ = kOrderTimeout;
    options.connectTimeout_ = kOrderConnectTimeout;
    options.isFreshConnection_ = true;
    orders_->Send(aOrder.address_,
                  codec_.EncodeOrder(aOrder),
                  std::move(options),
                  [this, aService, aOrder](const HttpExchange& aExchange) {
                    member_.OnOrderEnded(MonotonicNow(),
                                         aService,
                                         aOrder.number_,
                                         codec_.DecodeOrder(aOrder, aExchange));
                  });
  }

  void SendReport(const std::string& aAddress, const InstanceReport& aReport) override
  {
    peers_.SendReport(aAddress, aReport);
  }

  void Refresh(FleetTable aTable) override { store_.Refresh(aTable); }

  void Follow(Following aHow, const TableVersions& aKnown) override { store_.Follow(aHow, aKnown); }

  void SendNews(const std::string& aAddress, const FleetNews& aNews) override
  {
    peers_.SendNews(aAddress, aNews);
  }

  void FetchNews(const std::string& aAddress, const TableVersions& aVersions) override
  {
    peers_.FetchNews(aAddress, aVersions);
  }

  void OnRoutes(std::shared_ptr<const RouteTable> aRoutes) override
  {
    const auto& limits = aRoutes->Configuration().limits_;
    HttpLimits http;
    http.headerBytes_ = limits.headerBytes_;
    http.bodyBytes_ = limits.bodyBytes_;
    http.transfer_ = std::max<Duration>(http.transfer_, limits.headerTime_);
    // Kept longer when the limit shrinks: clients may still use the former one.
    idleTime_ = std::max(idleTime_, limits.idleTime_);
    http.idle_ = idleTime_;
    clientServer_->SetLimits(http);
    front_.Desk().SetRoutes(MonotonicNow(), std::move(aRoutes));
  }

  void OnDirectoryChanged() override { front_.Desk().OnDirectoryChanged(MonotonicNow()); }

  void OnOwnership(const KeyOwnership& aOwnership) override
  {
    front_.Desk().SetOwnership(MonotonicNow(), aOwnership);
  }

  void OnNewsStale(bool aIsStale) override { front_.Desk().SetNewsStale(aIsStale); }

  void OnInstances(std::size_t aCount) override { front_.Desk().SetInstances(aCount); }

  Duration LatencyOf(const std::string& aServer) const override
  {
    return front_.Desk().StrengthLatencyOf(aServer);
  }

  // What the store says.
  void OnView(const TableView& aView) override { member_.OnView(MonotonicNow(), aView); }
  void OnStoreLost() override { member_.OnStoreLost(MonotonicNow()); }
  void OnStoreRegained() override { member_.OnStoreRegained(MonotonicNow()); }

  asio::io_context& context_;
  GatewayHostSettings settings_;
  const GatewayCodec& codec_;
  FleetStore& store_;
  EventSink& events_;
  FleetMember member_;
  GatewayFront front_;
  std::unique_ptr<HttpClient> orders_;
  PeerCalls peers_;
  ReadyHandler ready_{ *this };
  std::unique_ptr<HttpServer> clientServer_;
  std::unique_ptr<HttpServer> readyServer_;
  std::unique_ptr<HttpServer> peerServer_;
  asio::steady_timer timer_;
  Instant nextPrune_ = Instant::min();
  Instant leavingSince_ = Instant::max();
  Duration idleTime_{ 0 };
  bool isClosing_ = false;
};

} // namespace

FieldResult<std::unique_ptr<GatewayHost>>
GatewayHost::Create(asio::io_context& aContext,
                    GatewayHostSettings aSettings,
                    const GatewayCodec& aCodec,
                    const RowDecoder& aDecoder,
                    FleetStore& aStore,
                    EventSink& aEvents)
{
  auto host = std::make_unique<AsioGatewayHost>(
    aContext, std::move(aSettings), aCodec, aDecoder, aStore, aEvents);
  BOOST_OUTCOME_TRY(host->Listen(aContext));
  return std::unique_ptr<GatewayHost>(std::move(host));
}

} // namespace latchslip
