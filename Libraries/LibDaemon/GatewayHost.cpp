#include "LibDaemon/GatewayHost.h"

#include "LibDaemon/CommandSender.h"
#include "LibDaemon/PeerRpc.h"
#include "LibDaemon/PermitLinks.h"
#include "LibDaemon/RelayService.h"
#include "LibDaemon/StopSequence.h"
#include "LibNet/MonotonicClock.h"

#include <boost/asio/steady_timer.hpp>

namespace latchslip {

namespace {

namespace asio = boost::asio;

// Period of the timer that runs the fleet member's periodic tasks.
constexpr Duration kTickInterval = milliseconds(50);
// Period at which idle connections that servers are about to close are dropped.
constexpr Duration kPruneInterval = seconds(1);
std::vector<std::string>
ServiceNames(const std::vector<RoutedService>& aServices)
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
    , loop_(aEvents, ProcessorTimeUsed)
    , member_(settings_.member_, aDecoder, *this, aEvents)
    , responses_(aEvents)
    , permits_(aContext,
               settings_.peerAddress_,
               settings_.permitPort_,
               member_.Directory(),
               MakeLeavingObserver(),
               aEvents)
    , paths_(settings_.router_.hall_, settings_.router_.seed_, aEvents)
    , relays_(aContext)
    , frontend_(
        aContext,
        settings_.router_,
        aCodec,
        member_.Directory(),
        permits_.Client(),
        paths_,
        relays_,
        aEvents,
        metrics_,
        responses_,
        [this](const std::string& aService, KeyNumber aKey) { member_.CountKey(aService, aKey); },
        MakeLeavingObserver())
    , commands_(aContext, aCodec, paths_, relays_, responses_)
    , relayService_(
        frontend_.Client(),
        commands_.Client(),
        member_.Directory(),
        paths_,
        [this] { return stop_.HasBegun(); },
        responses_,
        aEvents)
    , peers_(aContext, member_, relayService_, loop_, [this] { return RenderMetrics(); })
    , timer_(aContext)
  {
    permits_.Client().SetListener(*this);
    frontend_.Router().SetGroupAdmission(member_.GroupLimits());
    if (settings_.member_.apiKeyBound_) {
      frontend_.Router().SetApiKeysProvenUntil(Instant::min());
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
    limits.heldBodyBytes_ = settings_.requestBodyBytes_;
    BOOST_OUTCOME_TRY(clientServer_,
                      HttpServer::Create(aContext, settings_.clientAddress_, limits, frontend_));
    if (settings_.permitPort_ != 0) {
      BOOST_OUTCOME_TRY(permits_.Listen());
    }
    store_.Start(*this);
    Tick();
    return outcome::success();
  }

  void Reload(const GatewayHostSettings& aSettings) override
  {
    settings_.stopGrace_ = aSettings.stopGrace_;
    frontend_.Router().SetRetryParameters(aSettings.router_.retries_);
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
    void OnClientDisconnected(std::uint64_t) override {}

  private:
    AsioGatewayHost& host_;
  };

  bool IsReady() const { return member_.IsServing(MonotonicNow()) && !stop_.HasBegun(); }

  std::string RenderMetrics() const
  {
    return metrics_.Render(
      events_,
      frontend_.Router().Statistics(),
      store_.Calls(),
      loop_,
      permits_.Dispatcher().Returns(),
      responses_,
      { { "requests_under_way", static_cast<double>(frontend_.Router().InFlight()) },
        { "requests_waiting", static_cast<double>(frontend_.Router().Waiting()) },
        { "is_placer", member_.IsPlacer() ? 1 : 0 },
        { "is_cut_off_from_servers", paths_.IsCutOff() ? 1 : 0 },
        { "exchanges_relayed_total", static_cast<double>(relayService_.Relayed()) },
        { "is_ready", IsReady() ? 1 : 0 },
        { "response_bytes_held",
          static_cast<double>(frontend_.Client().HeldBytes() + commands_.Client().HeldBytes()) },
        { "request_bytes_held", static_cast<double>(clientServer_->HeldBodyBytes()) },
        { "request_bodies_refused_total", static_cast<double>(clientServer_->RefusedBodies()) },
        { "servers_listed", static_cast<double>(member_.Directory().All().size()) } });
  }

  void Tick()
  {
    const auto now = MonotonicNow();
    loop_.OnTimer(now, nextTick_);
    RunPeriodicTasks(now);
    if (AdvanceStop(now)) {
      return;
    }
    nextTick_ = MonotonicNow() + kTickInterval;
    timer_.expires_after(kTickInterval);
    timer_.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  void RunPeriodicTasks(Instant aNow)
  {
    const LoopTaskScope task(loop_, LoopTask::Tick);
    member_.OnTime(aNow);
    permits_.OnTime();
    if (aNow >= nextPrune_) {
      nextPrune_ = aNow + kPruneInterval;
      frontend_.Client().PruneIdle();
      commands_.Client().PruneIdle();
      relays_.PruneIdle();
      ReportRefusedBodies();
    }
    ProbeServer(aNow);
    frontend_.ArmTimer();
    events_.Flush();
  }

  void ReportRefusedBodies()
  {
    const auto refused = clientServer_->RefusedBodies();
    const auto count = refused - std::exchange(reportedRefusedBodies_, refused);
    if (count > 0) {
      events_.Record(Event::RequestBodiesRefused,
                     "count=" + std::to_string(count) +
                       " held_bytes=" + std::to_string(clientServer_->HeldBodyBytes()));
    }
  }

  // While the links to all servers are cut, tries from time to time whether they are back.
  void ProbeServer(Instant aNow)
  {
    const auto server = paths_.TakeProbe(aNow);
    if (!server) {
      return;
    }
    if (const auto* record = member_.Directory().Find(*server)) {
      frontend_.Probe(record->address_);
    }
  }

  // Advances a planned stop, if one has begun. Returns true once the stop is complete.
  bool AdvanceStop(Instant aNow)
  {
    const auto stage = stop_.StageAt(aNow);
    if (stage == StopStage::None || stage == StopStage::AwaitingBalancer) {
      return false;
    }
    clientServer_->BeginDrain();
    if (stage == StopStage::Closing && !isClosing_) {
      isClosing_ = true;
      clientServer_->BeginClose();
    }
    if (isClosing_) {
      frontend_.Router().EndBy(aNow, stop_.EndsBy(settings_.stopGrace_));
    }
    const bool isIdle = frontend_.Router().InFlight() == 0 && relayService_.InFlight() == 0 &&
                        clientServer_->Connections() == 0;
    if (!stop_.IsComplete(aNow, settings_.stopGrace_, isIdle)) {
      return false;
    }
    FinishStop(isIdle);
    return true;
  }

  void FinishStop(bool aIsIdle)
  {
    readyServer_->BeginClose();
    peerServer_->BeginClose();
    permits_.Close();
    store_.Stop();
    events_.Record(Event::InstanceStopped, aIsIdle ? "reason=quiet" : "reason=grace");
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
      const LoopTaskScope task(loop_, LoopTask::EndWrite);
      member_.OnTransactEnded(MonotonicNow(), aReply);
    });
  }

  LeavingObserver MakeLeavingObserver()
  {
    return [this](const std::string& aServer, std::uint64_t aIncarnation) {
      member_.OnServerReportedLeaving(MonotonicNow(), aServer, aIncarnation);
    };
  }

  void SendCommand(const std::string& aService, const KeyCommand& aCommand) override
  {
    commands_.Send(aCommand, [this, aService, aCommand](const CommandOutcome& aOutcome) {
      const LoopTaskScope task(loop_, LoopTask::EndCommand);
      if (aOutcome.isLeaving_) {
        member_.OnServerReportedLeaving(MonotonicNow(), aCommand.server_, aCommand.incarnation_);
      }
      member_.OnCommandEnded(MonotonicNow(), aService, aCommand.number_, aOutcome);
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

  void SendUpdate(const std::vector<UpdateBranch>& aBranches, const FleetUpdate& aUpdate) override
  {
    peers_.SendUpdate(aBranches, aUpdate);
  }

  void FetchUpdate(const std::string& aAddress, const TableVersions& aVersions) override
  {
    peers_.FetchUpdate(aAddress, aVersions);
  }

  void ReadConfigurationVersion() override
  {
    store_.ReadConfigurationVersion(
      [this, requestedAt = MonotonicNow()](std::optional<RowVersion> aVersion) {
        member_.OnConfigurationRead(MonotonicNow(), requestedAt, aVersion);
      });
  }

  void SendUsage(const std::string& aAddress, const UsageReport& aReport) override
  {
    peers_.SendUsage(aAddress, aReport);
  }

  void OnApiKeysProven(Instant aUntil) override
  {
    frontend_.Router().SetApiKeysProvenUntil(aUntil);
  }

  void OnRoutes(std::shared_ptr<const RouteTable> aRoutes) override
  {
    ApplyLimits(aRoutes->Configuration().limits_);
    permits_.Dispatcher().SetRoutes(MonotonicNow(), aRoutes);
    routes_ = aRoutes;
    permits_.Client().SetLoadManagement(aRoutes->UsesLoadManagement());
    UpdateDispatcherCounts();
    permits_.Client().SetServices(MonotonicNow(), ServiceNames(aRoutes->Configuration().services_));
    frontend_.Router().SetRoutes(MonotonicNow(), std::move(aRoutes));
  }

  void UpdateDispatcherCounts()
  {
    if (routes_) {
      permits_.Client().SetDispatcherCounts(MonotonicNow(),
                                            CountDispatchers(*routes_, member_.Directory()));
    }
  }

  void OnDirectoryChanged() override
  {
    permits_.Dispatcher().OnDirectoryChanged(MonotonicNow());
    UpdateDispatcherCounts();
    frontend_.Router().OnDirectoryChanged(MonotonicNow());
  }

  void OnOwnership(const KeyOwnership& aOwnership) override
  {
    frontend_.Router().SetOwnership(MonotonicNow(), aOwnership);
  }

  void OnStalenessChanged(bool aIsStale) override { frontend_.Router().SetUpdatesStale(aIsStale); }

  void OnInstances(const std::map<std::string, FleetPeer>& aPeers) override
  {
    frontend_.Router().SetInstances(aPeers.size());
    std::map<std::string, RelayPeer> relays;
    for (const auto& [address, peer] : aPeers) {
      if (address != settings_.peerAddress_) {
        relays[address] = { peer.hall_, peer.DutyCapacity() };
      }
    }
    paths_.SetPeers(std::move(relays));
    if (settings_.permitPort_ != 0) {
      permits_.Client().SetPeers(MonotonicNow(), aPeers);
    }
  }

  // PermitListener: passes results of permit requests to the router.
  void OnPermit(Instant aNow, AttemptNumber aNumber, const std::string& aServer) override
  {
    frontend_.Router().OnPermit(aNow, aNumber, aServer);
    frontend_.ArmTimer();
  }
  void OnPermitDelayed(Instant aNow, AttemptNumber aNumber) override
  {
    frontend_.Router().OnPermitDelayed(aNow, aNumber);
    frontend_.ArmTimer();
  }
  void OnPermitDenied(Instant aNow,
                      AttemptNumber aNumber,
                      Duration aWait,
                      bool aIsPromised) override
  {
    frontend_.Router().OnPermitDenied(aNow, aNumber, aWait, aIsPromised);
    frontend_.ArmTimer();
  }
  void OnPermitRequestLost(Instant aNow, AttemptNumber aNumber) override
  {
    frontend_.Router().OnPermitRequestLost(aNow, aNumber);
    frontend_.ArmTimer();
  }

  void OnQuarantine(Instant aNow, RequestFingerprint aFingerprint) override
  {
    frontend_.Router().OnQuarantine(aNow, aFingerprint);
    frontend_.ArmTimer();
  }

  ServerWork TakeWorkOf(const std::string& aServer) override
  {
    return frontend_.Router().TakeWorkOf(aServer);
  }

  LoopTaskObserver& TaskObserver() override { return loop_; }

  // FleetStoreListener: passes changes of the store to FleetMember.
  void OnView(const TableView& aView) override
  {
    const LoopTaskScope task(loop_, LoopTask::ReadTables);
    member_.OnView(MonotonicNow(), aView);
  }
  void OnStoreLost() override { member_.OnStoreLost(MonotonicNow()); }
  void OnStoreRegained() override { member_.OnStoreRegained(MonotonicNow()); }

  asio::io_context& context_;
  GatewayHostSettings settings_;
  const GatewayCodec& codec_;
  FleetStore& store_;
  LineLog& events_;
  LoopMonitor loop_;
  FleetMember member_;
  GatewayMetrics metrics_;
  ResponseMonitor responses_;
  PermitLinks permits_;
  std::shared_ptr<const RouteTable> routes_;
  ServerPaths paths_;
  RelayClient relays_;
  GatewayFrontend frontend_;
  CommandSender commands_;
  RelayService relayService_;
  PeerRpc peers_;
  ReadyHandler ready_{ *this };
  std::unique_ptr<HttpServer> clientServer_;
  std::unique_ptr<HttpServer> readyServer_;
  std::unique_ptr<HttpServer> peerServer_;
  asio::steady_timer timer_;
  Instant nextPrune_ = Instant::min();
  // Those that the log has.
  std::uint64_t reportedRefusedBodies_ = 0;
  // When the periodic timer is due.
  Instant nextTick_ = MonotonicNow();
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
