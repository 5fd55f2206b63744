#pragma once

#include "LibBase/Time.h"
#include "LibDispatch/GrantManager.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace latchslip {

// The rules of a small stand-in for a backend server, and the records that
// audits read. Times are on the server's own clock. Pure.

// A request that has run to its effect.
struct ExecutionRecord
{
  std::string requestId_;
  std::string group_;
  KeyHash hash_ = 0;
  Fence fence_ = 0;
  Instant startedAt_{ 0 };
  Instant endedAt_{ 0 };
};

// A span of time in which the server owned some ranges.
struct OwnershipRecord
{
  Fence fence_ = 0;
  Instant from_{ 0 };
  Instant until_{ 0 };
  std::vector<HashRange> ranges_;
};

struct ServerWork
{
  std::uint64_t id_ = 0;
  std::string requestId_;
  std::string group_;
  KeyHash hash_ = 0;
  Fence fence_ = 0;
  std::int64_t validUntil_ = 0;
};

enum class StartVerdict
{
  Started,
  // The grant does not cover it.
  Refused,
  // No slot is free, or the server is leaving.
  Shed,
  // It came later than it was valid.
  Expired,
};

class ServerState
{
public:
  ServerState(unsigned aSlots, bool aChecksGrants, std::uint64_t aBootId);

  GrantReply OnGrant(Instant aNow, const GrantCommand& aOrder);
  StartVerdict OnWork(Instant aNow, const ServerWork& aWork);
  // The work has come to its effect. False when the server owns the key no more
  // and therefore drops it without effect.
  bool Finish(Instant aNow, std::uint64_t aId);
  // Takes back work that has not come to its effect.
  bool Cancel(std::uint64_t aId);
  // Nobody waits for this work any more, but it goes on.
  void Orphan(std::uint64_t aId);

  bool Owns(Instant aNow, KeyHash aHash) const;
  void SetLeaving(Instant aNow) { leavingSince_ = aNow; }
  std::size_t Running() const { return running_.size(); }
  std::size_t MostRunning() const { return mostRunning_; }
  std::uint64_t SlotsExceeded() const { return slotsExceeded_; }
  std::uint64_t StartedWhileLeaving() const { return startedWhileLeaving_; }
  const std::vector<ExecutionRecord>& Executions() const { return executions_; }
  // Spans up to now; the last may still be growing.
  const std::vector<OwnershipRecord>& Ownerships() const { return ownerships_; }

private:
  struct RunningWork
  {
    ServerWork work_;
    Instant startedAt_{ 0 };
    bool isOrphan_ = false;
  };

  void RecordOwnership(Instant aNow, const GrantCommand& aOrder);

  unsigned slots_;
  bool checksGrants_;
  std::uint64_t bootId_;
  Fence fence_ = 0;
  std::uint64_t generation_ = 0;
  std::int64_t validUntil_ = 0;
  std::vector<HashRange> ranges_;
  Instant leavingSince_{ 0 };
  std::size_t mostRunning_ = 0;
  std::uint64_t slotsExceeded_ = 0;
  std::uint64_t startedWhileLeaving_ = 0;
  std::map<std::uint64_t, RunningWork> running_;
  std::vector<ExecutionRecord> executions_;
  std::vector<OwnershipRecord> ownerships_;
};

} // namespace latchslip
