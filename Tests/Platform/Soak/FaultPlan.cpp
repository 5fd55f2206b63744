#include "FaultPlan.h"

#include "LibNet/MonotonicClock.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

namespace latchslip::platform {

namespace {

// Between the beginnings of two faults.
constexpr Duration kLeastGap = milliseconds(50);
constexpr Duration kMostGap = milliseconds(900);
// How long a fault lasts that ends by itself.
constexpr Duration kLeastTime = milliseconds(200);
constexpr Duration kMostTime = milliseconds(4000);
// One after the other, this many instances are stopped and started in a series.
constexpr std::size_t kMostSeries = 3;
// A leaving server serves for this long after it said so.
constexpr Duration kServesOn = milliseconds(2600);
// A crashed server's record stays for three of its silent heartbeats.
constexpr Duration kRecordStays = milliseconds(1500);
// Each way, of a link that is delayed.
constexpr Duration kMostDelay = milliseconds(300);
constexpr int kMostLost = 5;
// Of so many faults one goes with a return of the store.
constexpr unsigned kFaultsAReturn = 5;
// Of so many faults one goes with a server that says something of itself in its answers.
constexpr unsigned kFaultsATelling = 3;
// How long the store is away when a server tells only its clients that it leaves.
constexpr Duration kTellingAway = milliseconds(4000);
// The rest that servers ask for.
constexpr Duration kLeastRest = milliseconds(600);
constexpr Duration kMostRest = milliseconds(3000);
// Of so many faults one goes with a server that names a rate limit, of so many requests a
// second, for so long. Usually it gets some 17 a second.
constexpr unsigned kFaultsALimit = 3;
constexpr unsigned kLeastLimit = 1;
constexpr unsigned kMostLimit = 6;
constexpr Duration kLeastLimitTime = milliseconds(5000);
constexpr Duration kMostLimitTime = milliseconds(12000);
// How long the store is away before it returns.
constexpr Duration kMostAway = milliseconds(1500);
// Writes of others that a return loses: a second of what a store of a small fleet takes.
constexpr int kLostWrites = 400;
// Servers and operators write again within this time.
constexpr Duration kMostWriteAgain = milliseconds(1800);

// A time between the two, drawn from that generator.
Duration
DrawFrom(std::minstd_rand& aRandom, Duration aLeast, Duration aMost)
{
  return Duration(
    std::uniform_int_distribution<Duration::rep>(aLeast.count(), aMost.count())(aRandom));
}

} // namespace

FaultPlan::FaultPlan(SoakWorld& aWorld, std::uint32_t aSeed, Extras aExtras)
  : world_(aWorld)
  , random_(aSeed)
  , extras_(aExtras)
  , returnsRandom_(aSeed)
  , tellsRandom_(aSeed)
  , limitsRandom_(aSeed)
  , startedAt_(MonotonicNow())
{
}

void
FaultPlan::Run(Duration aTime)
{
  const auto end = MonotonicNow() + aTime;
  while (MonotonicNow() < end) {
    Inject(static_cast<SoakFault>(DrawIndex(kDrawnFaults)));
    if (extras_.storeReturns_ && returnsRandom_() % kFaultsAReturn == 0) {
      ReturnStore();
    }
    if (extras_.serversTell_ && tellsRandom_() % kFaultsATelling == 0) {
      auto& server = world_.Servers()[tellsRandom_() % world_.Servers().size()];
      if (tellsRandom_() % 2 == 0) {
        LetServerTellLeaving(server);
      } else {
        LetServerRest(server);
      }
    }
    if (extras_.serversLimit_ && limitsRandom_() % kFaultsALimit == 0) {
      LimitServer(world_.Servers()[limitsRandom_() % world_.Servers().size()]);
    }
    world_.Run(Draw(kLeastGap, kMostGap));
  }
}

Duration
FaultPlan::Draw(Duration aLeast, Duration aMost)
{
  return DrawFrom(random_, aLeast, aMost);
}

std::size_t
FaultPlan::DrawIndex(std::size_t aCount)
{
  return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(random_);
}

SoakWorld::Instance&
FaultPlan::DrawInstance()
{
  return world_.Instances()[DrawIndex(world_.Instances().size())];
}

SoakWorld::Server&
FaultPlan::DrawServer()
{
  return world_.Servers()[DrawIndex(world_.Servers().size())];
}

void
FaultPlan::Note(SoakFault aFault, const std::string& aWhat, Duration aTime)
{
  char line[160];
  std::snprintf(line,
                sizeof line,
                "%8.3f s  %s %s %.3f s\n",
                ToSeconds(MonotonicNow() - startedAt_),
                std::string(kSoakFaultNames.NameOf(aFault)).c_str(),
                aWhat.c_str(),
                ToSeconds(aTime));
  story_ += line;
}

void
FaultPlan::Inject(SoakFault aFault)
{
  const auto time = Draw(kLeastTime, kMostTime);
  auto& instance = DrawInstance();
  auto& server = DrawServer();
  switch (aFault) {
    case SoakFault::KillInstance:
      return KillInstance(instance, time / 4);
    case SoakFault::StopInstance:
      return StopSeries(time / 8);
    case SoakFault::PauseInstance:
      return PauseInstance(instance, time);
    case SoakFault::SettingsSignal:
      return SignalSettings(instance);
    case SoakFault::KillAll:
      return KillAll(time / 4);
    case SoakFault::StoreLink:
      return HarmLink(*instance.storeLink_, aFault, instance.name_);
    case SoakFault::ServerLink:
      HarmLink(*server.link_, aFault, server.backend_->Id());
      return;
    case SoakFault::StoreDown:
      return TakeStoreDown(time);
    case SoakFault::StoreSlow:
      return SlowStore(time);
    case SoakFault::StoreLosesAnswers:
      return LoseStoreAnswers();
    case SoakFault::StoreForgets:
      return ForgetStoreHistory();
    case SoakFault::ServerCrash:
      return CrashServer(server, time);
    case SoakFault::ServerLeaves:
      return LetServerLeave(server);
    case SoakFault::ServerUnlisted:
      return UnlistServer(server, time);
    case SoakFault::ConfigurationChange:
      return ChangeConfiguration();
    case SoakFault::StoreReturns:
      return ReturnStore();
    case SoakFault::ServerTellsLeaving:
      return LetServerTellLeaving(server);
    case SoakFault::ServerAsksForRest:
      return LetServerRest(server);
    case SoakFault::ServerNamesRateLimit:
      return LimitServer(server);
  }
}

void
FaultPlan::KillInstance(SoakWorld::Instance& aInstance, Duration aDown)
{
  Note(SoakFault::KillInstance, aInstance.name_, aDown);
  Kill(aInstance, aDown);
}

void
FaultPlan::KillAll(Duration aDown)
{
  Note(SoakFault::KillAll, "", aDown);
  for (auto& instance : world_.Instances()) {
    Kill(instance, aDown);
  }
}

void
FaultPlan::Kill(SoakWorld::Instance& aInstance, Duration aDown)
{
  if (!aInstance.isExpected_) {
    return;
  }
  world_.KillInstance(aInstance);
  world_.After(aDown, [this, &aInstance, run = aInstance.runs_] {
    if (aInstance.runs_ == run) {
      world_.StartInstance(aInstance);
    }
  });
}

void
FaultPlan::StopSeries(Duration aGap)
{
  for (std::size_t count = 1 + DrawIndex(kMostSeries); count > 0; --count) {
    auto& instance = DrawInstance();
    Note(SoakFault::StopInstance, instance.name_, Duration(0));
    Stop(instance);
    world_.Run(aGap);
  }
}

void
FaultPlan::Stop(SoakWorld::Instance& aInstance)
{
  if (!aInstance.isExpected_ || aInstance.isPaused_) {
    return;
  }
  aInstance.isExpected_ = false;
  aInstance.process_->Signal(SIGTERM);
  // The platform kills after the grace.
  constexpr Duration kGrace = seconds(6);
  world_.After(kGrace, [this, &aInstance, run = aInstance.runs_] {
    if (aInstance.runs_ == run) {
      world_.KillInstance(aInstance);
      world_.StartInstance(aInstance);
    }
  });
}

void
FaultPlan::PauseInstance(SoakWorld::Instance& aInstance, Duration aTime)
{
  Note(SoakFault::PauseInstance, aInstance.name_, aTime);
  if (!aInstance.isExpected_ || aInstance.isPaused_) {
    return;
  }
  aInstance.isPaused_ = true;
  aInstance.process_->Signal(SIGSTOP);
  world_.After(aTime, [this, &aInstance, run = aInstance.runs_] {
    if (aInstance.runs_ == run && aInstance.isPaused_) {
      world_.Kept().Answers().ExcuseInstance(aInstance.Run());
      aInstance.isPaused_ = false;
      aInstance.process_->Signal(SIGCONT);
      world_.NoteHealed();
    }
  });
}

void
FaultPlan::SignalSettings(const SoakWorld::Instance& aInstance)
{
  Note(SoakFault::SettingsSignal, aInstance.name_, Duration(0));
  if (aInstance.isExpected_) {
    aInstance.process_->Signal(SIGHUP);
  }
}

void
FaultPlan::HarmLink(LoopbackProxy& aLink, SoakFault aFault, const std::string& aWhat)
{
  const auto kind = static_cast<LinkFault>(1 + DrawIndex(kLinkFaultNames.names_.size() - 1));
  const auto time = Draw(kLeastTime, kMostTime);
  if (aLink.Fault() != LinkFault::None) {
    return;
  }
  Note(aFault, aWhat + " " + std::string(kLinkFaultNames.NameOf(kind)), time);
  world_.Kept().Answers().SetHarmed(aWhat, true);
  aLink.SetFault(kind, Draw(Duration(0), kMostDelay));
  world_.After(time, [this, &aLink, kind, aWhat] {
    if (aLink.Fault() == kind) {
      world_.Kept().Answers().SetHarmed(aWhat, false);
      aLink.SetFault(LinkFault::None);
      world_.NoteHealed();
    }
  });
}

void
FaultPlan::TakeStoreDown(Duration aTime)
{
  Note(SoakFault::StoreDown, "", aTime);
  auto& store = world_.Store();
  store.SetDown(true);
  world_.After(aTime, [&store] { store.SetDown(false); });
}

void
FaultPlan::SlowStore(Duration aTime)
{
  Note(SoakFault::StoreSlow, "", aTime);
  auto& store = world_.Store();
  store.SetDelay(Draw(Duration(0), kMostDelay));
  world_.After(aTime, [&store] { store.SetDelay(Duration(0)); });
}

void
FaultPlan::LoseStoreAnswers()
{
  Note(SoakFault::StoreLosesAnswers, "", Duration(0));
  world_.Store().LoseAnswers(static_cast<int>(1 + DrawIndex(kMostLost)));
}

void
FaultPlan::ForgetStoreHistory()
{
  Note(SoakFault::StoreForgets, "", Duration(0));
  world_.Store().ForgetHistory();
}

void
FaultPlan::CrashServer(SoakWorld::Server& aServer, Duration aDown)
{
  Note(SoakFault::ServerCrash, aServer.backend_->Id(), aDown);
  Crash(aServer);
  world_.After(kRecordStays, [&aServer, id = aServer.backend_->Id()] {
    if (aServer.backend_->Id() == id && !aServer.backend_->IsUp()) {
      aServer.backend_->Unlist();
    }
  });
  world_.After(aDown, [this, &aServer] { BeginIncarnation(aServer); });
}

void
FaultPlan::Crash(SoakWorld::Server& aServer)
{
  aServer.backend_->Crash();
  aServer.link_->SetFault(LinkFault::Reset);
}

void
FaultPlan::BeginIncarnation(SoakWorld::Server& aServer)
{
  if (aServer.backend_->IsUp()) {
    return;
  }
  const auto id = aServer.backend_->Id();
  aServer.backend_->Unlist();
  aServer.link_->SetFault(LinkFault::None);
  aServer.backend_->BeginIncarnation(id.substr(0, id.find('-') + 1) +
                                     std::to_string(++aServer.incarnations_));
}

void
FaultPlan::LetServerLeave(SoakWorld::Server& aServer)
{
  Note(SoakFault::ServerLeaves, aServer.backend_->Id(), kServesOn);
  if (!aServer.backend_->IsUp()) {
    return;
  }
  aServer.backend_->Leave();
  world_.After(kServesOn,
               [this, &aServer, id = aServer.backend_->Id()] { EndLeaving(aServer, id); });
}

void
FaultPlan::EndLeaving(SoakWorld::Server& aServer, const std::string& aId)
{
  if (aServer.backend_->Id() != aId || !aServer.backend_->IsUp()) {
    return;
  }
  Crash(aServer);
  aServer.backend_->Unlist();
  world_.After(kServesOn, [this, &aServer] { BeginIncarnation(aServer); });
}

void
FaultPlan::LetServerTellLeaving(SoakWorld::Server& aServer)
{
  Note(SoakFault::ServerTellsLeaving, aServer.backend_->Id(), kTellingAway);
  if (!aServer.backend_->IsUp()) {
    return;
  }
  world_.Store().SetDown(true);
  aServer.backend_->TellLeaving();
  world_.After(kTellingAway, [this, &aServer, id = aServer.backend_->Id()] {
    world_.Store().SetDown(false);
    if (aServer.backend_->Id() == id && aServer.backend_->IsUp()) {
      LetServerLeave(aServer);
    }
  });
}

void
FaultPlan::LetServerRest(SoakWorld::Server& aServer)
{
  const auto rest = DrawFrom(tellsRandom_, kLeastRest, kMostRest);
  const auto time = DrawFrom(tellsRandom_, kLeastTime, kMostTime);
  Note(SoakFault::ServerAsksForRest, aServer.backend_->Id(), rest);
  aServer.backend_->SetRest(rest);
  world_.After(time, [&aServer, id = aServer.backend_->Id()] {
    if (aServer.backend_->Id() == id) {
      aServer.backend_->SetRest(std::nullopt);
    }
  });
}

void
FaultPlan::LimitServer(SoakWorld::Server& aServer)
{
  const double limit = kLeastLimit + limitsRandom_() % (kMostLimit - kLeastLimit + 1);
  const auto time = DrawFrom(limitsRandom_, kLeastLimitTime, kMostLimitTime);
  const auto id = aServer.backend_->Id();
  Note(SoakFault::ServerNamesRateLimit, id + " at " + std::to_string(limit), time);
  aServer.backend_->SetRateLimit(limit);
  world_.Kept().Answers().OnRateLimitNamed(id, limit);
  world_.After(time, [this, &aServer, id] {
    if (aServer.backend_->Id() == id) {
      EndLimit(aServer);
    }
  });
}

void
FaultPlan::EndLimit(SoakWorld::Server& aServer)
{
  aServer.backend_->SetRateLimit(std::nullopt);
  world_.Kept().Answers().OnRateLimitNamed(aServer.backend_->Id(), std::nullopt);
}

void
FaultPlan::UnlistServer(SoakWorld::Server& aServer, Duration aTime)
{
  Note(SoakFault::ServerUnlisted, aServer.backend_->Id(), aTime);
  aServer.backend_->Unlist();
  world_.After(aTime, [&aServer, id = aServer.backend_->Id()] {
    if (aServer.backend_->Id() == id && aServer.backend_->IsUp()) {
      aServer.backend_->Relist();
    }
  });
}

void
FaultPlan::ChangeConfiguration()
{
  Note(SoakFault::ConfigurationChange, "", Duration(0));
  world_.SwitchBookingService();
}

void
FaultPlan::ReturnStore()
{
  const auto age = DrawFrom(returnsRandom_, Duration(0), kMostTime);
  const auto away = DrawFrom(returnsRandom_, Duration(0), kMostAway);
  Note(SoakFault::StoreReturns, "from a copy as old as this:", age);
  world_.Store().TakeCopy();
  world_.After(age, [this] {
    // Others write as well, so that the counter takes long to pass its old mark.
    for (int write = 0; write < kLostWrites; ++write) {
      world_.Store().Put("others", "row", std::to_string(write));
    }
    world_.Store().SetDown(true);
  });
  world_.After(age + away, [this] {
    world_.Store().ReturnFromCopy();
    world_.Store().SetDown(false);
  });
  const auto writeAgain = DrawFrom(returnsRandom_, Duration(0), kMostWriteAgain);
  world_.After(age + away + writeAgain, [this] { world_.WriteAgain(); });
}

void
FaultPlan::HealAll()
{
  HealStore();
  for (auto& instance : world_.Instances()) {
    Heal(instance);
  }
  for (auto& server : world_.Servers()) {
    Heal(server);
  }
  world_.NoteHealed();
}

void
FaultPlan::HealStore()
{
  auto& store = world_.Store();
  store.SetDown(false);
  store.SetDelay(Duration(0));
  store.LoseAnswers(0);
}

void
FaultPlan::Heal(SoakWorld::Instance& aInstance)
{
  aInstance.storeLink_->SetFault(LinkFault::None);
  if (aInstance.isPaused_) {
    world_.Kept().Answers().ExcuseInstance(aInstance.Run());
    aInstance.isPaused_ = false;
    aInstance.process_->Signal(SIGCONT);
  }
  if (!aInstance.isExpected_) {
    world_.KillInstance(aInstance);
    world_.StartInstance(aInstance);
  }
}

void
FaultPlan::Heal(SoakWorld::Server& aServer)
{
  auto& backend = *aServer.backend_;
  if (aServer.link_->Fault() != LinkFault::None) {
    world_.Kept().Answers().SetHarmed(backend.Id(), false);
    aServer.link_->SetFault(LinkFault::None);
  }
  backend.SetRest(std::nullopt);
  EndLimit(aServer);
  if (backend.IsUp() && backend.IsLeaving()) {
    // No server takes its leaving back.
    Crash(aServer);
  }
  if (backend.IsUp()) {
    backend.Relist();
  } else {
    BeginIncarnation(aServer);
  }
}

} // namespace latchslip::platform
