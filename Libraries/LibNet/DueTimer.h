#pragma once

#include "LibBase/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

namespace latchslip {

// Wakes decisions when they have something to do next. One timer serves all of them: it is
// only set anew for an earlier time, since one that fires early does no harm.
class DueTimer
{
public:
  using NextTime = std::function<std::optional<Instant>()>;
  using OnTime = std::function<void(Instant aNow)>;

  DueTimer(boost::asio::io_context& aContext, NextTime aNextTime, OnTime aOnTime);

  // To be called after the decisions were told of something from outside.
  void Arm();
  void Cancel() { timer_.cancel(); }

private:
  NextTime nextTime_;
  OnTime onTime_;
  boost::asio::steady_timer timer_;
  // What the timer is set to; Instant::max() when it is not.
  Instant armedFor_ = Instant::max();
};

} // namespace latchslip
