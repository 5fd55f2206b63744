#pragma once

#include "LibBase/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

namespace latchslip {

// Timer for a component that computes its own next deadline: calls aOnTime when the time given
// by aNextTime has come, then re-arms itself. It is only re-armed for an earlier deadline, never
// for a later one, because an early call is harmless.
class DeadlineTimer
{
public:
  using NextTime = std::function<std::optional<Instant>()>;
  using OnTime = std::function<void(Instant aNow)>;

  DeadlineTimer(boost::asio::io_context& aContext, NextTime aNextTime, OnTime aOnTime);

  // Re-reads the next deadline. Call after each change to the component from outside.
  void Arm();
  void Cancel() { timer_.cancel(); }

private:
  NextTime nextTime_;
  OnTime onTime_;
  boost::asio::steady_timer timer_;
  // Deadline for which the timer is armed; Instant::max() if it is not armed.
  Instant armedFor_ = Instant::max();
};

} // namespace latchslip
