#include "LibGateway/CrashSuspects.h"

#include <algorithm>
#include <iterator>

namespace latchslip {

namespace {

// A crash counts towards a quarantine for this long.
constexpr Duration kSuspectLifetime = std::chrono::minutes(5);
// Suspects beyond this number are forgotten, those with the fewest crashes first.
constexpr std::size_t kMaxSuspects = 1024;
// Crashes remembered of one suspect; later ones are not counted.
constexpr std::size_t kMaxCrashes = 8;
constexpr unsigned kCrashesToQuarantine = 2;
// A server without an answer for this long after it closed a connection, which then closes or
// refuses another one, is gone. A full server answers more often.
constexpr Duration kSilenceToConfirm = milliseconds(200);
// A server that is neither known to run nor to be gone for this long after it closed a connection
// is used by nobody.
constexpr Duration kMaxProofWait = seconds(10);
// An answer that arrives up to this long after a crash may have been sent before it.
constexpr Duration kAnswerMargin = milliseconds(50);
// Duration of the first quarantine, the factor of each further one, and the longest.
constexpr Duration kFirstQuarantine = std::chrono::minutes(1);
constexpr Duration::rep kQuarantineFactor = 8;
constexpr Duration kMaxQuarantine = std::chrono::hours(24);

Duration
QuarantineAfter(unsigned aCrashes)
{
  auto duration = kFirstQuarantine;
  for (auto count = kCrashesToQuarantine; count < aCrashes && duration < kMaxQuarantine; ++count) {
    duration *= kQuarantineFactor;
  }
  return std::min(duration, kMaxQuarantine);
}

void
Append(CrashSuspects::Changes& aChanges, const CrashSuspects::Changes& aMore)
{
  aChanges.insert(aChanges.end(), aMore.begin(), aMore.end());
}

} // namespace

// A request that reached several servers before the first of them crashed did not crash them one
// after the other.
unsigned
CrashSuspects::Suspect::CountCrashes() const
{
  auto count = reportedCrashes_;
  auto last = reportedAt_;
  for (const auto& crash : crashes_) {
    if (crash.seen_.sentAt_ >= last) {
      ++count;
      last = crash.seen_.crashedAt_;
    }
  }
  return count;
}

unsigned
CrashSuspects::Suspect::CountProvenCrashes() const
{
  auto count = reportedCrashes_;
  auto last = reportedAt_;
  bool isFollowed = false;
  for (const auto& crash : crashes_) {
    const bool isLater = crash.seen_.sentAt_ >= last;
    if (isLater && crash.isConfirmed_) {
      ++count;
      last = crash.seen_.crashedAt_;
      isFollowed = false;
    } else {
      isFollowed = isFollowed || isLater;
    }
  }
  return count > 0 && isFollowed ? count + 1 : count;
}

Quarantine
CrashSuspects::Describe(Instant aNow, RequestFingerprint aFingerprint, const Suspect& aSuspect)
{
  const auto remaining = std::max(aSuspect.quarantinedUntil_, aNow) - aNow;
  return { aFingerprint, remaining, aSuspect.quarantinedFor_ };
}

void
CrashSuspects::Suspect::AddCrash(const SuspectedCrash& aCrash)
{
  lastCrashAt_ = std::max(lastCrashAt_, aCrash.crashedAt_);
  const bool isKnown = std::any_of(crashes_.begin(), crashes_.end(), [&](const Crash& aKnown) {
    return aKnown.seen_.server_ == aCrash.server_ &&
           aKnown.seen_.incarnation_ == aCrash.incarnation_;
  });
  if (isKnown || crashes_.size() >= kMaxCrashes) {
    return;
  }
  crashes_.push_back({ aCrash, false });
  std::sort(crashes_.begin(), crashes_.end(), [](const Crash& aLeft, const Crash& aRight) {
    return aLeft.seen_.crashedAt_ < aRight.seen_.crashedAt_;
  });
}

bool
CrashSuspects::TryAddServer(const SuspectedCrash& aCrash, Changes& aChanges)
{
  const auto known = servers_.find(aCrash.server_);
  if (known != servers_.end() && known->second.incarnation_ != aCrash.incarnation_) {
    Append(aChanges, OnServerGone(aCrash.crashedAt_, aCrash.server_));
    servers_.erase(known);
  }
  auto& server =
    servers_
      .try_emplace(aCrash.server_, CrashedServer{ aCrash.incarnation_, aCrash.crashedAt_, {} })
      .first->second;
  if (aCrash.sentAt_ >= server.crashedAt_) {
    Append(aChanges, OnServerSilent(aCrash.crashedAt_, aCrash.server_));
    return false;
  }
  server.suspects_.insert(aCrash.fingerprint_);
  return true;
}

CrashSuspects::Changes
CrashSuspects::OnSendEnded(Instant aNow,
                           const SuspectedCrash& aSend,
                           SendResult aResult,
                           Duration aLatency,
                           bool aIsConnectionLost)
{
  if (aIsConnectionLost) {
    auto crash = aSend;
    crash.crashedAt_ = aNow;
    return OnConnectionLost(crash);
  }
  if (IsEmpty()) {
    return {};
  }
  const auto answeredAt = aSend.sentAt_ + aLatency;
  switch (aResult) {
    case SendResult::NotReached:
      return OnServerSilent(aNow, aSend.server_);
    case SendResult::Answered:
    case SendResult::Failed: {
      auto changes = OnAnswered(aNow, aSend.fingerprint_);
      Append(changes,
             OnServerAnswered(aNow, aSend.server_, aSend.incarnation_, aSend.sentAt_, answeredAt));
      return changes;
    }
    case SendResult::Shed:
      return OnServerAnswered(aNow, aSend.server_, aSend.incarnation_, aSend.sentAt_, answeredAt);
    default:
      return {};
  }
}

CrashSuspects::Changes
CrashSuspects::OnConnectionLost(const SuspectedCrash& aCrash)
{
  Changes changes;
  if (aCrash.fingerprint_ == kNoFingerprint || !TryAddServer(aCrash, changes)) {
    return changes;
  }
  if (!suspects_.contains(aCrash.fingerprint_)) {
    Prune(aCrash.crashedAt_, changes);
  }
  auto& suspect = suspects_[aCrash.fingerprint_];
  suspect.AddCrash(aCrash);
  Judge(aCrash.crashedAt_, aCrash.fingerprint_, suspect, changes);
  return changes;
}

CrashSuspects::Changes
CrashSuspects::OnAnswered(Instant aNow, RequestFingerprint aFingerprint)
{
  Changes changes;
  if (const auto suspect = suspects_.find(aFingerprint); suspect != suspects_.end()) {
    Forget(aNow, suspect, changes);
  }
  return changes;
}

CrashSuspects::Changes
CrashSuspects::OnServerAnswered(Instant aNow,
                                const std::string& aServer,
                                std::uint64_t aIncarnation,
                                Instant aSentAt,
                                Instant aAnsweredAt)
{
  Changes changes;
  const auto server = servers_.find(aServer);
  if (server == servers_.end() || server->second.incarnation_ != aIncarnation) {
    return changes;
  }
  const auto crashedAt = server->second.crashedAt_;
  if (aSentAt < crashedAt && aAnsweredAt < crashedAt + kAnswerMargin) {
    return changes;
  }
  for (const auto fingerprint : server->second.suspects_) {
    const auto suspect = suspects_.find(fingerprint);
    if (suspect == suspects_.end()) {
      continue;
    }
    std::erase_if(suspect->second.crashes_,
                  [&](const Crash& aCrash) { return aCrash.seen_.server_ == aServer; });
    if (suspect->second.CountCrashes() == 0) {
      Forget(aNow, suspect, changes);
    } else {
      Judge(aNow, fingerprint, suspect->second, changes);
    }
  }
  servers_.erase(server);
  return changes;
}

CrashSuspects::Changes
CrashSuspects::OnServerSilent(Instant aNow, const std::string& aServer)
{
  const auto server = servers_.find(aServer);
  const bool isSilent =
    server != servers_.end() && aNow >= server->second.crashedAt_ + kSilenceToConfirm;
  return isSilent ? OnServerGone(aNow, aServer) : Changes();
}

CrashSuspects::Changes
CrashSuspects::OnServerGone(Instant aNow, const std::string& aServer)
{
  Changes changes;
  const auto server = servers_.find(aServer);
  if (server == servers_.end()) {
    return changes;
  }
  for (const auto fingerprint : server->second.suspects_) {
    const auto suspect = suspects_.find(fingerprint);
    if (suspect == suspects_.end()) {
      continue;
    }
    for (auto& crash : suspect->second.crashes_) {
      crash.isConfirmed_ = crash.isConfirmed_ || crash.seen_.server_ == aServer;
    }
    Judge(aNow, fingerprint, suspect->second, changes);
  }
  return changes;
}

CrashSuspects::Changes
CrashSuspects::OnQuarantine(Instant aNow, const Quarantine& aQuarantine)
{
  Changes changes;
  if (aQuarantine.remaining_ <= Duration(0)) {
    return OnAnswered(aNow, aQuarantine.fingerprint_);
  }
  if (!suspects_.contains(aQuarantine.fingerprint_)) {
    Prune(aNow, changes);
  }
  auto& suspect = suspects_[aQuarantine.fingerprint_];
  suspect.lastCrashAt_ = std::max(suspect.lastCrashAt_, aNow);
  const bool isNews =
    suspect.quarantinedUntil_ <= aNow || aQuarantine.crashes_ > suspect.quarantinedFor_;
  suspect.quarantinedUntil_ =
    std::max(suspect.quarantinedUntil_, aNow + std::min(aQuarantine.remaining_, kMaxQuarantine));
  if (aQuarantine.crashes_ > suspect.CountCrashes()) {
    suspect.reportedCrashes_ = aQuarantine.crashes_;
    suspect.reportedAt_ = aNow;
  }
  suspect.quarantinedFor_ = std::max(suspect.quarantinedFor_, aQuarantine.crashes_);
  if (isNews) {
    changes.push_back(Describe(aNow, aQuarantine.fingerprint_, suspect));
  }
  return changes;
}

void
CrashSuspects::Judge(Instant aNow,
                     RequestFingerprint aFingerprint,
                     Suspect& aSuspect,
                     Changes& aChanges)
{
  if (aSuspect.CountCrashes() < kCrashesToQuarantine) {
    aSuspect.quarantinedFor_ = 0;
    if (aSuspect.quarantinedUntil_ > aNow) {
      aSuspect.quarantinedUntil_ = Instant::min();
      aChanges.push_back(Describe(aNow, aFingerprint, aSuspect));
    }
    return;
  }
  const auto count = aSuspect.CountProvenCrashes();
  if (count < kCrashesToQuarantine || count <= aSuspect.quarantinedFor_) {
    return;
  }
  aSuspect.quarantinedFor_ = count;
  aSuspect.quarantinedUntil_ = aSuspect.lastCrashAt_ + QuarantineAfter(count);
  aChanges.push_back(Describe(aNow, aFingerprint, aSuspect));
}

void
CrashSuspects::Forget(Instant aNow, Suspects::iterator aSuspect, Changes& aChanges)
{
  if (aSuspect->second.quarantinedUntil_ > aNow) {
    aChanges.push_back({ aSuspect->first, Duration(0), 0 });
  }
  suspects_.erase(aSuspect);
}

void
CrashSuspects::Prune(Instant aNow, Changes& aChanges)
{
  // A suspect is remembered for as long after its quarantine as that lasted, so that it does not
  // come back as a new one.
  std::erase_if(suspects_, [&](const auto& aEntry) {
    const auto& suspect = aEntry.second;
    const auto lifetime =
      suspect.quarantinedFor_ == 0
        ? kSuspectLifetime
        : std::max(kSuspectLifetime, 2 * QuarantineAfter(suspect.quarantinedFor_));
    return aNow - suspect.lastCrashAt_ > lifetime;
  });
  std::erase_if(servers_, [&](const auto& aEntry) {
    return aNow - aEntry.second.crashedAt_ > kSuspectLifetime;
  });
  if (suspects_.size() < kMaxSuspects) {
    return;
  }
  const auto least =
    std::min_element(suspects_.begin(), suspects_.end(), [](const auto& aLeft, const auto& aRight) {
      return std::pair(aLeft.second.CountCrashes(), aLeft.second.lastCrashAt_) <
             std::pair(aRight.second.CountCrashes(), aRight.second.lastCrashAt_);
    });
  Forget(aNow, least, aChanges);
}

Duration
CrashSuspects::RemainingQuarantine(Instant aNow, RequestFingerprint aFingerprint) const
{
  const auto suspect = suspects_.find(aFingerprint);
  return suspect == suspects_.end() ? Duration(0)
                                    : std::max(suspect->second.quarantinedUntil_, aNow) - aNow;
}

bool
CrashSuspects::IsAwaitingProof(Instant aNow, RequestFingerprint aFingerprint) const
{
  const auto found = suspects_.find(aFingerprint);
  if (found == suspects_.end()) {
    return false;
  }
  const auto& suspect = found->second;
  return suspect.CountCrashes() >= kCrashesToQuarantine &&
         suspect.CountProvenCrashes() < kCrashesToQuarantine &&
         aNow < suspect.lastCrashAt_ + kMaxProofWait;
}

std::vector<Quarantine>
CrashSuspects::Quarantines(Instant aNow) const
{
  std::vector<Quarantine> quarantines;
  for (const auto& [fingerprint, suspect] : suspects_) {
    if (suspect.quarantinedUntil_ > aNow) {
      quarantines.push_back(Describe(aNow, fingerprint, suspect));
    }
  }
  return quarantines;
}

std::vector<std::pair<std::string, std::uint64_t>>
CrashSuspects::SuspectedServers() const
{
  std::vector<std::pair<std::string, std::uint64_t>> servers;
  servers.reserve(servers_.size());
  for (const auto& [id, server] : servers_) {
    servers.emplace_back(id, server.incarnation_);
  }
  return servers;
}

std::vector<SuspectedCrash>
CrashSuspects::Crashes() const
{
  std::vector<SuspectedCrash> crashes;
  for (const auto& [fingerprint, suspect] : suspects_) {
    for (const auto& crash : suspect.crashes_) {
      crashes.push_back(crash.seen_);
    }
  }
  return crashes;
}

} // namespace latchslip
