#pragma once

#include "LibBase/Event.h"
#include "LibBase/Time.h"

#include <array>
#include <cstdint>
#include <string>

namespace latchslip {

// How much a log may say.
struct LineLogLimits
{
  // Lines a second about single requests, beyond which the rest is only counted.
  double requestLines_ = 150;
  // The same for what changes the beliefs of the instance: a fleet of hundreds of
  // servers lists them all within seconds.
  double stateLines_ = 600;
  // Bytes that wait for a reader who does not read.
  std::size_t waitingBytes_ = 256UL * 1024;
};

// Writes each event as one line of "name=value" words to a file descriptor, and
// never waits for its reader: what does not fit is dropped and counted. Failures
// of requests go before their successes.
class LineLog : public EventSink
{
public:
  // aInstance stands on each line. The descriptor is made non-blocking.
  LineLog(int aDescriptor, std::string aInstance, LineLogLimits aLimits);

  void Record(Event aEvent, std::string_view aDetail) override;
  // Writes what waits, as far as the reader takes it. To be called often.
  void Flush();
  // How many events of that kind there were, written or not.
  std::uint64_t CountOf(Event aEvent) const;
  // Lines that were dropped since the start.
  std::uint64_t Dropped() const { return dropped_; }

private:
  // What may still be said of one kind within the present second.
  struct Allowance
  {
    double left_ = 0;
    Instant filledAt_{ 0 };

    bool Take(Instant aNow, double aPerSecond);
  };

  void Append(Instant aNow, Event aEvent, std::string_view aDetail);
  void TellDropped(Instant aNow);

  int descriptor_;
  std::string instance_;
  LineLogLimits limits_;
  // Successes of requests, their failures, and all else.
  std::array<Allowance, 3> allowances_;
  std::array<std::uint64_t, 1000> counts_{};
  std::string waiting_;
  std::uint64_t dropped_ = 0;
  std::uint64_t toldDropped_ = 0;
  Instant nextTell_{ 0 };
};

} // namespace latchslip
