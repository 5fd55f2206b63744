#pragma once

#include "LibBase/Time.h"
#include "LibStore/Row.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace latchslip {

using ClaimId = std::uint64_t;

enum class ClaimVerdict
{
  // Claimed durably for this attempt: the request may be dispatched.
  Claimed,
  // An earlier attempt with the same id has started or may have.
  Duplicate,
  // The table service cannot be reached; nothing was claimed.
  StoreUnavailable,
};

struct ClaimDecision
{
  ClaimId id_ = 0;
  ClaimVerdict verdict_ = ClaimVerdict::Claimed;
  // Content of the row of the earlier attempt; set for duplicates.
  std::string earlierOutcome_;
};

// A call to the table service; at most one is in flight.
struct ClaimCall
{
  // Set if the answer of the transaction was lost and the rows must be read back.
  bool isRead_ = false;
  Transaction transaction_;
  std::vector<std::string> keys_;
};

struct ClaimTiming
{
  // Token bucket: transactions per second that this instance may spend on claims, and the
  // burst.
  double rate_ = 30;
  double burst_ = 4;
  // Maximum number of claims, and of updates, in one transaction.
  std::size_t batch_ = 64;
  // How long no call is made after the store was found unavailable.
  Duration outageBackoff_ = milliseconds(200);
};

// Deduplicates, durably and across instances, the requests that must run at most once. Before
// such a request is dispatched, its id is claimed by a conditional write to the table
// service. A claimed id never runs a second time, whichever instance the request comes
// through. Claims are written in batches, limited by a token bucket of transactions. Pure
// decisions without I/O.
class ClaimRegistry
{
public:
  // aWriter identifies the rows written by this process.
  ClaimRegistry(std::string aWriter, ClaimTiming aTiming);

  // Queues a claim; OnReply returns the decision. Returns false during a known outage, when
  // nothing is queued. aSendingToken identifies one delivery of the request: a claim that
  // another holder made for the same delivery is taken over, because a delivery is only
  // passed on if it certainly did not run there.
  bool Submit(Instant aNow, ClaimId aId, std::string aRowKey, const std::string& aSendingToken);

  // The request certainly did not run: its id may be claimed again.
  void Release(ClaimId aId);

  // The request has run or may have run: records its outcome in the row, permanently.
  void Close(ClaimId aId, std::string_view aOutcome);

  // Returns the next call to make, or nothing if there is none, one is in flight, or the
  // token bucket is empty.
  std::optional<ClaimCall> NextCall(Instant aNow);
  // Handles the reply to the last call and returns the claims that it has decided.
  std::vector<ClaimDecision> OnReply(Instant aNow, const StoreReply& aReply);

  std::size_t Pending() const { return pending_.size(); }
  bool IsOutage(Instant aNow) const { return aNow < outageUntil_; }

  static std::string RowKey(std::string_view aService,
                            std::string_view aGroup,
                            std::string_view aRequestId);

private:
  struct Claim
  {
    ClaimId id_ = 0;
    std::string rowKey_;
    // Prefix of the row content that any holder writes for this delivery.
    std::string deliveryPrefix_;
    std::string value_;
    RowVersion expected_ = 0;
  };
  // A change of the row of a claim that this process holds.
  struct Update
  {
    std::string rowKey_;
    std::string value_;
    RowVersion expected_ = 0;
  };
  // A claim that this process holds.
  struct HeldClaim
  {
    std::string rowKey_;
    std::string value_;
    RowVersion version_ = 0;
  };

  // Decides a claim by the row that is stored, or queues it again. Returns nothing if
  // undecided.
  std::optional<ClaimDecision> DecideClaim(Claim& aClaim, const Row* aRow);
  std::vector<ClaimDecision> OnTransactionDone(const StoreReply& aReply);
  std::vector<ClaimDecision> OnConflict(const StoreReply& aReply);
  std::vector<ClaimDecision> OnReadBack(const StoreReply& aReply);
  // Fails all claims after the store was found unavailable.
  std::vector<ClaimDecision> FailAll(Instant aNow);
  void Refill(Instant aNow);

  std::string writer_;
  ClaimTiming timing_;
  std::uint64_t sequence_ = 0;
  double tokens_;
  Instant refilledAt_{ 0 };
  Instant outageUntil_{ 0 };

  bool isCallInFlight_ = false;
  bool mustReadBack_ = false;
  bool isReadInFlight_ = false;
  std::deque<Claim> pending_;
  std::vector<Claim> inFlight_;
  std::deque<Update> updates_;
  std::vector<Update> updatesInFlight_;
  std::map<ClaimId, HeldClaim> heldClaims_;
  // Claims that were released while their write was in flight.
  std::map<ClaimId, bool> abandoned_;
};

} // namespace latchslip
