#pragma once

#include "LibGateway/PermitMessages.h"
#include "LibGateway/RateLimit.h"
#include "LibGateway/ServerDirectory.h"
#include "LibGateway/ServerHealth.h"

#include <deque>
#include <map>
#include <set>

namespace latchslip {

// Identifies the link to an instance that requests permits.
using CallerId = std::uint64_t;

// The dispatcher's view of one server: its outstanding requests, its estimated speed, and the
// limits on what may be sent to it (slots, slow start, rate limit, backoff, circuit breaker). Owned
// by PermitDispatcher.
class DispatchedServer
{
public:
  // Takes over the server's record. aSlowStartRate is the rate limit during its slow start in
  // requests per second; 0 for none. A change of the incarnation resets all that was learned about
  // the server.
  void SetRecord(const ServerRecord& aRecord, double aSlowStartRate);

  // Counts a send that started at aNow, which may lie in the past for sends that were reported
  // late.
  void OnSent(Instant aNow);
  // Counts the end of the send that started at aSentAt. aInFlightAtStart is the number of requests
  // outstanding at the server when it started.
  void OnEnded(Instant aNow,
               CallerId aCaller,
               Instant aSentAt,
               std::size_t aInFlightAtStart,
               const SendEnd& aEnd);
  // Whether the server may be sent one more request now. aDefaultWork is the work time assumed if
  // none has been measured for this server, here and below.
  bool HasCapacity(Instant aNow, Duration aDefaultWork) const;
  // Whether the server's backoff applies to sends from that instance.
  bool IsBackedOff(Instant aNow, CallerId aCaller) const;
  // Whether a request would start without waiting for a slot.
  bool HasFreeSlot(Instant aNow) const { return Load(aNow) < slots_; }
  // Expected latency of one more request, including its wait for a slot.
  Duration ExpectedLatency(Instant aNow, Duration aDefaultWork) const;
  // Expected time until the server can accept one more request after aAhead others.
  Duration ExpectedQueueTime(Instant aNow, std::size_t aAhead, Duration aDefaultWork) const;
  // Expected work time of a request at the server's current speed, without any wait for a slot.
  Duration WorkTime(Instant aNow, Duration aDefaultWork) const;
  // Expected capacity in requests per second, limited by circuit breaker, rate limit and slow
  // start.
  double Throughput(Instant aNow, Duration aDefaultWork) const;

  const std::string& Hall() const { return hall_; }
  double FailureShare() const { return health_.FailureShare(); }
  // Time for which the circuit breaker suspends sends; zero if it does not.
  Duration RemainingSuspension(Instant aNow) const { return health_.RemainingDelay(aNow); }
  std::size_t InFlight() const { return startTimes_.size(); }
  // Mean work time, adjusted to the normal speed of the server; zero when none has been measured.
  Duration NormalWorkTime() const { return meanWork_; }
  // Whether that instance probably has an open connection to the server.
  bool IsConnected(Instant aNow, CallerId aCaller) const;
  // Whether the server has had no request for so long that its estimates are stale, and should get
  // one as a probe.
  bool IsStale(Instant aNow) const;

private:
  // Resets all that was learned about an earlier incarnation.
  void ResetEstimates();
  bool AllowsSlowStart(Instant aNow) const;
  // Number of requests at the server: those sent under this dispatcher, plus those of others that
  // the server has recently reported.
  std::size_t Load(Instant aNow) const;
  // Waiting time of a request that finds aInFlightAtStart others at the server, as a multiple of
  // the work time.
  double RelativeWait(std::size_t aInFlightAtStart) const;
  double Slowdown(Instant aNow) const;
  void RecordAnswer(Instant aNow, CallerId aCaller);
  void StartBackoff(Instant aNow, CallerId aCaller, Duration aBackoff);
  void UpdateEstimates(Instant aNow, std::size_t aInFlightAtStart, const SendEnd& aEnd);

  std::string hall_;
  std::uint64_t incarnation_ = 0;
  std::size_t slots_ = 1;
  bool acceptsWork_ = false;
  Instant slowStartUntil_ = Instant::min();
  double slowStartRate_ = 0;
  ServerHealth health_;
  RateLimit rateLimit_;
  // Start times of the outstanding sends.
  std::multiset<Instant> startTimes_;
  Instant lastSent_ = Instant::min();
  // Start times of the sends within the last second, during a slow start.
  std::deque<Instant> slowStartSends_;
  // Time of the last answer from the server by instance.
  std::map<CallerId, Instant> lastAnswers_;
  // End of the backoff by instance.
  std::map<CallerId, Instant> backoffUntil_;
  Duration meanWork_{ 0 };
  double slowdown_ = 1;
  std::size_t otherRequests_ = 0;
  Instant statusAt_ = Instant::min();
};

} // namespace latchslip
