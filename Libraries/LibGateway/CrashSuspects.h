#pragma once

#include "LibBase/Time.h"
#include "LibGateway/RequestFingerprint.h"
#include "LibGateway/ServerHealth.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace latchslip {

// A request that was under way at a server that seems to have crashed.
struct SuspectedCrash
{
  RequestFingerprint fingerprint_ = kNoFingerprint;
  std::string server_;
  // Of the server, as in ServerRecord.
  std::uint64_t incarnation_ = 0;
  Instant sentAt_{ 0 };
  Instant crashedAt_{ 0 };
};

// A request that is not to be sent to any server for some time, because it crashed those that ran
// it.
struct Quarantine
{
  RequestFingerprint fingerprint_ = kNoFingerprint;
  // Remaining time; zero if the quarantine has been lifted.
  Duration remaining_{ 0 };
  // Number of servers that the request crashed.
  unsigned crashes_ = 0;

  bool operator==(const Quarantine&) const = default;
};

// Finds the requests that crash the servers that run them ("poison" requests), and quarantines
// them.
//
// A server has crashed as far as can be told from outside if it closes connections on which it has
// sent no answer, and answers nothing that is sent to it afterwards. Every request that was under
// way there is a suspect. A suspect is
//
// - cleared once a server answers it;
// - quarantined once it was under way at a second crash to which it was sent after the first, and
//   the first server is certainly gone; until that is known, it waits. Servers that end together,
//   as in a power failure, count as one crash.
//
// After its quarantine a request is a suspect still. Each further crash makes the next quarantine
// longer. No I/O; times are those of one clock.
class CrashSuspects
{
public:
  // Each function returns the quarantines that it began, extended or lifted.
  using Changes = std::vector<Quarantine>;

  // A send ended after aLatency. aSend.crashedAt_ is ignored; aIsConnectionLost means that the
  // server closed the connection without an answer.
  Changes OnSendEnded(Instant aNow,
                      const SuspectedCrash& aSend,
                      SendResult aResult,
                      Duration aLatency,
                      bool aIsConnectionLost);
  // A server closed a connection without an answer.
  Changes OnConnectionLost(const SuspectedCrash& aCrash);
  // A server answered the request, having run it.
  Changes OnAnswered(Instant aNow, RequestFingerprint aFingerprint);
  // At aAnsweredAt a server answered anything that was sent to it at aSentAt.
  Changes OnServerAnswered(Instant aNow,
                           const std::string& aServer,
                           std::uint64_t aIncarnation,
                           Instant aSentAt,
                           Instant aAnsweredAt);
  // A server cannot be connected to, or closes another connection.
  Changes OnServerSilent(Instant aNow, const std::string& aServer);
  // A server is no longer listed.
  Changes OnServerGone(Instant aNow, const std::string& aServer);
  // Another instance reports a quarantine.
  Changes OnQuarantine(Instant aNow, const Quarantine& aQuarantine);

  bool IsEmpty() const { return suspects_.empty() && servers_.empty(); }
  // Whether the request was under way at a crash, and no server has answered it since.
  bool IsSuspect(RequestFingerprint aFingerprint) const { return suspects_.contains(aFingerprint); }
  // Whether the request was under way at crashes one after the other, and it is not known yet
  // whether any of these servers is gone. It must not be sent until then.
  bool IsAwaitingProof(Instant aNow, RequestFingerprint aFingerprint) const;
  // Remaining quarantine of the request; zero for none.
  Duration RemainingQuarantine(Instant aNow, RequestFingerprint aFingerprint) const;
  // All quarantines that have not ended.
  std::vector<Quarantine> Quarantines(Instant aNow) const;
  // The servers that seem to have crashed, with their incarnations.
  std::vector<std::pair<std::string, std::uint64_t>> SuspectedServers() const;
  // All crashes of all suspects.
  std::vector<SuspectedCrash> Crashes() const;

private:
  struct Crash
  {
    SuspectedCrash seen_;
    // The server is certainly gone.
    bool isConfirmed_ = false;
  };

  struct Suspect
  {
    // Number of crashes that the request may have caused one after the other.
    unsigned CountCrashes() const;
    // As CountCrashes(), of confirmed crashes and one that may have followed them.
    unsigned CountProvenCrashes() const;

    void AddCrash(const SuspectedCrash& aCrash);

    // By time.
    std::vector<Crash> crashes_;
    Instant lastCrashAt_{ 0 };
    // Number of crashes that another instance counted, and when it reported them.
    unsigned reportedCrashes_ = 0;
    Instant reportedAt_ = Instant::min();
    // Number of crashes for which it was last quarantined.
    unsigned quarantinedFor_ = 0;
    Instant quarantinedUntil_ = Instant::min();
  };

  // A server that closed connections and has not answered since.
  struct CrashedServer
  {
    std::uint64_t incarnation_ = 0;
    Instant crashedAt_{ 0 };
    std::set<RequestFingerprint> suspects_;
  };

  using Suspects = std::map<RequestFingerprint, Suspect>;

  // Registers that the server crashed; returns false if it had crashed before the request was sent,
  // and is therefore still down.
  bool TryAddServer(const SuspectedCrash& aCrash, Changes& aChanges);
  static Quarantine Describe(Instant aNow,
                             RequestFingerprint aFingerprint,
                             const Suspect& aSuspect);
  // Begins, extends or lifts the quarantine of a suspect whose crashes have changed.
  static void Judge(Instant aNow,
                    RequestFingerprint aFingerprint,
                    Suspect& aSuspect,
                    Changes& aChanges);
  void Forget(Instant aNow, Suspects::iterator aSuspect, Changes& aChanges);
  // Makes room for one more suspect.
  void Prune(Instant aNow, Changes& aChanges);

  Suspects suspects_;
  std::map<std::string, CrashedServer> servers_;
};

} // namespace latchslip
