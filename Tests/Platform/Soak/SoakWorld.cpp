#include "SoakWorld.h"

#include "../FleetDocuments.h"
#include "LibNet/MonotonicClock.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <set>

namespace latchslip::platform {

namespace {

// Offsets of ports from the first of the soak.
constexpr int kStorePort = 0;
constexpr int kInstancePorts = 10;
constexpr int kPortsAnInstance = 5;
constexpr int kServerPorts = 600;
// One for the server itself and one for the link to it.
constexpr int kPortsAServer = 2;
// Offset from an instance's own ports, see MakeSettings, of its link to the store.
constexpr int kStoreLinkPort = 3;
// The services of the configuration, see MakeManifest.
constexpr auto kRates = "rates";
constexpr auto kBookings = "bookings";
constexpr auto kOthers = "others";
constexpr int kOtherServers = 2;
// A process is looked at, and due requests are sent, this often.
constexpr Duration kStep = milliseconds(5);
// How long the client of a request waits, and how much longer the harness does.
constexpr Duration kClientTime = milliseconds(1500);
constexpr Duration kClientSlack = seconds(3);
// Orders that arrive so soon after a link or a process was healed were held up.
constexpr Duration kHealed = milliseconds(300);
// Until the fleet serves everything after its start.
constexpr Duration kStartTime = seconds(20);
constexpr std::size_t kMostConnections = 64;
constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;

} // namespace

SoakWorld::SoakWorld(SoakSettings aSettings)
  : settings_(std::move(aSettings))
  , promises_([this] {
    std::vector<StandInBackend*> backends;
    for (const auto& server : servers_) {
      backends.push_back(server.backend_.get());
    }
    return backends;
  })
  , client_(HttpClient::Create(context_, kMostConnections))
{
}

// The processes go first: they speak through everything else.
SoakWorld::~SoakWorld()
{
  for (auto& instance : instances_) {
    instance.process_.reset();
  }
}

FieldResult<void>
SoakWorld::Start()
{
  const auto storeAddress = Loopback(settings_.firstPort_ + kStorePort);
  BOOST_OUTCOME_TRY(store_, StandInStore::Create(context_, storeAddress));
  PutConfiguration();
  BOOST_OUTCOME_TRY(AddServers());
  for (int number = 0; number < settings_.instances_; ++number) {
    BOOST_OUTCOME_TRY(AddInstance(number));
  }
  if (!RunUntil([this] { return IsAllServed(); }, kStartTime)) {
    return FieldError{ "soak", "the fleet does not serve within its time to start" };
  }
  isLoaded_ = true;
  return outcome::success();
}

FieldResult<void>
SoakWorld::AddServers()
{
  int port = settings_.firstPort_ + kServerPorts;
  for (int number = 0; number < settings_.servers_; ++number, port += kPortsAServer) {
    BOOST_OUTCOME_TRY(AddServer("k" + std::to_string(number), kRates, port));
  }
  for (int number = 0; number < settings_.servers_; ++number, port += kPortsAServer) {
    BOOST_OUTCOME_TRY(AddServer("b" + std::to_string(number), kBookings, port));
  }
  for (int number = 0; number < kOtherServers; ++number, port += kPortsAServer) {
    BOOST_OUTCOME_TRY(AddServer("o" + std::to_string(number), kOthers, port));
  }
  return outcome::success();
}

FieldResult<void>
SoakWorld::AddServer(const std::string& aName, const std::string& aService, int aPort)
{
  StandInBackend::Settings settings;
  settings.id_ = aName + "-1";
  settings.service_ = aService;
  settings.address_ = Loopback(aPort);
  settings.listedAddress_ = Loopback(aPort + 1);
  settings.isKeyed_ = aService == kRates;
  settings.observer_ = &promises_;
  Server server;
  BOOST_OUTCOME_TRY(server.link_,
                    LoopbackProxy::Create(context_, settings.listedAddress_, settings.address_));
  BOOST_OUTCOME_TRY(server.backend_, StandInBackend::Create(context_, settings, *store_));
  servers_.push_back(std::move(server));
  return outcome::success();
}

FieldResult<void>
SoakWorld::AddInstance(int aNumber)
{
  Instance instance;
  instance.name_ = "edge-" + std::to_string(settings_.firstPort_) + "-" + std::to_string(aNumber);
  instance.port_ = settings_.firstPort_ + kInstancePorts + kPortsAnInstance * aNumber;
  BOOST_OUTCOME_TRY(instance.storeLink_,
                    LoopbackProxy::Create(context_,
                                          Loopback(instance.port_ + kStoreLinkPort),
                                          Loopback(settings_.firstPort_ + kStorePort)));
  StartInstance(instance);
  instances_.push_back(std::move(instance));
  return outcome::success();
}

void
SoakWorld::StartInstance(Instance& aInstance)
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
  aInstance.isExpected_ = true;
  aInstance.isPaused_ = false;
  ++aInstance.runs_;
}

void
SoakWorld::KillInstance(Instance& aInstance)
{
  aInstance.isExpected_ = false;
  aInstance.isPaused_ = false;
  aInstance.process_->Signal(SIGKILL);
  aInstance.process_->Wait();
}

void
SoakWorld::NoteHealed()
{
  healedAt_ = MonotonicNow();
}

void
SoakWorld::SwitchBookingService()
{
  bookingService_ = bookingService_ == kBookings ? kOthers : kBookings;
  PutConfiguration();
}

void
SoakWorld::PutConfiguration()
{
  configuration_ += 2;
  WriteConfiguration();
}

void
SoakWorld::WriteConfiguration()
{
  store_->Put("op", "config", MakeManifest(configuration_, bookingService_));
}

void
SoakWorld::WriteAgain()
{
  WriteConfiguration();
  std::set<std::string> incarnations;
  for (const auto& server : servers_) {
    incarnations.insert(server.backend_->Id());
    server.backend_->WriteAgain();
  }
  for (const auto& id : store_->KeysOf("servers")) {
    if (!incarnations.contains(id)) {
      store_->Remove("servers", id);
    }
  }
}

void
SoakWorld::Run(Duration aTime)
{
  RunUntil([] { return false; }, aTime);
}

bool
SoakWorld::RunUntil(const std::function<bool()>& aIsDone, Duration aMost)
{
  const auto end = MonotonicNow() + aMost;
  while (MonotonicNow() < end) {
    context_.run_for(kStep);
    context_.restart();
    LookAtProcesses();
    const auto now = MonotonicNow();
    for (auto& server : servers_) {
      server.backend_->SetOrdersHeldUp(now - healedAt_ < kHealed);
    }
    SendDue(now);
    if (aIsDone()) {
      return true;
    }
  }
  return false;
}

void
SoakWorld::SendDue(Instant aNow)
{
  while (isLoaded_ && nextRequest_ <= aNow) {
    nextRequest_ = std::max(nextRequest_ + settings_.pace_, aNow - kStep);
    std::uniform_int_distribution<std::size_t> draw(0, instances_.size() - 1);
    Ask(instances_[draw(random_)], asked_ % 2 == 0);
  }
}

void
SoakWorld::Quiesce()
{
  isLoaded_ = false;
  RunUntil([this] { return ended_ == asked_; }, kClientTime + kClientSlack + seconds(1));
}

void
SoakWorld::After(Duration aTime, std::function<void()> aWhat)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(context_, aTime);
  timer->async_wait([timer, what = std::move(aWhat)](boost::system::error_code aError) {
    if (!aError) {
      what();
    }
  });
}

void
SoakWorld::LookAtProcesses()
{
  for (auto& instance : instances_) {
    if (instance.isExpected_ && instance.process_->HasEnded()) {
      instance.isExpected_ = false;
      promises_.Break("ENDED " + instance.name_ + " with status " +
                      std::to_string(instance.process_->Wait()));
    }
  }
}

void
SoakWorld::Ask(Instance& aInstance, bool aIsBooking, const std::function<void(unsigned)>& aDone)
{
  const auto id = "q" + std::to_string(++asked_);
  HttpRequest request;
  request.method_ = aIsBooking ? "POST" : "GET";
  request.target_ = aIsBooking ? "/book/1" : "/rates/1";
  request.headers_ = {
    { "Host", "a.example" },
    { "X-Request-Id", id },
    { "X-Deadline-Ms", std::to_string(duration_cast<milliseconds>(kClientTime).count()) },
    { "X-Shard-Key", std::to_string(std::uniform_int_distribution<int>(0, kLastKey)(random_)) }
  };
  promises_.OnAsked(id, aIsBooking, aInstance.Run());
  client_->Send(Loopback(aInstance.port_),
                std::move(request),
                kClientTime + kClientSlack,
                [this, id, aDone, name = aInstance.name_, sentAt = MonotonicNow()](
                  const HttpExchange& aExchange) {
                  const auto status = OnAnswered(id, name, sentAt, aExchange);
                  if (aDone) {
                    aDone(status);
                  }
                });
}

unsigned
SoakWorld::OnAnswered(const std::string& aRequest,
                      const std::string& aInstance,
                      Instant aSentAt,
                      const HttpExchange& aExchange)
{
  ++ended_;
  if (aExchange.end_ == ExchangeEnd::Broken) {
    broken_.push_back({ aRequest,
                        aRequest + " at " + aInstance + ": " + aExchange.problem_,
                        MonotonicNow() - aSentAt });
  }
  if (aExchange.end_ != ExchangeEnd::Complete) {
    return 0;
  }
  const auto& answer = aExchange.response_;
  if (!answer.Header("Server-Leaving").empty()) {
    promises_.OnLeavingPassedOn(aRequest);
  }
  if (!answer.Header("Server-Limit").empty()) {
    promises_.OnRateLimitPassedOn(aRequest);
  }
  if (answer.status_ == kOk) {
    ++answered_;
    promises_.OnSuccess(
      aRequest, *answer.body_, std::string(answer.Header("X-Response-Signature")));
  } else if (answer.status_ == kUnavailable) {
    promises_.OnRefused(aRequest);
  }
  return answer.status_;
}

bool
SoakWorld::IsAllServed()
{
  const bool wasLoaded = std::exchange(isLoaded_, false);
  constexpr int kEach = 6;
  const auto wanted = instances_.size() * kEach;
  const auto results = std::make_shared<std::pair<std::size_t, std::size_t>>();
  for (auto& instance : instances_) {
    for (int number = 0; number < kEach; ++number) {
      Ask(instance, number % 2 == 0, [results](unsigned aStatus) {
        ++results->first;
        results->second += aStatus == kOk ? 1 : 0;
      });
    }
  }
  RunUntil([&] { return results->first == wanted; }, kClientTime + kClientSlack);
  isLoaded_ = wasLoaded;
  return results->second == wanted;
}

} // namespace latchslip::platform
