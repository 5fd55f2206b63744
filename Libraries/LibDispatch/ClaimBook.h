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

// Claims the ids of requests that must run at most once, durably and before
// they are dispatched, in batches that keep to a rate of transactions. A
// request id that was claimed once is never run a second time, whichever
// instance it comes through. Pure decisions.

using ClaimId = std::uint64_t;

enum class ClaimVerdict
{
  // Durably claimed for this attempt: it may be dispatched.
  Claimed,
  // An earlier attempt under the same id has started or may have.
  Duplicate,
  // The table service cannot be reached; nothing was claimed.
  StoreUnavailable,
};

struct ClaimDecision
{
  ClaimId id_ = 0;
  ClaimVerdict verdict_ = ClaimVerdict::Claimed;
  // What the row says of the earlier attempt; set for duplicates.
  std::string earlier_;
};

// A call of the table service that the book wants made; at most one at a time.
struct ClaimCall
{
  // When set, the transaction's answer was lost and the rows are to be read.
  bool isRead_ = false;
  Transaction transaction_;
  std::vector<std::string> keys_;
};

struct ClaimTiming
{
  // Transactions per second that this instance may spend on claims.
  double rate_ = 30;
  double burst_ = 4;
  std::size_t batch_ = 64;
  // How long after an outage showed the store is left alone.
  Duration outagePause_ = milliseconds(200);
};

class ClaimBook
{
public:
  // aWriter makes the rows of this process recognisable to itself.
  ClaimBook(std::string aWriter, ClaimTiming aTiming);

  // Asks for a claim; the decision comes out of OnReply. False when an outage is
  // known, so that nothing is promised. aSendingToken names one sending of the
  // request: a claim that another holder made for the same sending is taken over,
  // since it is only handed on when it certainly did not run there.
  bool Submit(Instant aNow, ClaimId aId, std::string aRowKey, const std::string& aSendingToken);

  // The request was certainly not run: its id may be claimed again.
  void Release(ClaimId aId);

  // The request has run or may have: the row keeps saying so with this word.
  void Close(ClaimId aId, std::string_view aOutcome);

  std::optional<ClaimCall> NextCall(Instant aNow);
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
    // What the row says of any holder's claim for this sending.
    std::string sending_;
    std::string value_;
    RowVersion expected_ = 0;
  };
  // A later word about a claim that was won.
  struct Update
  {
    std::string rowKey_;
    std::string value_;
    RowVersion expected_ = 0;
  };
  struct Won
  {
    std::string rowKey_;
    std::string value_;
    RowVersion version_ = 0;
  };

  std::optional<ClaimDecision> Settle(Claim& aClaim, const Row* aRow);
  std::vector<ClaimDecision> OnTransactionDone(const StoreReply& aReply);
  std::vector<ClaimDecision> OnConflict(const StoreReply& aReply);
  std::vector<ClaimDecision> OnReadBack(const StoreReply& aReply);
  std::vector<ClaimDecision> FailAll(Instant aNow);
  void Refill(Instant aNow);

  std::string writer_;
  ClaimTiming timing_;
  std::uint64_t sequence_ = 0;
  double allowance_;
  Instant refilledAt_{ 0 };
  Instant outageUntil_{ 0 };

  bool isCallOut_ = false;
  bool mustReadBack_ = false;
  bool isReadOut_ = false;
  std::deque<Claim> pending_;
  std::vector<Claim> inFlight_;
  std::deque<Update> updates_;
  std::vector<Update> updatesInFlight_;
  std::map<ClaimId, Won> won_;
  // Released while their claim was still being made.
  std::map<ClaimId, bool> abandoned_;
};

} // namespace latchslip
