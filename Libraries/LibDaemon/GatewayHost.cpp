#include "LibDaemon/GatewayHost.h"

#include "LibDaemon/PeerCalls.h"
#include "LibDaemon/PermitLinks.h"
#include "LibDaemon/StopSequence.h"
#include "LibNet/MonotonicClock.h"

#include <boost/asio/steady_timer.hpp>

namespace latchslip {

namespace {

namespace asio = boost::asio;

// Period of the timer that runs the fleet member's periodic tasks.
constexpr Duration kStep = milliseconds(50);
// Period at which idle connections that servers are about to close are dropped.
constexpr Duration kPruneInterval = seconds(1);
// Timeout of a command (grant or release) to a backend server.
constexpr Duration kOrderTimeout = milliseconds(1500);
constexpr Duration kOrderConnectTimeout = milliseconds(300);
// A command connection is reused only within this time, in which servers almost never close
// it. The commands that renew the leases of one server follow each other within one tick.
constexpr Duration kOrderIdle = 3 * kStep;
// Command connections per backend server; covers the commands that the placer sends to one
// server at once.
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
               NoteLeaving(),
               aEvents)
    , front_(
        aContext,
        settings_.desk_,
        aCodec,
        member_.Directory(),
        permits_.Client(),
        aEvents,
        metrics_,
        [this](const std::string& aService, KeyNumber aKey) { member_.CountKey(aService, aKey); },
        NoteLeaving())
    , orders_(HttpClient::Create(aContext, kMostOrderConnections))
    , peers_(aContext, member_, [this] { return RenderMetrics(); })
    , timer_(aContext)
  {
    permits_.Client().SetListener(*this);
    front_.Desk().SetGroupGate(member_.Gate());
    if (settings_.member_.apiKeyBound_) {
      front_.Desk().SetApiKeysProvenUntil(Instant::min());
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
    front_.Desk().SetRetryTerms(aSettings.desk_.retries_);
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
  // Answers the load balancer's readiness checks.
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
      front_.Desk().Tally(),
      store_.Calls(),
      { { "requests_under_way", static_cast<double>(front_.Desk().UnderWay()) },
        { "requests_waiting", static_cast<double>(front_.Desk().Waiting()) },
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

  // Advances a planned stop, if one has begun. Returns true once the stop is complete.
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
    const bool isQuiet = front_.Desk().UnderWay() == 0 && clientServer_->Connections() == 0;
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
    // Never shortened: clients may still rely on the longer timeout announced before.
    idleTime_ = std::max(idleTime_, aLimits.idleTime_);
    http.idle_ = idleTime_;
    clientServer_->SetLimits(http);
  }

  // FleetActions: carries out the decisions of FleetMember.
  void Transact(const Transaction& aTransaction) override
  {
    store_.Transact(aTransaction, [this](const StoreReply& aReply) {
      member_.OnTransactEnded(MonotonicNow(), aReply);
    });
  }

  LeavingObserver NoteLeaving()
  {
    return [this](const std::string& aServer, std::uint64_t aLife) {
      member_.OnServerReportedLeaving(MonotonicNow(), aServer, aLife);
    };
  }

  void SendCommand(const std::string& aService, const KeyOrder& aOrder) override
  {
    ExchangeOptions options;
    options.timeout_ = kOrderTimeout;
    options.connectTimeout_ = kOrderConnectTimeout;
    options.mostIdle_ = kOrderIdle;
    orders_->Send(aOrder.address_,
                  codec_.EncodeOrder(aOrder),
                  std::move(options),
                  [this, aService, aOrder](const HttpExchange& aExchange) {
                    const auto outcome = codec_.DecodeOrder(aOrder, aExchange);
                    if (outcome.isLeaving_) {
                      member_.OnServerReportedLeaving(MonotonicNow(), aOrder.server_, aOrder.life_);
                    }
                    member_.OnOrderEnded(MonotonicNow(), aService, aOrder.number_, outcome);
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

  void SendUsage(const std::string& aAddress, const UseReport& aReport) override
  {
    peers_.SendUsage(aAddress, aReport);
  }

  void OnApiKeysProven(Instant aUntil) override { front_.Desk().SetApiKeysProvenUntil(aUntil); }

  void OnRoutes(std::shared_ptr<const RouteTable> aRoutes) override
  {
    ApplyLimits(aRoutes->Configuration().limits_);
    permits_.Dispatcher().SetRoutes(MonotonicNow(), aRoutes);
    permits_.Client().SetServices(MonotonicNow(), NamesOf(aRoutes->Configuration().services_));
    front_.Desk().SetRoutes(MonotonicNow(), std::move(aRoutes));
  }

  void OnDirectoryChanged() override
  {
    permits_.Dispatcher().OnDirectoryChanged(MonotonicNow());
    front_.Desk().OnDirectoryChanged(MonotonicNow());
  }

  void OnOwnership(const KeyOwnership& aOwnership) override
  {
    front_.Desk().SetOwnership(MonotonicNow(), aOwnership);
  }

  void OnStalenessChanged(bool aIsStale) override { front_.Desk().SetNewsStale(aIsStale); }

  void OnInstances(const std::map<std::string, FleetPeer>& aPeers) override
  {
    front_.Desk().SetInstances(aPeers.size());
    if (settings_.permitPort_ != 0) {
      permits_.Client().SetPeers(MonotonicNow(), aPeers);
    }
  }

  // PermitListener: passes results of permit requests to the router.
  void OnPermit(Instant aNow, AttemptNumber aNumber, const std::string& aServer) override
  {
    front_.Desk().OnPermit(aNow, aNumber, aServer);
    front_.ArmTimer();
  }
  void OnPermitDelayed(Instant aNow, AttemptNumber aNumber) override
  {
    front_.Desk().OnPermitDelayed(aNow, aNumber);
    front_.ArmTimer();
  }
  void OnPermitDenied(Instant aNow, AttemptNumber aNumber, Duration aWait) override
  {
    front_.Desk().OnPermitDenied(aNow, aNumber, aWait);
    front_.ArmTimer();
  }
  void OnAskLost(Instant aNow, AttemptNumber aNumber) override
  {
    front_.Desk().OnAskLost(aNow, aNumber);
    front_.ArmTimer();
  }

  ServerWork TakeWorkOf(const std::string& aServer) override
  {
    return front_.Desk().TakeWorkOf(aServer);
  }

  // FleetStoreListener: passes changes of the store to FleetMember.
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
  // Whether the client listener has been closed.
  bool isClosing_ = false;
  // Idle timeout of client connections.
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
