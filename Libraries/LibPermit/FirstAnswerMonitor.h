#pragma once

#include "LibGateway/Messages.h"

#include <map>

namespace latchslip {

// Finds out whether a dispatcher answers the permit requests of one instance too late, as it does
// when its link is saturated although its processor is idle. Performs no I/O.
class FirstAnswerMonitor
{
public:
  // aTimeLeft is the time for which the instance waits at most.
  void OnRequested(Instant aNow, AttemptNumber aNumber, Duration aTimeLeft);
  // The first answer to the request, or any other, has arrived.
  void OnAnswered(Instant aNow, AttemptNumber aNumber);
  // The request was given up; an answer that was not due yet counts neither way.
  void OnAbandoned(Instant aNow, AttemptNumber aNumber);
  // Whether most of the recent requests had no first answer in time.
  bool IsSlow(Instant aNow);

private:
  struct Request
  {
    Instant sentAt_{ 0 };
    bool isAnsweredInTime_ = false;
  };

  // The recent requests. Numbers increase with time.
  std::map<AttemptNumber, Request> requests_;
};

} // namespace latchslip
