#include "SoakEnvironment.h"

#include "../FleetDocuments.h"
#include "LibNet/MonotonicClock.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <set>

namespace latchslip::platform {

namespace {

// Offsets from the first port of the soak.
constexpr int kStorePort = 0;
constexpr int kInstancePorts = 10;
constexpr int kPortsPerInstance = 5;
constexpr int kServerPorts = 600;
// One port for the server and one for the proxy in front of it.
constexpr int kPortsPerServer = 2;
// Offset of an instance's store proxy from the instance's first port; MakeSettings uses the ports
// before it.
constexpr int kStoreLinkPort = 3;
// The services of the configuration, see MakeManifest.
constexpr auto kRates = "rates";
constexpr auto kBookings = "bookings";
constexpr auto kOthers = "others";
constexpr int kOtherServers = 2;
// Interval at which processes are checked and due requests are sent.
constexpr Duration kStep = milliseconds(5);
// Timeout of a client's request, and how much longer the harness waits for its end.
constexpr Duration kClientTimeout = milliseconds(1500);
constexpr Duration kClientSlack = seconds(3);
// Commands that arrive within this time after a link or a process recovered were delayed by the
// fault.
constexpr Duration kDelayedCommandTime = milliseconds(300);
// Time limit for the fleet to serve everything after its start.
constexpr Duration kStartTimeout = seconds(20);
constexpr std::size_t kMaxConnections = 64;
// Maximum memory of an instance: what it uses without trouble, at most 16 MB, and 64 MB beyond it.
constexpr std::size_t kMaxMemory = 80UL * 1024 * 1024;
constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;

} // namespace

SoakEnvironment::SoakEnvironment(SoakSettings aSettings)
  : settings_(std::move(aSettings))
  , guarantees_([this] {
    std::vector<StandInBackend*> backends;
    for (const auto& server : servers_) {
      backends.push_back(server.backend_.get());
    }
    return backends;
  })
  , client_(HttpClient::Create(context_, kMaxConnections))
{
}

// The processes are stopped first, because they use everything else.
SoakEnvironment::~SoakEnvironment()
{
  for (auto& instance : instances_) {
    instance.process_.reset();
  }
}

FieldResult<void>
SoakEnvironment::Start()
{
  const auto storeAddress = Loopback(settings_.firstPort_ + kStorePort);
  BOOST_OUTCOME_TRY(store_, StandInStore::Create(context_, storeAddress));
  bookingService_ = settings_.routesBookingsToKeys_ ? kRates : kBookings;
  PutConfiguration();
  BOOST_OUTCOME_TRY(AddServers());
  for (int number = 0; number < settings_.instances_; ++number) {
    BOOST_OUTCOME_TRY(AddInstance(number));
  }
  if (!RunUntil([this] { return IsAllServed(); }, kStartTimeout)) {
    return FieldError{ "soak", "the fleet did not serve all requests within the start timeout" };
  }
  isLoadOn_ = true;
  return outcome::success();
}

FieldResult<void>
SoakEnvironment::AddServers()
{
  int port = settings_.firstPort_ + kServerPorts;
  for (int number = 0; number < settings_.servers_; ++number, port += kPortsPerServer) {
    BOOST_OUTCOME_TRY(AddServer("k" + std::to_string(number), kRates, port));
  }
  for (int number = 0; number < settings_.servers_; ++number, port += kPortsPerServer) {
    BOOST_OUTCOME_TRY(AddServer("b" + std::to_string(number), kBookings, port));
  }
  for (int number = 0; number < kOtherServers; ++number, port += kPortsPerServer) {
    BOOST_OUTCOME_TRY(AddServer("o" + std::to_string(number), kOthers, port));
  }
  return outcome::success();
}

FieldResult<void>
SoakEnvironment::AddServer(const std::string& aName, const std::string& aService, int aPort)
{
  StandInBackend::Settings settings;
  settings.id_ = aName + "-1";
  settings.service_ = aService;
  settings.address_ = Loopback(aPort);
  settings.recordAddress_ = Loopback(aPort + 1);
  settings.isKeyed_ = aService == kRates;
  settings.serviceTime_ = settings_.serviceTime_;
  settings.observer_ = &guarantees_;
  Server server;
  BOOST_OUTCOME_TRY(server.link_,
                    LoopbackProxy::Create(context_, settings.recordAddress_, settings.address_));
  BOOST_OUTCOME_TRY(server.backend_, StandInBackend::Create(context_, settings, *store_));
  servers_.push_back(std::move(server));
  return outcome::success();
}

FieldResult<void>
SoakEnvironment::AddInstance(int aNumber)
{
  Instance instance;
  instance.name_ = "edge-" + std::to_string(settings_.firstPort_) + "-" + std::to_string(aNumber);
  instance.port_ = settings_.firstPort_ + kInstancePorts + kPortsPerInstance * aNumber;
  BOOST_OUTCOME_TRY(instance.storeLink_,
                    LoopbackProxy::Create(context_,
                                          Loopback(instance.port_ + kStoreLinkPort),
                                          Loopback(settings_.firstPort_ + kStorePort)));
  StartInstance(instance);
  instances_.push_back(std::move(instance));
  return outcome::success();
}

void
SoakEnvironment::StartInstance(Instance& aInstance)
{
  const auto seed = settings_.firstPort_ + kInstancePorts;
  const auto log =
    settings_.logs_.empty() ? "/dev/null" : settings_.logs_ + "/" + aInstance.name_ + ".log";
  aInstance.process_ = std::make_unique<EntryProcess>(
    settings_.program_,
    aInstance.name_,
    MakeSettings(
      aInstance.name_, aInstance.port_, seed, Loopback(aInstance.port_ + kStoreLinkPort)),
    log);
  aInstance.shouldRun_ = true;
  aInstance.isPaused_ = false;
  ++aInstance.runs_;
}

void
SoakEnvironment::KillInstance(Instance& aInstance)
{
  aInstance.shouldRun_ = false;
  aInstance.isPaused_ = false;
  aInstance.process_->Signal(SIGKILL);
  aInstance.process_->Wait();
}

void
SoakEnvironment::OnRecovered()
{
  recoveredAt_ = MonotonicNow();
}

void
SoakEnvironment::SwitchBookingService()
{
  if (bookingService_ == kBookings) {
    bookingService_ = kOthers;
  } else if (bookingService_ == kOthers && settings_.routesBookingsToKeys_) {
    bookingService_ = kRates;
  } else {
    bookingService_ = kBookings;
  }
  PutConfiguration();
}

void
SoakEnvironment::PutConfiguration()
{
  configurationVersion_ += 2;
  WriteConfiguration();
}

void
SoakEnvironment::WriteConfiguration()
{
  store_->Put("op", "config", MakeManifest(configurationVersion_, bookingService_));
}

void
SoakEnvironment::RepeatWrites()
{
  WriteConfiguration();
  std::set<std::string> runningIds;
  for (const auto& server : servers_) {
    runningIds.insert(server.backend_->Id());
    server.backend_->RepeatRecordWrite();
  }
  for (const auto& id : store_->KeysOf("servers")) {
    if (!runningIds.contains(id)) {
      store_->Remove("servers", id);
    }
  }
}

void
SoakEnvironment::Run(Duration aTime)
{
  RunUntil([] { return false; }, aTime);
}

bool
SoakEnvironment::RunUntil(const std::function<bool()>& aIsDone, Duration aTimeout)
{
  const auto end = MonotonicNow() + aTimeout;
  while (MonotonicNow() < end) {
    context_.run_for(kStep);
    context_.restart();
    CheckProcesses();
    const auto now = MonotonicNow();
    for (auto& server : servers_) {
      server.backend_->SetCommandsDelayed(now - recoveredAt_ < kDelayedCommandTime);
    }
    SendDue(now);
    if (aIsDone()) {
      return true;
    }
  }
  return false;
}

void
SoakEnvironment::SendDue(Instant aNow)
{
  while (isLoadOn_ && nextRequest_ <= aNow) {
    nextRequest_ = std::max(nextRequest_ + settings_.requestInterval_, aNow - kStep);
    std::uniform_int_distribution<std::size_t> draw(0, instances_.size() - 1);
    SendRequest(instances_[draw(random_)], sentCount_ % 2 == 0);
  }
}

void
SoakEnvironment::Quiesce()
{
  isLoadOn_ = false;
  RunUntil([this] { return endedCount_ == sentCount_; },
           kClientTimeout + kClientSlack + seconds(1));
}

void
SoakEnvironment::After(Duration aTime, std::function<void()> aWhat)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(context_, aTime);
  timer->async_wait([timer, what = std::move(aWhat)](boost::system::error_code aError) {
    if (!aError) {
      what();
    }
  });
}

void
SoakEnvironment::CheckProcesses()
{
  for (auto& instance : instances_) {
    if (instance.shouldRun_ && instance.process_->HasEnded()) {
      instance.shouldRun_ = false;
      guarantees_.ReportViolation("ENDED " + instance.name_ + " with status " +
                                  std::to_string(instance.process_->Wait()));
    }
  }
}

void
SoakEnvironment::CheckMemory()
{
  for (const auto& instance : instances_) {
    const auto peak = instance.shouldRun_ ? instance.process_->PeakMemory() : 0;
    if (peak > kMaxMemory) {
      guarantees_.ReportViolation("MEMORY " + instance.name_ + " uses " + std::to_string(peak) +
                                  " bytes");
      instance.process_->ResetPeakMemory();
    }
  }
}

void
SoakEnvironment::SendRequest(Instance& aInstance,
                             bool aIsBooking,
                             const std::function<void(unsigned)>& aDone)
{
  const auto key = std::uniform_int_distribution<int>(0, kLastKey)(random_);
  SendRequest(aInstance, aIsBooking, aIsBooking ? "/book/1" : "/rates/1", key, aDone);
}

std::string
SoakEnvironment::SendRequest(Instance& aInstance,
                             bool aIsBooking,
                             const std::string& aPath,
                             int aKey,
                             const std::function<void(unsigned)>& aDone)
{
  const auto id = "q" + std::to_string(++sentCount_);
  HttpRequest request;
  request.method_ = aIsBooking ? "POST" : "GET";
  request.target_ = aPath;
  request.headers_ = { { "Host", "a.example" },
                       { "X-Request-Id", id },
                       { "X-Deadline-Ms",
                         std::to_string(duration_cast<milliseconds>(kClientTimeout).count()) },
                       { "X-Shard-Key", std::to_string(aKey) } };
  guarantees_.OnRequestSent(id, aIsBooking, aInstance.RunId());
  client_->Send(Loopback(aInstance.port_),
                std::move(request),
                kClientTimeout + kClientSlack,
                [this, id, aDone, name = aInstance.name_, sentAt = MonotonicNow()](
                  const HttpExchange& aExchange) {
                  const auto status = OnAnswered(id, name, sentAt, aExchange);
                  if (aDone) {
                    aDone(status);
                  }
                });
  return id;
}

unsigned
SoakEnvironment::OnAnswered(const std::string& aRequest,
                            const std::string& aInstance,
                            Instant aSentAt,
                            const HttpExchange& aExchange)
{
  ++endedCount_;
  if (aExchange.end_ == ExchangeEnd::Broken) {
    brokenRequests_.push_back({ aRequest,
                                aRequest + " at " + aInstance + ": " + aExchange.problem_,
                                MonotonicNow() - aSentAt });
  }
  if (aExchange.end_ != ExchangeEnd::Complete) {
    return 0;
  }
  const auto& answer = aExchange.response_;
  if (!answer.Header("Server-Leaving").empty()) {
    guarantees_.OnLeavingPassedOn(aRequest);
  }
  if (!answer.Header("Server-Limit").empty()) {
    guarantees_.OnRateLimitPassedOn(aRequest);
  }
  if (answer.status_ == kOk) {
    ++answeredCount_;
    guarantees_.OnSuccess(
      aRequest, *answer.body_, std::string(answer.Header("X-Response-Signature")));
  } else if (answer.status_ == kUnavailable) {
    guarantees_.OnRefused(aRequest);
  }
  return answer.status_;
}

bool
SoakEnvironment::IsAllServed()
{
  const bool wasLoadOn = std::exchange(isLoadOn_, false);
  constexpr int kRequestsPerInstance = 6;
  const auto expected = instances_.size() * kRequestsPerInstance;
  const auto results = std::make_shared<std::pair<std::size_t, std::size_t>>();
  for (auto& instance : instances_) {
    for (int number = 0; number < kRequestsPerInstance; ++number) {
      SendRequest(instance, number % 2 == 0, [results](unsigned aStatus) {
        ++results->first;
        results->second += aStatus == kOk ? 1 : 0;
      });
    }
  }
  RunUntil([&] { return results->first == expected; }, kClientTimeout + kClientSlack);
  isLoadOn_ = wasLoadOn;
  return results->second == expected;
}

} // namespace latchslip::platform
