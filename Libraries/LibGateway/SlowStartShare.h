#pragma once

#include "LibBase/Time.h"
#include "LibGateway/TokenBucket.h"

#include <cstddef>

namespace latchslip {

// What one instance may send to a server in its slow start without being told: its equal
// part of the few requests a second that the server takes from all. A server that gets well
// more falls over and starts slowly anew.
class SlowStartShare
{
public:
  // Until aUntil this instance may send aRate requests a second. aFirst, 0 to 1, is how
  // much of the first one has been saved up: were it the same on all instances, their
  // first requests would come together.
  void Begin(Instant aNow, Instant aUntil, double aRate, double aFirst);
  // Whether one more may be sent now.
  bool HasRoom(Instant aNow) const;
  void OnSent(Instant aNow);
  bool IsOver(Instant aNow) const { return aNow >= until_; }

  // How long until one more may be sent after aAhead others; zero when that is now.
  Duration WaitLeft(Instant aNow, std::size_t aAhead) const;

private:
  Instant until_ = Instant::min();
  TokenBucket bucket_;
};

} // namespace latchslip
