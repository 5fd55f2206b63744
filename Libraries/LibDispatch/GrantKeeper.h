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

// Keeps the grant of one server alive on behalf of the instance that holds it.
// A grant is valid for a short term on the server's own clock, is renewed as a
// whole, and carries the fence of the holder. Pure decisions.

// First and last hash of a granted range, both included.
using HashRange = std::pair<KeyHash, KeyHash>;

// Whether one of the sorted ranges covers the hash.
bool
CoversHash(const std::vector<HashRange>& aRanges, KeyHash aHash);

// Whether two lists of ranges have a hash in common.
bool
ShareHash(const std::vector<HashRange>& aLeft, const std::vector<HashRange>& aRight);

struct GrantOrder
{
  std::string service_;
  std::string server_;
  Fence fence_ = 0;
  // Rises with each change of the ranges under one fence.
  std::uint64_t generation_ = 0;
  // The run of the server that the validity is meant for; 0 when not yet known.
  std::uint64_t bootId_ = 0;
  // End of the grant on the server's clock; 0 grants nothing and only asks.
  std::int64_t validUntil_ = 0;
  std::vector<HashRange> ranges_;
};

struct GrantReply
{
  // False when the server has seen a higher fence or generation.
  bool accepted_ = false;
  std::uint64_t bootId_ = 0;
  // The server's clock when it answered, in microseconds.
  std::int64_t clock_ = 0;
  Fence fence_ = 0;
  std::uint64_t generation_ = 0;
  // Requests that run under a lower fence.
  unsigned foreignRunning_ = 0;
  // Requests that run for keys outside the ranges granted now.
  unsigned releasedRunning_ = 0;
};

enum class GrantState
{
  // Must not contact the server until former holders have certainly stopped.
  Waiting,
  // No grant acknowledged yet.
  Contacting,
  Granted,
  // The last grant has run out unanswered; nothing is granted until the placer
  // has decided.
  Withheld,
};
inline constexpr NameTable<GrantState, 4> kGrantStateNames{
  { "waiting", "contacting", "granted", "withheld" }
};

struct GrantTiming
{
  Duration term_ = milliseconds(500);
  Duration renewInterval_ = milliseconds(150);
  // Allowance for clocks that run at slightly different rates over one term.
  Duration margin_ = milliseconds(20);
};

class GrantKeeper
{
public:
  GrantKeeper(std::string aService, std::string aServer, bool aChecksOrders, GrantTiming aTiming);

  // Takes the wish of the newest placement. Ranges that are no longer wished
  // are taken back; the release is complete when ReleasedVersion() reaches it.
  void SetWish(Fence aFence,
               RowVersion aPlacementVersion,
               std::vector<HashRange> aRanges,
               bool aFormerHoldersSettled);

  // The order to send now, if any.
  std::vector<GrantOrder> Tick(Instant aNow);

  // aSentAt is when the order that this answers was handed to the network.
  void OnReply(Instant aNow, Instant aSentAt, const GrantOrder& aOrder, const GrantReply& aReply);

  // The placer has decided that the server keeps its slices after all.
  void Resume();

  // Whether there is a grant under which any work may be sent now.
  bool IsUsable(Instant aNow) const;

  // Whether work for the key may be sent now under this holder's fence.
  bool MayDispatch(Instant aNow, KeyHash aHash) const;

  // A time on the server's clock by which work sent now must have started;
  // 0 when the server's clock is unknown.
  std::int64_t ValidUntilOnServer() const { return grantedValidUntil_; }

  GrantState State() const { return state_; }
  Fence CurrentFence() const { return fence_; }
  // Whether the server answered within the last term.
  bool IsReachable(Instant aNow) const;
  // When nothing that was ever sent under this fence is valid any more.
  Instant ExpiryBound() const { return expiryBound_; }
  // Whether the server has accepted an order under the current fence.
  bool IsConfirmed() const { return isConfirmed_; }
  // Every range that this placement version took away is certainly released.
  RowVersion ReleasedVersion() const { return releasedVersion_; }
  unsigned ForeignRunning() const { return foreignRunning_; }
  bool WasRefused() const { return refused_; }

private:
  GrantOrder ComposeOrder(Instant aNow);
  bool IsOrderDue(Instant aNow) const;
  void Withhold();

  std::string service_;
  std::string server_;
  bool checksOrders_;
  GrantTiming timing_;

  GrantState state_ = GrantState::Waiting;
  Fence fence_ = 0;
  std::uint64_t generation_ = 0;
  RowVersion wishVersion_ = 0;
  RowVersion releasedVersion_ = 0;
  std::vector<HashRange> wish_;
  std::vector<HashRange> granted_;
  std::uint64_t grantedGeneration_ = 0;

  // The server's clock as last echoed, and when it was asked and answered.
  std::uint64_t bootId_ = 0;
  std::int64_t echoClock_ = 0;
  Instant echoSentAt_{ 0 };
  Instant echoReceivedAt_{ 0 };

  bool isChanged_ = false;
  // Whether a grant that may still be valid was sent under this fence.
  bool hasSentGrants_ = false;
  bool isConfirmed_ = false;
  // Since when the server is being contacted in vain; 0 before the first tick.
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
