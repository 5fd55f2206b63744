#include "FaultInjector.h"

#include "LibNet/MonotonicClock.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

namespace latchslip::platform {

namespace {

// Time between the starts of two faults.
constexpr Duration kMinGap = milliseconds(50);
constexpr Duration kMaxGap = milliseconds(900);
// Duration of a fault that ends by itself.
constexpr Duration kMinFaultTime = milliseconds(200);
constexpr Duration kMaxFaultTime = milliseconds(4000);
// Maximum number of instances that are stopped and restarted in succession.
constexpr std::size_t kMaxShutdowns = 3;
// How long a server continues to serve after announcing its shutdown.
constexpr Duration kShutdownDelay = milliseconds(2600);
// How long a crashed server's record stays: three missed heartbeats.
constexpr Duration kRecordLifetime = milliseconds(1500);
// Maximum delay of a delayed link, in each direction.
constexpr Duration kMaxDelay = milliseconds(300);
constexpr int kMaxDroppedAnswers = 5;
// One in this many faults comes with a restore of the store.
constexpr unsigned kFaultsPerRestore = 5;
// One in this many faults comes with a server that announces a shutdown or a backoff in its
// answers.
constexpr unsigned kFaultsPerAnnouncement = 3;
// How long the store is down while a server announces its shutdown in its answers only.
constexpr Duration kAnnouncementDowntime = milliseconds(4000);
// Backoff that servers ask for.
constexpr Duration kMinBackoff = milliseconds(600);
constexpr Duration kMaxBackoff = milliseconds(3000);
// One in this many faults comes with a server that names a rate limit, in requests a second, for a
// while. A server usually gets some 17 requests a second.
constexpr unsigned kFaultsPerLimit = 3;
constexpr unsigned kMinLimit = 1;
constexpr unsigned kMaxLimit = 6;
constexpr Duration kMinLimitTime = milliseconds(5000);
constexpr Duration kMaxLimitTime = milliseconds(12000);
// One in this many faults comes with servers that shed or repeat answers; as many with servers
// whose answers never end.
constexpr unsigned kFaultsPerAnswerFault = 3;
// Share of the requests that the servers shed at a time.
constexpr double kMinShedShare = 0.3;
constexpr double kMaxShedShare = 0.8;
// Share of its answers that a faulty server disturbs.
constexpr double kCopyShare = 0.3;
constexpr double kEndlessShare = 0.1;
// One in this many servers sends second copies or bytes without end.
constexpr std::size_t kServersPerFaulty = 3;
// One in this many endless faults concerns all servers of a service.
constexpr unsigned kEndlessPerWholeService = 4;
// Maximum downtime of the store before it is restored.
constexpr Duration kMaxDowntime = milliseconds(1500);
// Writes by others that a restore loses: one second of writes to the store of a small fleet.
constexpr int kLostWrites = 400;
// Servers and operators repeat their lost writes within this time.
constexpr Duration kMaxRewriteDelay = milliseconds(1800);

// Draws a duration between the two, both included.
Duration
DrawFrom(std::minstd_rand& aRandom, Duration aMin, Duration aMax)
{
  return Duration(
    std::uniform_int_distribution<Duration::rep>(aMin.count(), aMax.count())(aRandom));
}

} // namespace

FaultInjector::FaultInjector(SoakEnvironment& aEnvironment, std::uint32_t aSeed, Extras aExtras)
  : environment_(aEnvironment)
  , random_(aSeed)
  , extras_(aExtras)
  , restoreRandom_(aSeed)
  , announcementRandom_(aSeed)
  , limitRandom_(aSeed)
  , answerRandom_(aSeed)
  , startedAt_(MonotonicNow())
{
}

void
FaultInjector::Run(Duration aTime)
{
  const auto end = MonotonicNow() + aTime;
  while (MonotonicNow() < end) {
    Inject(static_cast<SoakFault>(DrawIndex(kDrawnFaults)));
    if (extras_.storeRestores_ && restoreRandom_() % kFaultsPerRestore == 0) {
      RestoreStore();
    }
    if (extras_.serversAnnounce_ && announcementRandom_() % kFaultsPerAnnouncement == 0) {
      auto& server = environment_.Servers()[announcementRandom_() % environment_.Servers().size()];
      if (announcementRandom_() % 2 == 0) {
        AnnounceShutdownInAnswers(server);
      } else {
        RequestBackoff(server);
      }
    }
    if (extras_.serversNameLimits_ && limitRandom_() % kFaultsPerLimit == 0) {
      SetServerLimit(environment_.Servers()[limitRandom_() % environment_.Servers().size()]);
    }
    DisturbAnswers();
    environment_.Run(Draw(kMinGap, kMaxGap));
    environment_.CheckMemory();
  }
}

Duration
FaultInjector::Draw(Duration aMin, Duration aMax)
{
  return DrawFrom(random_, aMin, aMax);
}

std::size_t
FaultInjector::DrawIndex(std::size_t aCount)
{
  return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(random_);
}

SoakEnvironment::Instance&
FaultInjector::DrawInstance()
{
  return environment_.Instances()[DrawIndex(environment_.Instances().size())];
}

SoakEnvironment::Server&
FaultInjector::DrawServer()
{
  return environment_.Servers()[DrawIndex(environment_.Servers().size())];
}

void
FaultInjector::LogFault(SoakFault aFault, const std::string& aWhat, Duration aTime)
{
  char line[160];
  std::snprintf(line,
                sizeof line,
                "%8.3f s  %s %s %.3f s\n",
                ToSeconds(MonotonicNow() - startedAt_),
                std::string(kSoakFaultNames.NameOf(aFault)).c_str(),
                aWhat.c_str(),
                ToSeconds(aTime));
  faultLog_ += line;
}

void
FaultInjector::Inject(SoakFault aFault)
{
  const auto time = Draw(kMinFaultTime, kMaxFaultTime);
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
      return DisturbLink(*instance.storeLink_, aFault, instance.name_);
    case SoakFault::ServerLink:
      DisturbLink(*server.link_, aFault, server.backend_->Id());
      return;
    case SoakFault::StoreDown:
      return TakeStoreDown(time);
    case SoakFault::StoreSlow:
      return SlowStore(time);
    case SoakFault::StoreDropsAnswers:
      return DropStoreAnswers();
    case SoakFault::StoreDropsHistory:
      return DropStoreHistory();
    case SoakFault::ServerCrash:
      return CrashServer(server, time);
    case SoakFault::ServerLeaves:
      return ShutDownServer(server);
    case SoakFault::ServerRecordRemoved:
      return RemoveServerRecord(server, time);
    case SoakFault::ConfigurationChange:
      return ChangeConfiguration();
    case SoakFault::StoreRestored:
      return RestoreStore();
    case SoakFault::ServerAnnouncesLeaving:
      return AnnounceShutdownInAnswers(server);
    case SoakFault::ServerRequestsBackoff:
      return RequestBackoff(server);
    case SoakFault::ServerNamesRateLimit:
      return SetServerLimit(server);
    case SoakFault::ServersShed:
      return ShedRequests();
    case SoakFault::ServersRepeatAnswers:
      return RepeatAnswers();
    case SoakFault::ServersAnswerEndlessly:
      return SendEndlessAnswers();
  }
}

void
FaultInjector::KillInstance(SoakEnvironment::Instance& aInstance, Duration aDowntime)
{
  LogFault(SoakFault::KillInstance, aInstance.name_, aDowntime);
  Kill(aInstance, aDowntime);
}

void
FaultInjector::KillAll(Duration aDowntime)
{
  LogFault(SoakFault::KillAll, "", aDowntime);
  for (auto& instance : environment_.Instances()) {
    Kill(instance, aDowntime);
  }
}

void
FaultInjector::Kill(SoakEnvironment::Instance& aInstance, Duration aDowntime)
{
  if (!aInstance.shouldRun_) {
    return;
  }
  environment_.KillInstance(aInstance);
  environment_.After(aDowntime, [this, &aInstance, run = aInstance.runs_] {
    if (aInstance.runs_ == run) {
      environment_.StartInstance(aInstance);
    }
  });
}

void
FaultInjector::StopSeries(Duration aGap)
{
  for (std::size_t count = 1 + DrawIndex(kMaxShutdowns); count > 0; --count) {
    auto& instance = DrawInstance();
    LogFault(SoakFault::StopInstance, instance.name_, Duration(0));
    Stop(instance);
    environment_.Run(aGap);
  }
}

void
FaultInjector::Stop(SoakEnvironment::Instance& aInstance)
{
  if (!aInstance.shouldRun_ || aInstance.isPaused_) {
    return;
  }
  aInstance.shouldRun_ = false;
  aInstance.process_->Signal(SIGTERM);
  // The platform kills the process after the grace period.
  constexpr Duration kGrace = seconds(6);
  environment_.After(kGrace, [this, &aInstance, run = aInstance.runs_] {
    if (aInstance.runs_ == run) {
      environment_.KillInstance(aInstance);
      environment_.StartInstance(aInstance);
    }
  });
}

void
FaultInjector::PauseInstance(SoakEnvironment::Instance& aInstance, Duration aTime)
{
  LogFault(SoakFault::PauseInstance, aInstance.name_, aTime);
  if (!aInstance.shouldRun_ || aInstance.isPaused_) {
    return;
  }
  aInstance.isPaused_ = true;
  aInstance.process_->Signal(SIGSTOP);
  environment_.After(aTime, [this, &aInstance, run = aInstance.runs_] {
    if (aInstance.runs_ == run && aInstance.isPaused_) {
      environment_.Guarantees().Announcements().DiscardAnnouncementsTo(aInstance.RunId());
      aInstance.isPaused_ = false;
      aInstance.process_->Signal(SIGCONT);
      environment_.OnRecovered();
    }
  });
}

void
FaultInjector::SignalSettings(const SoakEnvironment::Instance& aInstance)
{
  LogFault(SoakFault::SettingsSignal, aInstance.name_, Duration(0));
  if (aInstance.shouldRun_) {
    aInstance.process_->Signal(SIGHUP);
  }
}

void
FaultInjector::DisturbLink(LoopbackProxy& aLink, SoakFault aFault, const std::string& aWhat)
{
  const auto kind = static_cast<LinkFault>(1 + DrawIndex(kLinkFaultNames.names_.size() - 1));
  const auto time = Draw(kMinFaultTime, kMaxFaultTime);
  if (aLink.Fault() != LinkFault::None) {
    return;
  }
  LogFault(aFault, aWhat + " " + std::string(kLinkFaultNames.NameOf(kind)), time);
  environment_.Guarantees().Announcements().SetLinkDisturbed(aWhat, true);
  aLink.SetFault(kind, Draw(Duration(0), kMaxDelay));
  environment_.After(time, [this, &aLink, kind, aWhat] {
    if (aLink.Fault() == kind) {
      environment_.Guarantees().Announcements().SetLinkDisturbed(aWhat, false);
      aLink.SetFault(LinkFault::None);
      environment_.OnRecovered();
    }
  });
}

void
FaultInjector::TakeStoreDown(Duration aTime)
{
  LogFault(SoakFault::StoreDown, "", aTime);
  auto& store = environment_.Store();
  store.SetDown(true);
  environment_.After(aTime, [&store] { store.SetDown(false); });
}

void
FaultInjector::SlowStore(Duration aTime)
{
  LogFault(SoakFault::StoreSlow, "", aTime);
  auto& store = environment_.Store();
  store.SetDelay(Draw(Duration(0), kMaxDelay));
  environment_.After(aTime, [&store] { store.SetDelay(Duration(0)); });
}

void
FaultInjector::DropStoreAnswers()
{
  LogFault(SoakFault::StoreDropsAnswers, "", Duration(0));
  environment_.Store().DropAnswers(static_cast<int>(1 + DrawIndex(kMaxDroppedAnswers)));
}

void
FaultInjector::DropStoreHistory()
{
  LogFault(SoakFault::StoreDropsHistory, "", Duration(0));
  environment_.Store().DropHistory();
}

void
FaultInjector::CrashServer(SoakEnvironment::Server& aServer, Duration aDowntime)
{
  LogFault(SoakFault::ServerCrash, aServer.backend_->Id(), aDowntime);
  Crash(aServer);
  environment_.After(kRecordLifetime, [&aServer, id = aServer.backend_->Id()] {
    if (aServer.backend_->Id() == id && !aServer.backend_->IsUp()) {
      aServer.backend_->RemoveRecord();
    }
  });
  environment_.After(aDowntime, [this, &aServer] { BeginIncarnation(aServer); });
}

void
FaultInjector::Crash(SoakEnvironment::Server& aServer)
{
  aServer.backend_->Crash();
  aServer.link_->SetFault(LinkFault::Reset);
}

void
FaultInjector::BeginIncarnation(SoakEnvironment::Server& aServer)
{
  if (aServer.backend_->IsUp()) {
    return;
  }
  const auto id = aServer.backend_->Id();
  aServer.backend_->RemoveRecord();
  aServer.link_->SetFault(LinkFault::None);
  aServer.backend_->BeginIncarnation(id.substr(0, id.find('-') + 1) +
                                     std::to_string(++aServer.incarnations_));
}

void
FaultInjector::ShutDownServer(SoakEnvironment::Server& aServer)
{
  LogFault(SoakFault::ServerLeaves, aServer.backend_->Id(), kShutdownDelay);
  if (!aServer.backend_->IsUp()) {
    return;
  }
  aServer.backend_->Leave();
  environment_.After(kShutdownDelay, [this, &aServer, id = aServer.backend_->Id()] {
    FinishServerShutdown(aServer, id);
  });
}

void
FaultInjector::FinishServerShutdown(SoakEnvironment::Server& aServer, const std::string& aId)
{
  if (aServer.backend_->Id() != aId || !aServer.backend_->IsUp()) {
    return;
  }
  Crash(aServer);
  aServer.backend_->RemoveRecord();
  environment_.After(kShutdownDelay, [this, &aServer] { BeginIncarnation(aServer); });
}

void
FaultInjector::AnnounceShutdownInAnswers(SoakEnvironment::Server& aServer)
{
  LogFault(SoakFault::ServerAnnouncesLeaving, aServer.backend_->Id(), kAnnouncementDowntime);
  if (!aServer.backend_->IsUp()) {
    return;
  }
  environment_.Store().SetDown(true);
  aServer.backend_->AnnounceLeaving();
  environment_.After(kAnnouncementDowntime, [this, &aServer, id = aServer.backend_->Id()] {
    environment_.Store().SetDown(false);
    if (aServer.backend_->Id() == id && aServer.backend_->IsUp()) {
      ShutDownServer(aServer);
    }
  });
}

void
FaultInjector::RequestBackoff(SoakEnvironment::Server& aServer)
{
  const auto backoff = DrawFrom(announcementRandom_, kMinBackoff, kMaxBackoff);
  const auto time = DrawFrom(announcementRandom_, kMinFaultTime, kMaxFaultTime);
  LogFault(SoakFault::ServerRequestsBackoff, aServer.backend_->Id(), backoff);
  aServer.backend_->SetBackoff(backoff);
  environment_.After(time, [&aServer, id = aServer.backend_->Id()] {
    if (aServer.backend_->Id() == id) {
      aServer.backend_->SetBackoff(std::nullopt);
    }
  });
}

void
FaultInjector::SetServerLimit(SoakEnvironment::Server& aServer)
{
  const double limit = kMinLimit + limitRandom_() % (kMaxLimit - kMinLimit + 1);
  const auto time = DrawFrom(limitRandom_, kMinLimitTime, kMaxLimitTime);
  const auto id = aServer.backend_->Id();
  LogFault(SoakFault::ServerNamesRateLimit, id + " at " + std::to_string(limit), time);
  aServer.backend_->SetRateLimit(limit);
  environment_.Guarantees().Announcements().OnRateLimitNamed(id, limit);
  environment_.After(time, [this, &aServer, id] {
    if (aServer.backend_->Id() == id) {
      ClearServerLimit(aServer);
    }
  });
}

void
FaultInjector::ClearServerLimit(SoakEnvironment::Server& aServer)
{
  aServer.backend_->SetRateLimit(std::nullopt);
  environment_.Guarantees().Announcements().OnRateLimitNamed(aServer.backend_->Id(), std::nullopt);
}

void
FaultInjector::DisturbAnswers()
{
  if (extras_.serversShed_ && answerRandom_() % kFaultsPerAnswerFault == 0) {
    ShedRequests();
    if (extras_.serversRepeatAnswers_) {
      RepeatAnswers();
    }
  }
  if (extras_.serversAnswerEndlessly_ && answerRandom_() % kFaultsPerAnswerFault == 0) {
    SendEndlessAnswers();
  }
}

void
FaultInjector::ShedRequests()
{
  const auto time = DrawFrom(answerRandom_, kMinFaultTime, kMaxFaultTime);
  const auto share =
    std::uniform_real_distribution<double>(kMinShedShare, kMaxShedShare)(answerRandom_);
  LogFault(SoakFault::ServersShed, std::to_string(share), time);
  for (auto& server : environment_.Servers()) {
    server.backend_->SetShedShare(share);
  }
  environment_.After(time, [this] {
    for (auto& server : environment_.Servers()) {
      server.backend_->SetShedShare(0);
    }
  });
}

void
FaultInjector::RepeatAnswers()
{
  const auto time = DrawFrom(answerRandom_, kMinFaultTime, kMaxFaultTime);
  AnswerFault fault;
  fault.share_ = kCopyShare;
  fault.copy_ = static_cast<SecondCopy>(answerRandom_() % kSecondCopyNames.names_.size());
  LogFault(
    SoakFault::ServersRepeatAnswers, std::string(kSecondCopyNames.NameOf(*fault.copy_)), time);
  for (auto index = answerRandom_() % kServersPerFaulty; index < environment_.Servers().size();
       index += kServersPerFaulty) {
    SetAnswerFault(environment_.Servers()[index], fault, time);
  }
}

void
FaultInjector::SendEndlessAnswers()
{
  const auto time = DrawFrom(answerRandom_, kMinFaultTime, kMaxFaultTime);
  AnswerFault fault;
  fault.share_ = kEndlessShare;
  fault.endless_ = static_cast<EndlessKind>(answerRandom_() % kEndlessKindNames.names_.size());
  fault.isSlow_ = answerRandom_() % 2 == 0;
  const auto first = answerRandom_() % environment_.Servers().size();
  const bool isWholeService = answerRandom_() % kEndlessPerWholeService == 0;
  const auto service = environment_.Servers()[first].backend_->Service();
  LogFault(SoakFault::ServersAnswerEndlessly,
           std::string(kEndlessKindNames.NameOf(*fault.endless_)) +
             (fault.isSlow_ ? " slow" : " fast") + (isWholeService ? " all of " + service : ""),
           time);
  for (std::size_t index = 0; index < environment_.Servers().size(); ++index) {
    auto& server = environment_.Servers()[index];
    const bool isThird = index % kServersPerFaulty == first % kServersPerFaulty;
    if (isWholeService ? server.backend_->Service() == service : isThird) {
      SetAnswerFault(server, fault, time);
    }
  }
}

void
FaultInjector::SetAnswerFault(SoakEnvironment::Server& aServer,
                              const AnswerFault& aFault,
                              Duration aTime)
{
  aServer.link_->SetAnswerFault(aFault);
  environment_.After(aTime, [&aServer] { aServer.link_->SetAnswerFault({}); });
}

void
FaultInjector::RemoveServerRecord(SoakEnvironment::Server& aServer, Duration aTime)
{
  LogFault(SoakFault::ServerRecordRemoved, aServer.backend_->Id(), aTime);
  aServer.backend_->RemoveRecord();
  environment_.After(aTime, [&aServer, id = aServer.backend_->Id()] {
    if (aServer.backend_->Id() == id && aServer.backend_->IsUp()) {
      aServer.backend_->RestoreRecord();
    }
  });
}

void
FaultInjector::ChangeConfiguration()
{
  LogFault(SoakFault::ConfigurationChange, "", Duration(0));
  environment_.SwitchBookingService();
}

void
FaultInjector::RestoreStore()
{
  const auto age = DrawFrom(restoreRandom_, Duration(0), kMaxFaultTime);
  const auto downtime = DrawFrom(restoreRandom_, Duration(0), kMaxDowntime);
  LogFault(SoakFault::StoreRestored, "from a copy as old as this:", age);
  environment_.Store().SaveCopy();
  environment_.After(age, [this] {
    // Other writers advance the version counter, so that the restored store takes long to reach its
    // old value.
    for (int write = 0; write < kLostWrites; ++write) {
      environment_.Store().Put("others", "row", std::to_string(write));
    }
    environment_.Store().SetDown(true);
  });
  environment_.After(age + downtime, [this] {
    environment_.Store().RestoreCopy();
    environment_.Store().SetDown(false);
  });
  const auto rewriteDelay = DrawFrom(restoreRandom_, Duration(0), kMaxRewriteDelay);
  environment_.After(age + downtime + rewriteDelay, [this] { environment_.RepeatWrites(); });
}

void
FaultInjector::HealAll()
{
  HealStore();
  for (auto& instance : environment_.Instances()) {
    Heal(instance);
  }
  for (auto& server : environment_.Servers()) {
    Heal(server);
  }
  environment_.OnRecovered();
}

void
FaultInjector::HealStore()
{
  auto& store = environment_.Store();
  store.SetDown(false);
  store.SetDelay(Duration(0));
  store.DropAnswers(0);
}

void
FaultInjector::Heal(SoakEnvironment::Instance& aInstance)
{
  aInstance.storeLink_->SetFault(LinkFault::None);
  if (aInstance.isPaused_) {
    environment_.Guarantees().Announcements().DiscardAnnouncementsTo(aInstance.RunId());
    aInstance.isPaused_ = false;
    aInstance.process_->Signal(SIGCONT);
  }
  if (!aInstance.shouldRun_) {
    environment_.KillInstance(aInstance);
    environment_.StartInstance(aInstance);
  }
}

void
FaultInjector::Heal(SoakEnvironment::Server& aServer)
{
  auto& backend = *aServer.backend_;
  if (aServer.link_->Fault() != LinkFault::None) {
    environment_.Guarantees().Announcements().SetLinkDisturbed(backend.Id(), false);
    aServer.link_->SetFault(LinkFault::None);
  }
  aServer.link_->SetAnswerFault({});
  backend.SetBackoff(std::nullopt);
  backend.SetShedShare(0);
  ClearServerLimit(aServer);
  if (backend.IsUp() && backend.IsLeaving()) {
    // A server never revokes its shutdown announcement.
    Crash(aServer);
  }
  if (backend.IsUp()) {
    backend.RestoreRecord();
  } else {
    BeginIncarnation(aServer);
  }
}

} // namespace latchslip::platform
