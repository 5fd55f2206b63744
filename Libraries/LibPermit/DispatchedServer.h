#pragma once

#include "LibGateway/PermitMessages.h"
#include "LibGateway/RateLimit.h"
#include "LibGateway/ServerDirectory.h"
#include "LibGateway/ServerHealth.h"

#include <deque>
#include <map>
#include <set>

namespace latchslip {

// Names the link to an instance that asks for permits.
using CallerId = std::uint64_t;

// What a dispatcher knows of one server: all that is under way there, how fast it works,
// and how much it may get.
class DispatchedServer
{
public:
  // aSlowStartRate: requests a second that the server takes in its slow start; 0 when it
  // takes as many as ever.
  void SetRecord(const ServerRecord& aRecord, double aSlowStartRate);

  // A request was sent to it, or may be from now on.
  void OnSent(Instant aNow);
  // A send of that moment has ended; aFound requests were there when it was sent.
  void OnEnded(Instant aNow,
               CallerId aCaller,
               Instant aSentAt,
               std::size_t aFound,
               const SendEnd& aEnd);
  // Whether it may get one more request; aUsual is the work time to count with when none
  // is known.
  bool HasCapacity(Instant aNow, Duration aUsual) const;
  // Whether it wants nothing from that instance at the moment.
  bool IsResting(Instant aNow, CallerId aCaller) const;
  // Whether a request would find a free slot.
  bool HasFreeSlot(Instant aNow) const { return Load(aNow) < slots_; }
  // How long one more request would take there, its wait for a slot included.
  Duration ExpectedLatency(Instant aNow, Duration aUsual) const;
  // How long until it can get one more request when aAhead others wait for it.
  Duration ExpectedQueueTime(Instant aNow, std::size_t aAhead, Duration aUsual) const;
  // How long work takes there at the moment.
  Duration WorkTime(Instant aNow, Duration aUsual) const;
  // Requests a second that it can do at the moment.
  double Throughput(Instant aNow, Duration aUsual) const;

  const std::string& Hall() const { return hall_; }
  double FailureShare() const { return health_.FailureShare(); }
  std::size_t InFlight() const { return sent_.size(); }
  // Work time at its usual pace; zero when it is not known.
  Duration UsualWorkTime() const { return work_; }
  // Whether that instance most likely has an open connection to it.
  bool IsConnected(Instant aNow, CallerId aCaller) const;
  // Whether it got nothing for long, so that nothing new is known of it.
  bool IsForgotten(Instant aNow) const;

private:
  // Forgets what was learnt of an earlier life.
  void BeginLife();
  bool MayStart(Instant aNow) const;
  // Requests that are there: those of this dispatcher, and others that the server told of.
  std::size_t Load(Instant aNow) const;
  // How many times its work a request waits that finds aFound others there.
  double WaitsBehind(std::size_t aFound) const;
  double Pace(Instant aNow) const;
  void NoteAnswer(Instant aNow, CallerId aCaller);
  void StartBackoff(Instant aNow, CallerId aCaller, Duration aRest);
  void Learn(Instant aNow, std::size_t aFound, const SendEnd& aEnd);

  std::string hall_;
  std::uint64_t life_ = 0;
  std::size_t slots_ = 1;
  bool takesWork_ = false;
  Instant slowStartUntil_ = Instant::min();
  double slowStartRate_ = 0;
  ServerHealth health_;
  RateLimit rateLimit_;
  // When what is under way was sent.
  std::multiset<Instant> sent_;
  Instant lastSent_ = Instant::min();
  // The sends of the last second, in a slow start.
  std::deque<Instant> slowStartSends_;
  // When each instance last got an answer from it.
  std::map<CallerId, Instant> answered_;
  // Until when it wants nothing from an instance, of those from which it does.
  std::map<CallerId, Instant> rests_;
  Duration work_{ 0 };
  double slowdown_ = 1;
  std::size_t others_ = 0;
  Instant toldAt_ = Instant::min();
};

} // namespace latchslip
