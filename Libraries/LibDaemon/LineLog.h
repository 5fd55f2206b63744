#pragma once

#include "LibBase/Event.h"
#include "LibBase/Time.h"

#include <array>
#include <cstdint>
#include <string>

namespace latchslip {

// Rate and buffer limits of a LineLog.
struct LineLogLimits
{
  // Lines per second about single requests; lines above it are dropped and counted.
  double requestLinesPerSecond_ = 150;
  // Lines per second about state changes. Higher, because a fleet of hundreds of servers
  // lists all of them within seconds.
  double stateLinesPerSecond_ = 600;
  // Bytes buffered while the reader of the descriptor is slow or stuck.
  std::size_t maxBufferedBytes_ = 256UL * 1024;
};

// Event sink that writes each event as one line of "name=value" pairs to a file descriptor.
// It never blocks: lines above the rate limits or the buffer limit are dropped and counted.
// Successful requests, failed requests, faulty responses of servers and state changes have a rate
// limit each, so that none crowds out the others.
class LineLog : public EventSink
{
public:
  // aInstance is written on each line. Makes the descriptor non-blocking.
  LineLog(int aDescriptor, std::string aInstance, LineLogLimits aLimits);

  void Record(Event aEvent, std::string_view aDetail) override;
  // Writes as much of the buffer as the descriptor accepts. Called periodically by the host.
  void Flush();
  // Returns the number of recorded events of that kind, including dropped lines.
  std::uint64_t CountOf(Event aEvent) const;
  // Returns the number of lines dropped since the start.
  std::uint64_t Dropped() const { return dropped_; }

private:
  // Token bucket with a capacity of one second's lines.
  struct LineRateLimiter
  {
    double tokens_ = 0;
    Instant refilledAt_{ 0 };

    bool Take(Instant aNow, double aPerSecond);
  };

  void Append(Instant aNow, Event aEvent, std::string_view aDetail);
  void ReportDropped(Instant aNow);

  int descriptor_;
  std::string instance_;
  LineLogLimits limits_;
  // Indexed by line class: successful requests, failed requests, faulty responses, state changes.
  std::array<LineRateLimiter, 4> rateLimiters_;
  std::array<std::uint64_t, 1000> counts_{};
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reportedDropped_ = 0;
  Instant nextDropReport_{ 0 };
};

} // namespace latchslip
