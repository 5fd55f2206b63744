#pragma once

#include "LibAdmission/ArrivalRates.h"
#include "LibAdmission/ReturnSlices.h"
#include "LibGateway/RequestFingerprint.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace latchslip {

// Where a return needs capacity: a service, and the server if only that one may run the request.
struct ReturnScope
{
  std::string service_;
  // Empty if any server of the service may run the request.
  std::string server_;

  bool operator==(const ReturnScope&) const = default;
  bool operator<(const ReturnScope& aOther) const
  {
    return std::tie(service_, server_) < std::tie(aOther.service_, aOther.server_);
  }
};

// A denied request whose caller may return.
struct DeniedRequest
{
  RequestFingerprint fingerprint_ = kNoFingerprint;
  // 0 is the most urgent.
  unsigned priority_ = 0;
  // As in PermitRequest.
  Duration inTime_{ 0 };
  // Time until the client gives up.
  Duration timeLeft_{ 0 };
  // Expected work time.
  Duration work_{ 0 };
  // Expected throughput for the scope, in requests per second.
  double throughput_ = 0;
  // Expected wait behind the requests that are queued.
  Duration queueTime_{ 0 };
};

// What the caller of a denied request is told.
struct ReturnAnswer
{
  Duration wait_{ 0 };
  // Capacity is reserved for a return after that wait.
  bool isPromised_ = false;

  bool operator==(const ReturnAnswer&) const = default;
};

struct ReturnCounts
{
  std::uint64_t promised_ = 0;
  // Due returns that used their entry.
  std::uint64_t kept_ = 0;
  // Due returns that were denied all the same.
  std::uint64_t deniedAgain_ = 0;
  // Entries that were not used in time.
  std::uint64_t expired_ = 0;
};

// Reserves spare capacity for the retries of denied requests (docs/design/promised-returns.md).
// Performs no I/O.
class ReturnCalendar
{
public:
  // Bounds the memory of a dispatcher.
  static constexpr std::size_t kMaxEntries = 4096;
  // Share of its time left for which a caller honours Retry-After.
  static constexpr double kHonouredShare = 0.3;
  // An entry is due from this long before its moment to kOverdue after it.
  static constexpr Duration kEarly = milliseconds(200);
  static constexpr Duration kOverdue = milliseconds(500);
  // A scope promises nothing in this time after its first request, until its load is known.
  static constexpr Duration kLearning = milliseconds(500);

  // Counts a request that is served, or queued to be served, in time and is not a promised return.
  void OnNewRequest(Instant aNow, const ReturnScope& aScope, unsigned aPriority);
  // Whether the request is a promised return that is due; uses up its entry.
  bool Redeem(Instant aNow, const ReturnScope& aScope, RequestFingerprint aFingerprint);
  // Promises a moment if there is spare capacity; otherwise returns the expected wait.
  ReturnAnswer Deny(Instant aNow, const ReturnScope& aScope, const DeniedRequest& aRequest);
  void OnDeniedAgain() { ++counts_.deniedAgain_; }
  // Removes the entries that were not used in time.
  void Expire(Instant aNow);
  // Drops the scopes, with their entries, for which aIsGone returns true.
  void DropScopes(const std::function<bool(const ReturnScope&)>& aIsGone);
  // Drops all but the counts.
  void Clear();

  std::size_t Size() const { return moments_.size(); }
  const ReturnCounts& Counts() const { return counts_; }

private:
  struct Entry
  {
    Instant moment_{ 0 };
    Instant dueFrom_{ 0 };
    bool isLate_ = false;
  };

  struct ScopeState
  {
    Instant knownSince_{ 0 };
    Instant lastRequest_{ 0 };
    ArrivalRates rates_;
    ReturnSlices slices_;
    std::map<RequestFingerprint, Entry> entries_;
  };

  using Scopes = std::map<ReturnScope, ScopeState>;
  using EntryKey = std::pair<ReturnScope, RequestFingerprint>;

  // The state of the scope, which starts anew after a time without requests.
  ScopeState& Observe(Instant aNow, const ReturnScope& aScope);
  void Add(const ReturnScope& aScope,
           ScopeState& aState,
           RequestFingerprint aFingerprint,
           const Entry& aEntry);
  void Remove(const ReturnScope& aScope, ScopeState& aState, RequestFingerprint aFingerprint);
  static ReturnForecast Forecast(Instant aNow,
                                 const ScopeState& aState,
                                 const DeniedRequest& aRequest,
                                 bool aIsLate);

  Scopes scopes_;
  // All entries by their moment.
  std::set<std::pair<Instant, EntryKey>> moments_;
  ReturnCounts counts_;
};

} // namespace latchslip
