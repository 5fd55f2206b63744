#pragma once

#include "LibBase/NameTable.h"
#include "SoakEnvironment.h"

#include <random>
#include <string>

namespace latchslip::platform {

// The faults that the soak test injects. The first kDrawnFaults of them are drawn with equal
// probability.
enum class SoakFault
{
  KillInstance,
  StopInstance,
  PauseInstance,
  SettingsSignal,
  KillAll,
  StoreLink,
  ServerLink,
  StoreDown,
  StoreSlow,
  StoreDropsAnswers,
  StoreDropsHistory,
  ServerCrash,
  ServerLeaves,
  ServerRecordRemoved,
  ConfigurationChange,
  // This and the following faults are injected only on request, and drawn from generators of their
  // own, so that a seed draws the same basic faults with and without them.
  StoreRestored,
  ServerAnnouncesLeaving,
  ServerRequestsBackoff,
  ServerNamesRateLimit,
  ServersShed,
  ServersRepeatAnswers,
  ServersAnswerEndlessly,
};

// Number of the basic faults.
inline constexpr std::size_t kDrawnFaults = static_cast<std::size_t>(SoakFault::StoreRestored);

inline constexpr NameTable<SoakFault, 22> kSoakFaultNames{ { "kill-instance",
                                                             "stop-instance",
                                                             "pause-instance",
                                                             "settings-signal",
                                                             "kill-all",
                                                             "store-link",
                                                             "server-link",
                                                             "store-down",
                                                             "store-slow",
                                                             "store-loses-answers",
                                                             "store-forgets",
                                                             "server-crash",
                                                             "server-leaves",
                                                             "server-unlisted",
                                                             "configuration-change",
                                                             "store-returns",
                                                             "server-tells-leaving",
                                                             "server-asks-for-rest",
                                                             "server-names-rate-limit",
                                                             "servers-shed",
                                                             "servers-repeat-answers",
                                                             "servers-answer-endlessly" } };

// Fault injection: draws faults from a seed and injects them in succession, overlapping and on any
// part of the fleet. The same seed draws the same faults, but their timing relative to the
// processes varies from run to run.
class FaultInjector
{
public:
  // Faults that are injected only on request.
  struct Extras
  {
    // The store is restored from older copies.
    bool storeRestores_ = false;
    // Servers announce in their answers only that they shut down, while the store is down, or ask
    // for a backoff.
    bool serversAnnounce_ = false;
    // Servers name rate limits in their answers.
    bool serversNameLimits_ = false;
    // Servers reject a share of the requests without having run them.
    bool serversShed_ = false;
    // A third of the servers send some answers a second time.
    bool serversRepeatAnswers_ = false;
    // A third of the servers, or all of one service, send bytes without end in place of answers.
    bool serversAnswerEndlessly_ = false;
  };

  FaultInjector(SoakEnvironment& aEnvironment, std::uint32_t aSeed, Extras aExtras);

  // Injects faults for aTime; some end later.
  void Run(Duration aTime);
  // Removes all faults and restarts whatever was stopped.
  void HealAll();
  // The injected faults, one per line.
  const std::string& FaultLog() const { return faultLog_; }

private:
  void Inject(SoakFault aFault);
  // Adds a line to the record of injected faults.
  void LogFault(SoakFault aFault, const std::string& aWhat, Duration aTime);
  // Draws a duration between the two, both included.
  Duration Draw(Duration aMin, Duration aMax);
  std::size_t DrawIndex(std::size_t aCount);
  SoakEnvironment::Instance& DrawInstance();
  SoakEnvironment::Server& DrawServer();

  // One function for each fault. aTime is its duration; aDowntime is the time until whatever was
  // stopped is restarted.
  void KillInstance(SoakEnvironment::Instance& aInstance, Duration aDowntime);
  // Shuts down instances gracefully in succession, as an operator does.
  void StopSeries(Duration aGap);
  void PauseInstance(SoakEnvironment::Instance& aInstance, Duration aTime);
  void SignalSettings(const SoakEnvironment::Instance& aInstance);
  void KillAll(Duration aDowntime);
  // Applies a random link fault.
  void DisturbLink(LoopbackProxy& aLink, SoakFault aFault, const std::string& aWhat);
  void TakeStoreDown(Duration aTime);
  void SlowStore(Duration aTime);
  void DropStoreAnswers();
  void DropStoreHistory();
  void CrashServer(SoakEnvironment::Server& aServer, Duration aDowntime);
  void ShutDownServer(SoakEnvironment::Server& aServer);
  void RemoveServerRecord(SoakEnvironment::Server& aServer, Duration aTime);
  void ChangeConfiguration();
  // Saves a copy of the store, takes the store down some time later, and restores the copy.
  void RestoreStore();
  // The server announces its shutdown in its answers only, as the store is down, and ends.
  void AnnounceShutdownInAnswers(SoakEnvironment::Server& aServer);
  // The server rejects all requests for a while and asks for a backoff.
  void RequestBackoff(SoakEnvironment::Server& aServer);
  // The server names a rate limit for a while.
  void SetServerLimit(SoakEnvironment::Server& aServer);
  void ClearServerLimit(SoakEnvironment::Server& aServer);
  // Injects the faults of answers that are due and asked for.
  void DisturbAnswers();
  void ShedRequests();
  void RepeatAnswers();
  void SendEndlessAnswers();
  // Applies a fault to the answers of a server, for a while.
  void SetAnswerFault(SoakEnvironment::Server& aServer, const AnswerFault& aFault, Duration aTime);

  void Kill(SoakEnvironment::Instance& aInstance, Duration aDowntime);
  void Stop(SoakEnvironment::Instance& aInstance);
  // Stops the server at once; connections to it are reset from then on.
  static void Crash(SoakEnvironment::Server& aServer);
  // Stops a server that has announced its shutdown, if it still runs as aId, and restarts it later.
  void FinishServerShutdown(SoakEnvironment::Server& aServer, const std::string& aId);
  // Restarts the server under the next id, unless it is running.
  void BeginIncarnation(SoakEnvironment::Server& aServer);
  void HealStore();
  void Heal(SoakEnvironment::Instance& aInstance);
  void Heal(SoakEnvironment::Server& aServer);

  SoakEnvironment& environment_;
  std::minstd_rand random_;
  Extras extras_;
  std::minstd_rand restoreRandom_;
  std::minstd_rand announcementRandom_;
  std::minstd_rand limitRandom_;
  std::minstd_rand answerRandom_;
  Instant startedAt_;
  std::string faultLog_;
};

} // namespace latchslip::platform
