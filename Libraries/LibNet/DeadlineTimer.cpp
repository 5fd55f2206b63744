#include "LibNet/DeadlineTimer.h"

#include "LibNet/MonotonicClock.h"

namespace latchslip {

DeadlineTimer::DeadlineTimer(boost::asio::io_context& aContext, NextTime aNextTime, OnTime aOnTime)
  : nextTime_(std::move(aNextTime))
  , onTime_(std::move(aOnTime))
  , timer_(aContext)
{
}

void
DeadlineTimer::Arm()
{
  const auto next = nextTime_();
  if (!next || *next >= armedFor_) {
    return;
  }
  armedFor_ = *next;
  timer_.expires_at(std::chrono::steady_clock::time_point(armedFor_));
  timer_.async_wait([this](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    armedFor_ = Instant::max();
    onTime_(MonotonicNow());
    Arm();
  });
}

} // namespace latchslip
