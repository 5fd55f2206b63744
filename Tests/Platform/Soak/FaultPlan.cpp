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

} // namespace

FaultPlan::FaultPlan(SoakWorld& aWorld, std::uint32_t aSeed)
  : world_(aWorld)
  , random_(aSeed)
  , startedAt_(MonotonicNow())
{
}

void
FaultPlan::Run(Duration aTime)
{
  const auto end = MonotonicNow() + aTime;
  while (MonotonicNow() < end) {
    Inject(static_cast<SoakFault>(DrawIndex(kSoakFaultNames.names_.size())));
    world_.Run(Draw(kLeastGap, kMostGap));
  }
}

Duration
FaultPlan::Draw(Duration aLeast, Duration aMost)
{
  return Duration(
    std::uniform_int_distribution<Duration::rep>(aLeast.count(), aMost.count())(random_));
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
                static_cast<double>((MonotonicNow() - startedAt_).count()) * 1e-6,
                std::string(kSoakFaultNames.NameOf(aFault)).c_str(),
                aWhat.c_str(),
                static_cast<double>(aTime.count()) * 1e-6);
  story_ += line;
}

void
FaultPlan::Inject(SoakFault aFault)
{
  const auto time = Draw(kLeastTime, kMostTime);
  auto& instance = DrawInstance();
  auto& server = DrawServer();
  auto& store = world_.Store();
  switch (aFault) {
    case SoakFault::KillInstance:
      Note(aFault, instance.name_, time / 4);
      Kill(instance, time / 4);
      return;
    case SoakFault::StopInstance:
      for (std::size_t count = 1 + DrawIndex(kMostSeries); count > 0; --count) {
        auto& next = DrawInstance();
        Note(aFault, next.name_, Duration(0));
        Stop(next);
        world_.Run(time / 8);
      }
      return;
    case SoakFault::PauseInstance:
      Note(aFault, instance.name_, time);
      Pause(instance, time);
      return;
    case SoakFault::SettingsSignal:
      Note(aFault, instance.name_, Duration(0));
      if (instance.isExpected_) {
        instance.process_->Signal(SIGHUP);
      }
      return;
    case SoakFault::KillAll:
      Note(aFault, "", time / 4);
      for (auto& each : world_.Instances()) {
        Kill(each, time / 4);
      }
      return;
    case SoakFault::StoreLink:
      HarmLink(*instance.storeLink_, aFault, instance.name_);
      return;
    case SoakFault::ServerLink:
      HarmLink(*server.link_, aFault, server.backend_->Id());
      return;
    case SoakFault::StoreDown:
      Note(aFault, "", time);
      store.SetDown(true);
      world_.After(time, [&store] { store.SetDown(false); });
      return;
    case SoakFault::StoreSlow:
      Note(aFault, "", time);
      store.SetDelay(Draw(Duration(0), kMostDelay));
      world_.After(time, [&store] { store.SetDelay(Duration(0)); });
      return;
    case SoakFault::StoreLosesAnswers:
      Note(aFault, "", Duration(0));
      store.LoseAnswers(static_cast<int>(1 + DrawIndex(kMostLost)));
      return;
    case SoakFault::StoreForgets:
      Note(aFault, "", Duration(0));
      store.ForgetHistory();
      return;
    case SoakFault::ServerCrash:
      Note(aFault, server.backend_->Id(), time);
      server.backend_->Crash();
      server.link_->SetFault(LinkFault::Reset);
      world_.After(kRecordStays, [&server, id = server.backend_->Id()] {
        if (server.backend_->Id() == id && !server.backend_->IsUp()) {
          server.backend_->Unlist();
        }
      });
      world_.After(time, [this, &server] { BeginLife(server); });
      return;
    case SoakFault::ServerLeaves:
      Note(aFault, server.backend_->Id(), kServesOn);
      LetServerLeave(server);
      return;
    case SoakFault::ServerUnlisted:
      Note(aFault, server.backend_->Id(), time);
      server.backend_->Unlist();
      world_.After(time, [&server, id = server.backend_->Id()] {
        if (server.backend_->Id() == id && server.backend_->IsUp()) {
          server.backend_->Relist();
        }
      });
      return;
    case SoakFault::ConfigurationChange:
      Note(aFault, "", Duration(0));
      world_.SetBookingService(world_.BookingService() == "bookings" ? "others" : "bookings");
      return;
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
FaultPlan::Pause(SoakWorld::Instance& aInstance, Duration aTime)
{
  if (!aInstance.isExpected_ || aInstance.isPaused_) {
    return;
  }
  aInstance.isPaused_ = true;
  aInstance.process_->Signal(SIGSTOP);
  world_.After(aTime, [this, &aInstance, run = aInstance.runs_] {
    if (aInstance.runs_ == run && aInstance.isPaused_) {
      aInstance.isPaused_ = false;
      aInstance.process_->Signal(SIGCONT);
      world_.NoteHealed();
    }
  });
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
  aLink.SetFault(kind, Draw(Duration(0), kMostDelay));
  world_.After(time, [this, &aLink, kind] {
    if (aLink.Fault() == kind) {
      aLink.SetFault(LinkFault::None);
      world_.NoteHealed();
    }
  });
}

void
FaultPlan::BeginLife(SoakWorld::Server& aServer)
{
  if (aServer.backend_->IsUp()) {
    return;
  }
  const auto id = aServer.backend_->Id();
  aServer.backend_->Unlist();
  aServer.link_->SetFault(LinkFault::None);
  aServer.backend_->BeginLife(id.substr(0, id.find('-') + 1) + std::to_string(++aServer.lives_));
}

void
FaultPlan::LetServerLeave(SoakWorld::Server& aServer)
{
  if (!aServer.backend_->IsUp()) {
    return;
  }
  aServer.backend_->Leave();
  world_.After(kServesOn, [this, &aServer, id = aServer.backend_->Id()] {
    if (aServer.backend_->Id() == id && aServer.backend_->IsUp()) {
      aServer.backend_->Crash();
      aServer.link_->SetFault(LinkFault::Reset);
      aServer.backend_->Unlist();
      world_.After(kServesOn, [this, &aServer] { BeginLife(aServer); });
    }
  });
}

void
FaultPlan::HealAll()
{
  auto& store = world_.Store();
  store.SetDown(false);
  store.SetDelay(Duration(0));
  store.LoseAnswers(0);
  for (auto& instance : world_.Instances()) {
    instance.storeLink_->SetFault(LinkFault::None);
    if (instance.isPaused_) {
      instance.isPaused_ = false;
      instance.process_->Signal(SIGCONT);
    }
    if (!instance.isExpected_) {
      world_.KillInstance(instance);
      world_.StartInstance(instance);
    }
  }
  for (auto& server : world_.Servers()) {
    server.link_->SetFault(LinkFault::None);
    if (server.backend_->IsUp()) {
      server.backend_->Relist();
    } else {
      BeginLife(server);
    }
  }
  world_.NoteHealed();
}

} // namespace latchslip::platform
