#pragma once

#include "LibBase/KeyHash.h"
#include "LibBase/Time.h"
#include "LibPlacement/Placement.h"
#include "LibStore/Row.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace latchslip {

// First and last hash of a key range, both included.
using HashRange = std::pair<KeyHash, KeyHash>;

// Whether one of the ranges, which must be sorted, contains the hash.
bool
CoversHash(const std::vector<HashRange>& aRanges, KeyHash aHash);

// Whether two lists of ranges have a hash in common.
bool
RangesOverlap(const std::vector<HashRange>& aLeft, const std::vector<HashRange>& aRight);

// Sets the grant of a server to the given ranges, in place of the former ones.
struct GrantCommand
{
  std::string service_;
  std::string server_;
  Fence fence_ = 0;
  // Increases with each change of the ranges under one fence.
  std::uint64_t generation_ = 0;
  // Incarnation of the server that the expiry is meant for; 0 if not known yet.
  std::uint64_t bootId_ = 0;
  // Expiry on the server's clock, in microseconds; 0 grants nothing and only probes the
  // server.
  std::int64_t validUntil_ = 0;
  std::vector<HashRange> ranges_;
};

struct GrantReply
{
  // False if the server has seen a higher fence or generation.
  bool accepted_ = false;
  std::uint64_t bootId_ = 0;
  // The server's clock when it answered, in microseconds.
  std::int64_t clock_ = 0;
  Fence fence_ = 0;
  std::uint64_t generation_ = 0;
  // Number of requests that still run under a lower fence.
  unsigned foreignRunning_ = 0;
  // Number of requests that still run for keys outside the ranges granted now.
  unsigned releasedRunning_ = 0;
};

enum class GrantState
{
  // Must not contact the server until the former holders have certainly stopped.
  Waiting,
  // The server is being probed; it has not acknowledged a grant yet.
  Contacting,
  Granted,
  // The last grant has expired without an answer. Nothing is granted until the placer has
  // decided what happens to the slices.
  Withheld,
};
inline constexpr NameTable<GrantState, 4> kGrantStateNames{
  { "waiting", "contacting", "granted", "withheld" }
};

struct GrantTiming
{
  Duration term_ = milliseconds(500);
  Duration renewInterval_ = milliseconds(150);
  // Maximum clock drift between two machines over one term.
  Duration margin_ = milliseconds(20);
};

// Maintains the grant of one server for the instance that holds it: first contact, renewal,
// release of ranges, and expiry.
//
// A grant is a lease: it lets the holder dispatch work for a set of key ranges until a time
// on the server's own clock. It carries the fencing token (fence) of the holder, and is
// renewed as a whole before it expires. Pure decisions without I/O.
class GrantManager
{
public:
  GrantManager(std::string aService, std::string aServer, bool aChecksGrants, GrantTiming aTiming);

  // Sets the ranges that the newest placement assigns to the server. Ranges that are no
  // longer assigned are released; that is complete when ReleasedVersion() reaches
  // aPlacementVersion.
  void SetDesiredRanges(Fence aFence,
                        RowVersion aPlacementVersion,
                        std::vector<HashRange> aRanges,
                        bool aFormerHoldersStopped);

  // Returns the command to send now, if one is due.
  std::vector<GrantCommand> Tick(Instant aNow);

  // Handles the server's answer to aCommand. aSentAt is when the command was passed to the
  // network.
  void OnReply(Instant aNow,
               Instant aSentAt,
               const GrantCommand& aCommand,
               const GrantReply& aReply);

  // The placer has decided that the server keeps its slices: leaves the Withheld state.
  void Resume();

  // Whether an unexpired grant is acknowledged.
  bool IsUsable(Instant aNow) const;

  // Whether work for the key may be dispatched now under this holder's fence.
  bool MayDispatch(Instant aNow, KeyHash aHash) const;

  // The time on the server's clock, in microseconds, by which work dispatched now must have
  // started; 0 if the server's clock is unknown.
  std::int64_t ValidUntilOnServer() const { return grantedValidUntil_; }

  GrantState State() const { return state_; }
  Fence CurrentFence() const { return fence_; }
  // Whether the server has answered within the last term.
  bool IsReachable(Instant aNow) const;
  // When every grant that was sent under this fence has certainly expired.
  Instant ExpiryBound() const { return expiryBound_; }
  // Whether the server has accepted a command under the current fence.
  bool IsConfirmed() const { return isConfirmed_; }
  // Every range that this placement version took away has certainly been released.
  RowVersion ReleasedVersion() const { return releasedVersion_; }
  // Number of requests that still run at the server under a lower fence.
  unsigned ForeignRunning() const { return foreignRunning_; }
  bool WasRefused() const { return refused_; }

private:
  GrantCommand BuildCommand(Instant aNow);
  bool IsCommandDue(Instant aNow) const;
  void Withhold();

  std::string service_;
  std::string server_;
  bool checksGrants_;
  GrantTiming timing_;

  GrantState state_ = GrantState::Waiting;
  Fence fence_ = 0;
  std::uint64_t generation_ = 0;
  RowVersion desiredVersion_ = 0;
  RowVersion releasedVersion_ = 0;
  std::vector<HashRange> desiredRanges_;
  std::vector<HashRange> granted_;
  std::uint64_t grantedGeneration_ = 0;

  // The last reading of the server's clock, and when the command that asked for it was sent and
  // answered.
  std::uint64_t bootId_ = 0;
  std::int64_t serverClock_ = 0;
  Instant clockRequestedAt_{ 0 };
  Instant clockReceivedAt_{ 0 };

  bool isChanged_ = false;
  // Whether a grant that may still be valid was sent under this fence.
  bool hasSentGrants_ = false;
  bool isConfirmed_ = false;
  // Since when the server has been contacted without a grant being sent; 0 before the first
  // tick.
  Instant contactingSince_{ 0 };
  bool refused_ = false;
  Instant lastSentAt_{ 0 };
  Instant lastAnswerAt_{ 0 };
  Instant expiryBound_{ 0 };
  Instant usableUntil_{ 0 };
  std::int64_t grantedValidUntil_ = 0;
  unsigned foreignRunning_ = 0;
};

} // namespace latchslip
