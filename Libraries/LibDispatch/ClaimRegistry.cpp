#include "LibDispatch/ClaimRegistry.h"

#include <algorithm>
#include <utility>

namespace latchslip {

namespace {

constexpr std::string_view kReleased = "released";
constexpr std::string_view kStarted = "started ";

} // namespace

std::string
ClaimRegistry::RowKey(std::string_view aService,
                      std::string_view aGroup,
                      std::string_view aRequestId)
{
  std::string key = "claim/";
  key.append(aService).append("/").append(aGroup).append("/").append(aRequestId);
  return key;
}

ClaimRegistry::ClaimRegistry(std::string aWriter, ClaimTiming aTiming)
  : writer_(std::move(aWriter))
  , timing_(aTiming)
  , tokens_(aTiming.burst_)
{
}

bool
ClaimRegistry::Submit(Instant aNow,
                      ClaimId aId,
                      std::string aRowKey,
                      const std::string& aSendingToken)
{
  if (IsOutage(aNow)) {
    return false;
  }
  Claim claim;
  claim.id_ = aId;
  claim.rowKey_ = std::move(aRowKey);
  claim.deliveryPrefix_ = std::string(kStarted) + aSendingToken + " ";
  claim.value_ = claim.deliveryPrefix_ + writer_ + " " + std::to_string(++sequence_);
  pending_.push_back(std::move(claim));
  return true;
}

void
ClaimRegistry::Release(ClaimId aId)
{
  const auto won = heldClaims_.find(aId);
  if (won != heldClaims_.end()) {
    updates_.push_back({ won->second.rowKey_, std::string(kReleased), won->second.version_ });
    heldClaims_.erase(won);
    return;
  }
  const auto waiting = std::find_if(
    pending_.begin(), pending_.end(), [&](const Claim& aClaim) { return aClaim.id_ == aId; });
  if (waiting != pending_.end() && waiting->expected_ == 0 && !mustReadBack_) {
    pending_.erase(waiting);
    return;
  }
  abandoned_[aId] = true;
}

void
ClaimRegistry::Close(ClaimId aId, std::string_view aOutcome)
{
  const auto won = heldClaims_.find(aId);
  if (won == heldClaims_.end()) {
    return;
  }
  updates_.push_back({ won->second.rowKey_, std::string(aOutcome), won->second.version_ });
  heldClaims_.erase(won);
}

void
ClaimRegistry::Refill(Instant aNow)
{
  const auto elapsed = std::chrono::duration<double>(aNow - refilledAt_).count();
  tokens_ = std::min(timing_.burst_, tokens_ + elapsed * timing_.rate_);
  refilledAt_ = aNow;
}

std::optional<ClaimCall>
ClaimRegistry::NextCall(Instant aNow)
{
  if (isCallInFlight_ || IsOutage(aNow)) {
    return std::nullopt;
  }
  if (mustReadBack_) {
    ClaimCall call;
    call.isRead_ = true;
    for (const auto& claim : inFlight_) {
      call.keys_.push_back(claim.rowKey_);
    }
    for (const auto& update : updatesInFlight_) {
      call.keys_.push_back(update.rowKey_);
    }
    isCallInFlight_ = true;
    isReadInFlight_ = true;
    return call;
  }
  if (pending_.empty() && updates_.empty()) {
    return std::nullopt;
  }
  Refill(aNow);
  if (tokens_ < 1) {
    return std::nullopt;
  }
  tokens_ -= 1;
  ClaimCall call;
  std::vector<std::string> used;
  const auto add = [&](const std::string& aKey, RowVersion aExpected, const std::string& aValue) {
    call.transaction_.conditions_.push_back({ aKey, aExpected });
    call.transaction_.writes_.push_back({ aKey, aValue });
    used.push_back(aKey);
  };
  const auto isUsed = [&](const std::string& aKey) {
    return std::find(used.begin(), used.end(), aKey) != used.end();
  };
  // A transaction may contain a row only once; a second change of it waits for the next
  // transaction.
  while (!updates_.empty() && updatesInFlight_.size() < timing_.batch_ &&
         !isUsed(updates_.front().rowKey_)) {
    add(updates_.front().rowKey_, updates_.front().expected_, updates_.front().value_);
    updatesInFlight_.push_back(std::move(updates_.front()));
    updates_.pop_front();
  }
  while (!pending_.empty() && inFlight_.size() < timing_.batch_ &&
         !isUsed(pending_.front().rowKey_)) {
    add(pending_.front().rowKey_, pending_.front().expected_, pending_.front().value_);
    inFlight_.push_back(std::move(pending_.front()));
    pending_.pop_front();
  }
  isCallInFlight_ = true;
  return call;
}

std::optional<ClaimDecision>
ClaimRegistry::DecideClaim(Claim& aClaim, const Row* aRow)
{
  const bool isAbsent = aRow == nullptr || aRow->version_ == 0;
  if (!isAbsent && aRow->value_ == aClaim.value_) {
    const bool isAbandoned = abandoned_.erase(aClaim.id_) != 0;
    heldClaims_[aClaim.id_] = { aClaim.rowKey_, aClaim.value_, aRow->version_ };
    if (isAbandoned) {
      Release(aClaim.id_);
      return std::nullopt;
    }
    return ClaimDecision{ aClaim.id_, ClaimVerdict::Claimed, "" };
  }
  // NOTE: Taking over rewrites the row, so that a release by the former holder that is still
  // in flight fails its condition.
  const bool isSameDelivery = !isAbsent && aRow->value_.starts_with(aClaim.deliveryPrefix_);
  if (isAbsent || isSameDelivery || aRow->value_ == kReleased) {
    if (abandoned_.erase(aClaim.id_) != 0) {
      return std::nullopt;
    }
    // The id is free; retry on the version that is stored now.
    aClaim.expected_ = isAbsent ? 0 : aRow->version_;
    pending_.push_back(std::move(aClaim));
    return std::nullopt;
  }
  if (abandoned_.erase(aClaim.id_) != 0) {
    return std::nullopt;
  }
  return ClaimDecision{ aClaim.id_, ClaimVerdict::Duplicate, aRow->value_ };
}

std::vector<ClaimDecision>
ClaimRegistry::OnTransactionDone(const StoreReply& aReply)
{
  std::vector<ClaimDecision> decisions;
  for (auto& claim : inFlight_) {
    const auto* row = FindRow(aReply.rows_, claim.rowKey_);
    Row written{ claim.rowKey_,
                 row == nullptr ? claim.expected_ + 1 : row->version_,
                 claim.value_ };
    if (auto decision = DecideClaim(claim, &written)) {
      decisions.push_back(*decision);
    }
  }
  inFlight_.clear();
  updatesInFlight_.clear();
  return decisions;
}

std::vector<ClaimDecision>
ClaimRegistry::OnConflict(const StoreReply& aReply)
{
  std::vector<ClaimDecision> decisions;
  auto claims = std::move(inFlight_);
  inFlight_.clear();
  for (auto& claim : claims) {
    const auto* row = FindRow(aReply.rows_, claim.rowKey_);
    if (row == nullptr) {
      // The condition on this row held; another row of the batch failed.
      if (abandoned_.erase(claim.id_) == 0) {
        pending_.push_back(std::move(claim));
      }
      continue;
    }
    if (auto decision = DecideClaim(claim, row)) {
      decisions.push_back(*decision);
    }
  }
  // An update whose row has changed is dropped: another writer owns the row now.
  for (auto& update : updatesInFlight_) {
    if (FindRow(aReply.rows_, update.rowKey_) == nullptr) {
      updates_.push_back(std::move(update));
    }
  }
  updatesInFlight_.clear();
  return decisions;
}

std::vector<ClaimDecision>
ClaimRegistry::OnReadBack(const StoreReply& aReply)
{
  std::vector<ClaimDecision> decisions;
  auto claims = std::move(inFlight_);
  inFlight_.clear();
  for (auto& claim : claims) {
    if (auto decision = DecideClaim(claim, FindRow(aReply.rows_, claim.rowKey_))) {
      decisions.push_back(*decision);
    }
  }
  for (auto& update : updatesInFlight_) {
    const auto* row = FindRow(aReply.rows_, update.rowKey_);
    if (row != nullptr && row->version_ == update.expected_) {
      updates_.push_back(std::move(update));
    }
  }
  updatesInFlight_.clear();
  mustReadBack_ = false;
  return decisions;
}

std::vector<ClaimDecision>
ClaimRegistry::FailAll(Instant aNow)
{
  outageUntil_ = aNow + timing_.outageBackoff_;
  std::vector<ClaimDecision> decisions;
  const auto fail = [&](const Claim& aClaim) {
    if (abandoned_.erase(aClaim.id_) == 0) {
      decisions.push_back({ aClaim.id_, ClaimVerdict::StoreUnavailable, "" });
    }
  };
  for (const auto& claim : inFlight_) {
    fail(claim);
  }
  for (const auto& claim : pending_) {
    fail(claim);
  }
  inFlight_.clear();
  pending_.clear();
  for (auto& update : updatesInFlight_) {
    updates_.push_back(std::move(update));
  }
  updatesInFlight_.clear();
  return decisions;
}

std::vector<ClaimDecision>
ClaimRegistry::OnReply(Instant aNow, const StoreReply& aReply)
{
  isCallInFlight_ = false;
  const bool wasRead = std::exchange(isReadInFlight_, false);
  switch (aReply.status_) {
    case StoreStatus::Done:
      return wasRead ? OnReadBack(aReply) : OnTransactionDone(aReply);
    case StoreStatus::Conflict:
      return OnConflict(aReply);
    case StoreStatus::Indeterminate:
      // NOTE: The outcome of the claims is unknown. Dispatching now could run a booking
      // twice, and reporting a duplicate could forbid its retry for good, so the rows are
      // read back first.
      mustReadBack_ = true;
      outageUntil_ = wasRead ? aNow + timing_.outageBackoff_ : outageUntil_;
      return {};
    case StoreStatus::Unavailable:
      break;
  }
  if (mustReadBack_) {
    outageUntil_ = aNow + timing_.outageBackoff_;
    return {};
  }
  return FailAll(aNow);
}

} // namespace latchslip
