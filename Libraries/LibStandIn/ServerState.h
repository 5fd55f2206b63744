#pragma once

#include "LibBase/Time.h"
#include "LibDispatch/GrantManager.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace latchslip {

// A request that ran to completion.
struct ExecutionRecord
{
  std::string requestId_;
  std::string group_;
  KeyHash hash_ = 0;
  Fence fence_ = 0;
  Instant startedAt_{ 0 };
  Instant endedAt_{ 0 };
};

// A period in which the server held a grant for these key ranges; until_ is exclusive.
struct OwnershipRecord
{
  Fence fence_ = 0;
  Instant from_{ 0 };
  Instant until_{ 0 };
  std::vector<HashRange> ranges_;
};

// One request that a server receives. validUntil_ is on the server's clock in microseconds; 0 means
// that it doesn't expire.
struct ServerWork
{
  std::uint64_t id_ = 0;
  std::string requestId_;
  std::string group_;
  KeyHash hash_ = 0;
  Fence fence_ = 0;
  std::int64_t validUntil_ = 0;
};

// Result of a request to start work on a server.
enum class StartResult
{
  Started,
  // The key isn't covered by the server's current grant, or the fence is not the current one.
  Refused,
  // No slot is free.
  Shed,
  // It arrived after its validUntil_.
  Expired,
};

// State machine of a stand-in backend server: accepts grants of key ranges, checks fences, limits
// concurrent work to the slots, and records executions and ownership for audits. Does no I/O; all
// times are on the server's own clock.
class ServerState
{
public:
  ServerState(unsigned aSlots, bool aChecksGrants, std::uint64_t aBootId);

  // Accepts a grant unless its fence or generation is older than the current one, or it is meant
  // for another boot of the server. The reply counts running work that is orphaned or has an older
  // fence (foreign), and running work for keys outside the new ranges (released).
  GrantReply OnGrant(Instant aNow, const GrantCommand& aCommand);
  StartResult OnWork(Instant aNow, const ServerWork& aWork);
  // Completes the work and records its execution. False if the work isn't running, or if the server
  // no longer owns the key and therefore drops the work without effect.
  bool Finish(Instant aNow, std::uint64_t aId);
  // Cancels running work without effect. False if it isn't running.
  bool Cancel(std::uint64_t aId);
  // The client of this work disconnected; the work continues and keeps its slot.
  void MarkOrphaned(std::uint64_t aId);

  // Whether a grant that hasn't expired covers the key; always true if grants aren't checked.
  bool Owns(Instant aNow, KeyHash aHash) const;
  void SetLeaving(Instant aNow) { leavingSince_ = aNow; }
  std::size_t Running() const { return running_.size(); }
  std::size_t MaxRunning() const { return maxRunning_; }
  // Number of requests that arrived while all slots were in use.
  std::uint64_t SlotsExceeded() const { return slotsExceeded_; }
  // Number of requests that started more than 3 s after SetLeaving.
  std::uint64_t StartedWhileLeaving() const { return startedWhileLeaving_; }
  const std::vector<ExecutionRecord>& Executions() const { return executions_; }
  // Periods of ownership so far; renewals extend the last one.
  const std::vector<OwnershipRecord>& Ownerships() const { return ownerships_; }

private:
  struct RunningWork
  {
    ServerWork work_;
    Instant startedAt_{ 0 };
    bool isOrphaned_ = false;
  };

  void RecordOwnership(Instant aNow, const GrantCommand& aCommand);

  unsigned slots_;
  bool checksGrants_;
  std::uint64_t bootId_;
  Fence fence_ = 0;
  std::uint64_t generation_ = 0;
  std::int64_t validUntil_ = 0;
  std::vector<HashRange> ranges_;
  Instant leavingSince_{ 0 };
  std::size_t maxRunning_ = 0;
  std::uint64_t slotsExceeded_ = 0;
  std::uint64_t startedWhileLeaving_ = 0;
  std::map<std::uint64_t, RunningWork> running_;
  std::vector<ExecutionRecord> executions_;
  std::vector<OwnershipRecord> ownerships_;
};

} // namespace latchslip
