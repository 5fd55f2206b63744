// Simulates keyed servers with and without load management, and callers that retry as they are
// told. Callers honour Retry-After up to 0.3 of their time left and retry twice at most. The load
// is either 1.3 times the capacity for 3 s and 0.8 of it afterwards, or has short bursts.

#include "LibPermit/PermitDispatcher.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <queue>
#include <random>
#include <tuple>

namespace latchslip {

namespace {

constexpr std::size_t kServers = 20;
constexpr std::size_t kSlots = 3;
constexpr Duration kWork = milliseconds(200);
constexpr Duration kInTime = milliseconds(800);
constexpr Duration kTimeLeft = seconds(10);
constexpr double kHonouredShare = 0.3;
// Least and relative range of Retry-After without a promise, as in GatewayRouter.
constexpr Duration kMinRetryDelay = milliseconds(50);
constexpr unsigned kMaxRetries = 2;
constexpr Duration kOverload = seconds(3);
constexpr Duration kDay = seconds(10);
constexpr double kOverloadFactor = 1.3;
constexpr double kNormalFactor = 0.8;
constexpr Duration kBurst = milliseconds(300);
constexpr Duration kBurstInterval = seconds(2);
constexpr double kBurstFactor = 3;
constexpr double kBetweenBurstsFactor = 0.4;
constexpr unsigned kPriorities = 2;
// Share of the callers with the more urgent priority.
constexpr double kUrgentShare = 0.3;
constexpr std::size_t kInstances = 20;
// Pause of callers that do not honour Retry-After.
constexpr Duration kRepeatPause = milliseconds(5);

// Difference of two shares that random servers and work times cause: about twice the deviation of a
// share of 0.85 of 5,000 callers.
constexpr double kNoise = 0.01;

// Outcomes of one kind of callers.
struct CallerCounts
{
  unsigned callers_ = 0;
  unsigned inTime_ = 0;
  unsigned answered_ = 0;
  unsigned returns_ = 0;
  unsigned deniedReturns_ = 0;

  double AnsweredShare() const { return static_cast<double>(answered_) / callers_; }
  double InTimeShare() const { return static_cast<double>(inTime_) / callers_; }
};

enum class Load
{
  // 1.3 times the capacity for 3 s, then 0.8.
  LongOverload,
  // Three times the capacity for 0.3 s of every 2 s, 0.4 of it in between.
  Bursts
};

struct LoadSettings
{
  unsigned seed_ = 1;
  Load load_ = Load::LongOverload;
  bool usesLoadManagement_ = true;
  // Share of the callers that repeat at once.
  double repeatingShare_ = 0;
  // Time at which another dispatcher takes over.
  std::optional<Duration> dispatcherChangesAt_{};
  // Time at which server 0 goes.
  std::optional<Duration> serverGoesAt_{};
};

// Servers, their dispatcher and the callers, on a simulated clock.
class ReturningCallers : private DispatcherActions
{
public:
  explicit ReturningCallers(const LoadSettings& aSettings)
    : settings_(aSettings)
    , arrivals_(aSettings.seed_)
    , random_(aSettings.seed_)
    , servers_(kServers)
  {
    for (std::size_t index = 0; index < kServers; ++index) {
      PutServer(index);
    }
    StartDispatcher();
  }

  void Run()
  {
    if (settings_.dispatcherChangesAt_) {
      In(*settings_.dispatcherChangesAt_, [this] { ChangeDispatcher(); });
    }
    if (settings_.serverGoesAt_) {
      In(*settings_.serverGoesAt_, [this] { RemoveServer(); });
    }
    NextCaller();
    CheckQueue();
    while (!steps_.empty() && now_ < kStart + kDay + kTimeLeft) {
      auto step = steps_.top();
      steps_.pop();
      now_ = step.at_;
      step.act_();
    }
  }

  // Outcomes of callers that honour Retry-After, by priority.
  const CallerCounts& Honouring(unsigned aPriority) const { return counts_.at(aPriority).at(0); }
  // Outcomes of callers that repeat at once, by priority.
  const CallerCounts& Repeating(unsigned aPriority) const { return counts_.at(aPriority).at(1); }
  // Promised returns of the present dispatcher.
  const ReturnCounts& Returns() const { return dispatcher_->Returns(); }
  // Runs of the caller's request beyond the first.
  unsigned RunsTwice() const { return runsTwice_; }
  // Permit requests that have had no final answer.
  unsigned Unanswered() const
  {
    return static_cast<unsigned>(
      std::count_if(callers_.begin(), callers_.end(), [](const Caller& aCaller) {
        return aCaller.attempt_ != 0;
      }));
  }
  // Promises given within the first half second of a new dispatcher.
  unsigned PromisesOfNewDispatcher() const { return earlyPromises_; }

private:
  static constexpr Instant kStart = seconds(100);

  struct Caller
  {
    Instant begin_{ 0 };
    unsigned priority_ = 0;
    std::size_t server_ = 0;
    Duration work_{ 0 };
    bool isRepeating_ = false;
    unsigned retries_ = 0;
    Instant sent_{ 0 };
    bool hasRun_ = false;
    // Number of the pending permit request; 0 if there is none.
    AttemptNumber attempt_ = 0;
  };

  struct Server
  {
    std::size_t running_ = 0;
    std::deque<AttemptNumber> waiting_;
    bool isGone_ = false;
  };

  struct Step
  {
    Instant at_{ 0 };
    std::uint64_t order_ = 0;
    std::function<void()> act_;
    bool operator>(const Step& aOther) const
    {
      return std::tie(at_, order_) > std::tie(aOther.at_, aOther.order_);
    }
  };

  static std::string IdOf(std::size_t aServer) { return "s" + std::to_string(aServer); }

  void In(Duration aTime, std::function<void()> aAct)
  {
    steps_.push({ now_ + aTime, ++order_, std::move(aAct) });
  }

  void PutServer(std::size_t aServer)
  {
    const auto id = IdOf(aServer);
    directory_.Put(now_, { id, "keyed", id + ":80", "hall", kSlots, false, 1 });
  }

  void StartDispatcher()
  {
    RoutingConfiguration configuration;
    configuration.version_ = 1;
    configuration.services_ = { { "keyed", 500, true } };
    Route route;
    route.host_ = "a.example";
    route.pathPrefix_ = "/";
    route.hasLargeBodies_ = settings_.usesLoadManagement_;
    route.targets_ = { { "keyed", 1 } };
    configuration.routes_ = { route };
    DispatcherActions& actions = *this;
    dispatcher_ = std::make_unique<PermitDispatcher>(directory_, actions);
    dispatcher_->SetRoutes(
      now_, std::make_shared<const RouteTable>(RouteTable::Create(configuration).value()));
  }

  // The requesting instances report the sends under way to the new dispatcher and request their
  // permits again there.
  void ChangeDispatcher()
  {
    StartDispatcher();
    dispatcherSince_ = now_;
    std::vector<std::size_t> waiting;
    for (std::size_t index = 0; index < callers_.size(); ++index) {
      if (callers_[index].attempt_ != 0) {
        waiting.push_back(index);
      }
    }
    for (const auto& [number, index] : running_) {
      const auto& caller = callers_[index];
      dispatcher_->OnMessage(
        now_,
        LinkOf(index),
        SendNotice{ number, "keyed", IdOf(caller.server_), now_ - caller.sent_, seconds(3) });
    }
    for (const auto index : waiting) {
      Ask(index);
    }
  }

  void RemoveServer()
  {
    servers_[0].isGone_ = true;
    std::vector<ServerRecord> rest;
    for (const auto& [id, record] : directory_.All()) {
      if (id != IdOf(0)) {
        rest.push_back(record);
      }
    }
    directory_ = {};
    for (const auto& record : rest) {
      directory_.Put(now_, record);
    }
    dispatcher_->OnDirectoryChanged(now_);
  }

  void CheckQueue()
  {
    dispatcher_->OnTime(now_);
    In(milliseconds(5), [this] { CheckQueue(); });
  }

  // The load at the age of the day, as a multiple of the capacity.
  double LoadAt(Duration aAge) const
  {
    if (settings_.load_ == Load::Bursts) {
      return aAge % kBurstInterval < kBurst ? kBurstFactor : kBetweenBurstsFactor;
    }
    return aAge < kOverload ? kOverloadFactor : kNormalFactor;
  }

  void NextCaller()
  {
    const auto age = now_ - kStart;
    if (age > kDay) {
      return;
    }
    const double rate = LoadAt(age) * kServers * kSlots / ToSeconds(kWork);
    std::exponential_distribution<double> pause(rate);
    constexpr double kMicroseconds = 1e6;
    In(Duration(static_cast<Duration::rep>(pause(arrivals_) * kMicroseconds)), [this] {
      AddCaller();
      NextCaller();
    });
  }

  void AddCaller()
  {
    std::uniform_real_distribution<double> draw(0, 1);
    Caller caller;
    caller.begin_ = now_;
    caller.priority_ = draw(arrivals_) < kUrgentShare ? 0 : 1;
    caller.server_ = std::uniform_int_distribution<std::size_t>(0, kServers - 1)(arrivals_);
    // Mean 1; most values lie within a third.
    constexpr double kSigma = 0.3;
    std::lognormal_distribution<double> spread(-kSigma * kSigma / 2, kSigma);
    caller.work_ = Scale(kWork, spread(arrivals_));
    caller.isRepeating_ = draw(arrivals_) < settings_.repeatingShare_;
    callers_.push_back(caller);
    ++CountsOf(caller).callers_;
    Ask(callers_.size() - 1);
  }

  CallerCounts& CountsOf(const Caller& aCaller)
  {
    return counts_.at(aCaller.priority_).at(aCaller.isRepeating_ ? 1 : 0);
  }

  static CallerId LinkOf(std::size_t aCaller) { return 1 + aCaller % kInstances; }

  void Ask(std::size_t aCaller)
  {
    auto& caller = callers_[aCaller];
    caller.attempt_ = ++lastAttempt_;
    asked_[caller.attempt_] = aCaller;
    PermitRequest request;
    request.number_ = caller.attempt_;
    request.service_ = "keyed";
    request.server_ = IdOf(caller.server_);
    request.hall_ = "hall";
    request.priority_ = caller.priority_;
    request.inTime_ = caller.begin_ + kInTime - now_;
    request.timeLeft_ = caller.begin_ + kTimeLeft - now_;
    request.fingerprint_ = aCaller + 1;
    dispatcher_->OnMessage(now_, LinkOf(aCaller), request);
  }

  void RecordLeaving(const std::string&, std::uint64_t) override {}
  void RecordSuspension(const std::string&, CallerId, Duration) override {}
  void RecordResignation(std::size_t, Duration) override {}
  void Answer(CallerId, const MessageFromDispatcher& aMessage) override
  {
    if (const auto* permit = std::get_if<Permit>(&aMessage)) {
      const auto number = permit->number_;
      Take(number).sent_ = now_;
      running_[number] = asked_.at(number);
      In(Duration(0), [this, number] { Arrive(number); });
    } else if (const auto* denial = std::get_if<PermitDenial>(&aMessage)) {
      Take(denial->number_);
      OnDenied(asked_.at(denial->number_), *denial);
    }
  }

  Caller& Take(AttemptNumber aNumber)
  {
    auto& caller = callers_[asked_.at(aNumber)];
    caller.attempt_ = 0;
    return caller;
  }

  // The wait that the caller is told, as by GatewayRouter::RetryAfterOf.
  Duration RetryAfter(const PermitDenial& aDenial, Duration aHonoured)
  {
    if (settings_.usesLoadManagement_ && (aDenial.isPromised_ || aDenial.wait_ > aHonoured)) {
      return aDenial.wait_;
    }
    std::uniform_real_distribution<double> draw(0.5, 1.5);
    return std::min(aHonoured, std::max(kMinRetryDelay, Scale(aDenial.wait_, draw(random_))));
  }

  void OnDenied(std::size_t aCaller, const PermitDenial& aDenial)
  {
    auto& caller = callers_[aCaller];
    auto& counts = CountsOf(caller);
    counts.deniedReturns_ += caller.retries_ > 0 ? 1 : 0;
    if (aDenial.isPromised_ && now_ < dispatcherSince_ + milliseconds(500)) {
      ++earlyPromises_;
    }
    const auto honoured = Scale(caller.begin_ + kTimeLeft - now_, kHonouredShare);
    const auto told = RetryAfter(aDenial, honoured);
    if (caller.retries_ >= kMaxRetries || (!caller.isRepeating_ && told > honoured)) {
      return;
    }
    ++caller.retries_;
    ++counts.returns_;
    In(caller.isRepeating_ ? kRepeatPause : told, [this, aCaller] { Ask(aCaller); });
  }

  void Arrive(AttemptNumber aNumber)
  {
    auto& caller = callers_[running_.at(aNumber)];
    auto& server = servers_[caller.server_];
    if (server.isGone_) {
      Report(aNumber, SendResult::NotReached);
    } else if (server.running_ < kSlots) {
      Start(aNumber);
    } else {
      server.waiting_.push_back(aNumber);
    }
  }

  void Start(AttemptNumber aNumber)
  {
    auto& caller = callers_[running_.at(aNumber)];
    runsTwice_ += caller.hasRun_ ? 1 : 0;
    caller.hasRun_ = true;
    ++servers_[caller.server_].running_;
    In(caller.work_, [this, aNumber] { End(aNumber); });
  }

  void End(AttemptNumber aNumber)
  {
    const auto& caller = callers_[running_.at(aNumber)];
    auto& server = servers_[caller.server_];
    --server.running_;
    auto& counts = CountsOf(caller);
    counts.answered_ += now_ <= caller.begin_ + kTimeLeft ? 1 : 0;
    counts.inTime_ += now_ <= caller.begin_ + kInTime ? 1 : 0;
    if (!server.waiting_.empty()) {
      const auto next = server.waiting_.front();
      server.waiting_.pop_front();
      Start(next);
    }
    Report(aNumber, SendResult::Answered);
  }

  void Report(AttemptNumber aNumber, SendResult aResult)
  {
    const auto entry = running_.find(aNumber);
    const auto index = entry->second;
    running_.erase(entry);
    const auto& caller = callers_[index];
    const auto& server = servers_[caller.server_];
    const ServerStatus status{ static_cast<unsigned>(server.running_),
                               static_cast<unsigned>(server.waiting_.size()),
                               kSlots,
                               1 };
    dispatcher_->OnMessage(
      now_, LinkOf(index), SendEnd{ aNumber, aResult, now_ - caller.sent_, status });
  }

  LoadSettings settings_;
  Instant now_ = kStart;
  // Draws the callers, so that they are the same in all worlds of one seed.
  std::minstd_rand arrivals_;
  std::minstd_rand random_;
  std::vector<Server> servers_;
  std::deque<Caller> callers_;
  // Caller by permit request.
  std::map<AttemptNumber, std::size_t> asked_;
  // Caller by send under way.
  std::map<AttemptNumber, std::size_t> running_;
  std::priority_queue<Step, std::vector<Step>, std::greater<>> steps_;
  std::uint64_t order_ = 0;
  AttemptNumber lastAttempt_ = 0;
  Instant dispatcherSince_ = kStart;
  unsigned earlyPromises_ = 0;
  unsigned runsTwice_ = 0;
  std::array<std::array<CallerCounts, 2>, kPriorities> counts_{};
  ServerDirectory directory_;
  std::unique_ptr<PermitDispatcher> dispatcher_;
};

constexpr unsigned kSeeds = 16;

// Sums over the worlds of all seeds.
struct Totals
{
  std::array<CallerCounts, kPriorities> honouring_{};
  std::array<CallerCounts, kPriorities> repeating_{};
  ReturnCounts returns_;
  unsigned runsTwice_ = 0;
  unsigned unanswered_ = 0;
  unsigned promisesOfNewDispatcher_ = 0;

  unsigned Returns() const { return honouring_[0].returns_ + honouring_[1].returns_; }
  unsigned DeniedReturns() const
  {
    return honouring_[0].deniedReturns_ + honouring_[1].deniedReturns_;
  }
};

void
AddTo(CallerCounts& aSum, const CallerCounts& aCounts)
{
  aSum.callers_ += aCounts.callers_;
  aSum.inTime_ += aCounts.inTime_;
  aSum.answered_ += aCounts.answered_;
  aSum.returns_ += aCounts.returns_;
  aSum.deniedReturns_ += aCounts.deniedReturns_;
}

class ServersUnderLoad : public testing::Test
{
protected:
  static Totals Run(LoadSettings aSettings)
  {
    Totals totals;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      aSettings.seed_ = seed;
      ReturningCallers world(aSettings);
      world.Run();
      for (unsigned priority = 0; priority < kPriorities; ++priority) {
        AddTo(totals.honouring_.at(priority), world.Honouring(priority));
        AddTo(totals.repeating_.at(priority), world.Repeating(priority));
      }
      totals.returns_.promised_ += world.Returns().promised_;
      totals.returns_.kept_ += world.Returns().kept_;
      totals.returns_.deniedAgain_ += world.Returns().deniedAgain_;
      totals.runsTwice_ += world.RunsTwice();
      totals.unanswered_ += world.Unanswered();
      totals.promisesOfNewDispatcher_ += world.PromisesOfNewDispatcher();
    }
    return totals;
  }

  static void Record(const std::string& aName, const Totals& aTotals)
  {
    RecordProperty(aName + "_returns", static_cast<int>(aTotals.Returns()));
    RecordProperty(aName + "_returns_denied", static_cast<int>(aTotals.DeniedReturns()));
    for (unsigned priority = 0; priority < kPriorities; ++priority) {
      RecordProperty(aName + "_in_time_" + std::to_string(priority),
                     std::to_string(aTotals.honouring_.at(priority).InTimeShare()));
    }
  }
};

// Guards against callers that are told to return in vain.
TEST_F(ServersUnderLoad, LongOverload_ReturnsAreRarelyDeniedAgain)
{
  const auto without = Run({ 1, Load::LongOverload, false });
  const auto with = Run({ 1, Load::LongOverload, true });
  Record("without", without);
  Record("with", with);
  EXPECT_GT(without.DeniedReturns(), without.Returns() / 2) << "the load is high enough";
  EXPECT_GT(with.Returns(), 0U);
  EXPECT_LT(20 * with.DeniedReturns(), with.Returns());
}

// Guards against promises at the expense of requests that can be in time.
TEST_F(ServersUnderLoad, LongOverload_NoPriorityHasLessInTimeThanWithoutPromises)
{
  const auto without = Run({ 1, Load::LongOverload, false });
  const auto with = Run({ 1, Load::LongOverload, true });
  for (unsigned priority = 0; priority < kPriorities; ++priority) {
    EXPECT_GE(with.honouring_.at(priority).InTimeShare(),
              without.honouring_.at(priority).InTimeShare())
      << "priority " << priority;
  }
}

// Guards against promises that are not kept, where many are given.
TEST_F(ServersUnderLoad, Bursts_PromisesAreKept)
{
  const auto with = Run({ 1, Load::Bursts, true });
  Record("with", with);
  EXPECT_GT(with.returns_.kept_, 300U);
  EXPECT_LT(20 * with.returns_.deniedAgain_, with.returns_.kept_);
}

// Guards against callers that are told to return in vain, by a promise or without one.
TEST_F(ServersUnderLoad, Bursts_ReturnsAreRarelyDeniedAgain)
{
  const auto with = Run({ 1, Load::Bursts, true });
  Record("with", with);
  EXPECT_LT(20 * with.DeniedReturns(), with.Returns());
}

// Guards against callers that repeat at once to get ahead of those that return when told.
TEST_F(ServersUnderLoad, CallersRepeatAtOnce_TheyGainNothing)
{
  LoadSettings settings{ 1, Load::Bursts, true };
  settings.repeatingShare_ = 0.2;
  const auto with = Run(settings);
  settings.usesLoadManagement_ = false;
  const auto without = Run(settings);
  const auto& repeating = with.repeating_[1];
  const auto& honouring = with.honouring_[1];
  ASSERT_GT(repeating.returns_, 500U);
  EXPECT_LE(repeating.AnsweredShare(), honouring.AnsweredShare());
  EXPECT_LE(repeating.InTimeShare(), without.repeating_[1].InTimeShare() + kNoise);
}

// Guards against requests that are lost or run twice when a dispatcher takes over, and against its
// promises before it knows the load.
TEST_F(ServersUnderLoad, DispatcherChanges_NothingIsLostAndNothingPromisedAtFirst)
{
  LoadSettings settings{ 1, Load::Bursts, true };
  settings.dispatcherChangesAt_ = milliseconds(2150);
  const auto with = Run(settings);
  EXPECT_EQ(with.promisesOfNewDispatcher_, 0U);
  EXPECT_GT(with.returns_.kept_, 0U) << "it promises later";
  EXPECT_EQ(with.runsTwice_, 0U);
  EXPECT_EQ(with.unanswered_, 0U);
}

// Guards against reservations for a server that is gone.
TEST_F(ServersUnderLoad, ServerGoes_PromisesOfTheOthersAreKept)
{
  LoadSettings settings{ 1, Load::Bursts, true };
  settings.serverGoesAt_ = milliseconds(2250);
  const auto with = Run(settings);
  EXPECT_GT(with.returns_.kept_, 200U);
  EXPECT_LT(20 * with.returns_.deniedAgain_, with.returns_.kept_);
  EXPECT_EQ(with.runsTwice_, 0U);
  EXPECT_EQ(with.unanswered_, 0U);
}

} // namespace

} // namespace latchslip
