#include "LibDaemon/GatewayHost.h"

#include "LibDaemon/PeerCalls.h"
#include "LibDaemon/PermitLinks.h"
#include "LibDaemon/StopSequence.h"
#include "LibNet/MonotonicClock.h"

#include <boost/asio/steady_timer.hpp>

namespace latchslip {

namespace {

namespace asio = boost::asio;

// Between two looks at what is due in the fleet's duties.
constexpr Duration kStep = milliseconds(50);
// Between two looks for idle connections that servers are about to close.
constexpr Duration kPruneInterval = seconds(1);
// An order to a server that is not answered in this time counts as unanswered.
constexpr Duration kOrderTimeout = milliseconds(1500);
constexpr Duration kOrderConnectTimeout = milliseconds(300);
// A connection for orders carries the next one only within this time, in which a
// server hardly ever closes it; the orders that renew what one server holds follow
// each other within a step.
constexpr Duration kOrderIdle = 3 * kStep;
// To one server: as many as the placer sends orders to it.
constexpr std::size_t kMostOrderConnections = 64;

std::vector<std::string>
NamesOf(const std::vector<RoutedService>& aServices)
{
  std::vector<std::string> names;
  names.reserve(aServices.size());
  for (const auto& service : aServices) {
    names.push_back(service.name_);
  }
  return names;
}

class AsioGatewayHost
  : public GatewayHost
  , private FleetActions
  , private FleetStoreListener
  , private PermitListener
{
public:
  AsioGatewayHost(asio::io_context& aContext,
                  GatewayHostSettings aSettings,
                  const GatewayCodec& aCodec,
                  const RowDecoder& aDecoder,
                  FleetStore& aStore,
                  LineLog& aEvents)
    : context_(aContext)
    , settings_(std::move(aSettings))
    , codec_(aCodec)
    , store_(aStore)
    , events_(aEvents)
    , member_(settings_.member_, aDecoder, *this, aEvents)
    , permits_(aContext,
               settings_.peerAddress_,
               settings_.permitPort_,
               member_.Directory(),
               RecordLeaving(),
               aEvents)
    , front_(
        aContext,
        settings_.router_,
        aCodec,
        member_.Directory(),
        permits_.Client(),
        aEvents,
        metrics_,
        [this](const std::string& aService, KeyNumber aKey) { member_.CountKey(aService, aKey); },
        RecordLeaving())
    , orders_(HttpClient::Create(aContext, kMostOrderConnections))
    , peers_(aContext, member_, [this] { return RenderMetrics(); })
    , timer_(aContext)
  {
    permits_.Client().SetListener(*this);
    front_.Router().SetGroupAdmission(member_.Gate());
    if (settings_.member_.apiKeyBound_) {
      front_.Router().SetApiKeysProvenUntil(Instant::min());
    }
  }

  FieldResult<void> Listen(asio::io_context& aContext)
  {
    BOOST_OUTCOME_TRY(readyServer_,
                      HttpServer::Create(aContext, settings_.readyAddress_, {}, ready_));
    BOOST_OUTCOME_TRY(peerServer_,
                      HttpServer::Create(aContext, settings_.peerAddress_, {}, peers_));
    HttpLimits limits;
    limits.connections_ = settings_.clientConnections_;
    BOOST_OUTCOME_TRY(clientServer_,
                      HttpServer::Create(aContext, settings_.clientAddress_, limits, front_));
    if (settings_.permitPort_ != 0) {
      BOOST_OUTCOME_TRY(permits_.Listen());
    }
    store_.Start(*this);
    Step();
    return outcome::success();
  }

  void Reload(const GatewayHostSettings& aSettings) override
  {
    settings_.stopGrace_ = aSettings.stopGrace_;
    front_.Router().SetRetryParameters(aSettings.router_.retries_);
    events_.Record(Event::SettingsReloaded, "");
  }

  void BeginLeaving() override
  {
    if (!stop_.HasBegun()) {
      stop_.Begin(MonotonicNow());
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

  bool IsReady() const { return member_.IsServing(MonotonicNow()) && !stop_.HasBegun(); }

  std::string RenderMetrics() const
  {
    return metrics_.Render(
      events_,
      front_.Router().Statistics(),
      store_.Calls(),
      { { "requests_under_way", static_cast<double>(front_.Router().InFlight()) },
        { "requests_waiting", static_cast<double>(front_.Router().Waiting()) },
        { "is_placer", member_.IsPlacer() ? 1 : 0 },
        { "is_ready", IsReady() ? 1 : 0 },
        { "servers_listed", static_cast<double>(member_.Directory().All().size()) } });
  }

  void Step()
  {
    const auto now = MonotonicNow();
    member_.OnTime(now);
    permits_.OnTime();
    if (now >= nextPrune_) {
      nextPrune_ = now + kPruneInterval;
      front_.PruneIdle();
      orders_->PruneIdle();
    }
    front_.ArmTimer();
    events_.Flush();
    if (ContinueLeaving(now)) {
      return;
    }
    timer_.expires_after(kStep);
    timer_.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        Step();
      }
    });
  }

  // Takes the next steps of a stop, if one has begun. Whether it is complete.
  bool ContinueLeaving(Instant aNow)
  {
    const auto stage = stop_.StageAt(aNow);
    if (stage == StopStage::None || stage == StopStage::Unnoticed) {
      return false;
    }
    clientServer_->BeginDrain();
    if (stage == StopStage::Closing && !isClosing_) {
      isClosing_ = true;
      clientServer_->BeginClose();
    }
    const bool isQuiet = front_.Router().InFlight() == 0 && clientServer_->Connections() == 0;
    if (!stop_.IsOver(aNow, settings_.stopGrace_, isQuiet)) {
      return false;
    }
    End(isQuiet);
    return true;
  }

  void End(bool aIsQuiet)
  {
    readyServer_->BeginClose();
    peerServer_->BeginClose();
    permits_.Close();
    store_.Stop();
    events_.Record(Event::InstanceStopped, aIsQuiet ? "reason=quiet" : "reason=grace");
    events_.Flush();
    context_.stop();
  }

  void ApplyLimits(const ClientLimits& aLimits)
  {
    HttpLimits http;
    http.connections_ = settings_.clientConnections_;
    http.headerBytes_ = aLimits.headerBytes_;
    http.bodyBytes_ = aLimits.bodyBytes_;
    http.transfer_ = std::max<Duration>(http.transfer_, aLimits.headerTime_);
    // Kept longer when the limit shrinks: clients may still use the former one.
    idleTime_ = std::max(idleTime_, aLimits.idleTime_);
    http.idle_ = idleTime_;
    clientServer_->SetLimits(http);
  }

  // What FleetMember decides.
  void Transact(const Transaction& aTransaction) override
  {
    store_.Transact(aTransaction, [this](const StoreReply& aReply) {
      member_.OnTransactEnded(MonotonicNow(), aReply);
    });
  }

  LeavingObserver RecordLeaving()
  {
    return [this](const std::string& aServer, std::uint64_t aIncarnation) {
      member_.OnServerReportedLeaving(MonotonicNow(), aServer, aIncarnation);
    };
  }

  void SendCommand(const std::string& aService, const KeyCommand& aCommand) override
  {
    ExchangeOptions options;
    options.timeout_ = kOrderTimeout;
    options.connectTimeout_ = kOrderConnectTimeout;
    options.mostIdle_ = kOrderIdle;
    orders_->Send(aCommand.address_,
                  codec_.EncodeCommand(aCommand),
                  std::move(options),
                  [this, aService, aCommand](const HttpExchange& aExchange) {
                    const auto outcome = codec_.DecodeCommand(aCommand, aExchange);
                    if (outcome.isLeaving_) {
                      member_.OnServerReportedLeaving(
                        MonotonicNow(), aCommand.server_, aCommand.incarnation_);
                    }
                    member_.OnCommandEnded(MonotonicNow(), aService, aCommand.number_, outcome);
                  });
  }

  void SendReport(const std::string& aAddress, const InstanceReport& aReport) override
  {
    peers_.SendReport(aAddress, aReport);
  }

  void SetPollMode(StorePollMode aHow, const TableVersions& aKnown) override
  {
    store_.SetPollMode(aHow, aKnown);
  }

  void SendUpdate(const std::vector<UpdateBranch>& aBranches, const FleetUpdate& aNews) override
  {
    peers_.SendUpdate(aBranches, aNews);
  }

  void FetchUpdate(const std::string& aAddress, const TableVersions& aVersions) override
  {
    peers_.FetchUpdate(aAddress, aVersions);
  }

  void ReadConfigurationVersion() override
  {
    store_.ReadConfigurationVersion(
      [this, askedAt = MonotonicNow()](std::optional<RowVersion> aVersion) {
        member_.OnConfigurationRead(MonotonicNow(), askedAt, aVersion);
      });
  }

  void SendUsage(const std::string& aAddress, const UsageReport& aReport) override
  {
    peers_.SendUsage(aAddress, aReport);
  }

  void OnApiKeysProven(Instant aUntil) override { front_.Router().SetApiKeysProvenUntil(aUntil); }

  void OnRoutes(std::shared_ptr<const RouteTable> aRoutes) override
  {
    ApplyLimits(aRoutes->Configuration().limits_);
    permits_.Dispatcher().SetRoutes(MonotonicNow(), aRoutes);
    permits_.Client().SetServices(MonotonicNow(), NamesOf(aRoutes->Configuration().services_));
    front_.Router().SetRoutes(MonotonicNow(), std::move(aRoutes));
  }

  void OnDirectoryChanged() override
  {
    permits_.Dispatcher().OnDirectoryChanged(MonotonicNow());
    front_.Router().OnDirectoryChanged(MonotonicNow());
  }

  void OnOwnership(const KeyOwnership& aOwnership) override
  {
    front_.Router().SetOwnership(MonotonicNow(), aOwnership);
  }

  void OnStalenessChanged(bool aIsStale) override { front_.Router().SetUpdatesStale(aIsStale); }

  void OnInstances(const std::map<std::string, FleetPeer>& aPeers) override
  {
    front_.Router().SetInstances(aPeers.size());
    if (settings_.permitPort_ != 0) {
      permits_.Client().SetPeers(MonotonicNow(), aPeers);
    }
  }

  // What becomes of asks for permits.
  void OnPermit(Instant aNow, AttemptNumber aNumber, const std::string& aServer) override
  {
    front_.Router().OnPermit(aNow, aNumber, aServer);
    front_.ArmTimer();
  }
  void OnPermitDelayed(Instant aNow, AttemptNumber aNumber) override
  {
    front_.Router().OnPermitDelayed(aNow, aNumber);
    front_.ArmTimer();
  }
  void OnPermitDenied(Instant aNow, AttemptNumber aNumber, Duration aWait) override
  {
    front_.Router().OnPermitDenied(aNow, aNumber, aWait);
    front_.ArmTimer();
  }
  void OnPermitRequestLost(Instant aNow, AttemptNumber aNumber) override
  {
    front_.Router().OnPermitRequestLost(aNow, aNumber);
    front_.ArmTimer();
  }

  ServerWork TakeWorkOf(const std::string& aServer) override
  {
    return front_.Router().TakeWorkOf(aServer);
  }

  // What the store says.
  void OnView(const TableView& aView) override { member_.OnView(MonotonicNow(), aView); }
  void OnStoreLost() override { member_.OnStoreLost(MonotonicNow()); }
  void OnStoreRegained() override { member_.OnStoreRegained(MonotonicNow()); }

  asio::io_context& context_;
  GatewayHostSettings settings_;
  const GatewayCodec& codec_;
  FleetStore& store_;
  LineLog& events_;
  FleetMember member_;
  GatewayMetrics metrics_;
  PermitLinks permits_;
  GatewayFront front_;
  std::unique_ptr<HttpClient> orders_;
  PeerCalls peers_;
  ReadyHandler ready_{ *this };
  std::unique_ptr<HttpServer> clientServer_;
  std::unique_ptr<HttpServer> readyServer_;
  std::unique_ptr<HttpServer> peerServer_;
  asio::steady_timer timer_;
  Instant nextPrune_ = Instant::min();
  StopSequence stop_;
  // Whether the listener for clients was told to close.
  bool isClosing_ = false;
  // How long an idle connection of a client is kept.
  Duration idleTime_{ 0 };
};

} // namespace

FieldResult<std::unique_ptr<GatewayHost>>
GatewayHost::Create(asio::io_context& aContext,
                    GatewayHostSettings aSettings,
                    const GatewayCodec& aCodec,
                    const RowDecoder& aDecoder,
                    FleetStore& aStore,
                    LineLog& aEvents)
{
  auto host = std::make_unique<AsioGatewayHost>(
    aContext, std::move(aSettings), aCodec, aDecoder, aStore, aEvents);
  BOOST_OUTCOME_TRY(host->Listen(aContext));
  return std::unique_ptr<GatewayHost>(std::move(host));
}

} // namespace latchslip
