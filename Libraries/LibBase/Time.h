#pragma once

#include <chrono>

namespace latchslip {

// A span of time in microseconds.
using Duration = std::chrono::microseconds;

// A moment on the monotonic clock of one machine, in microseconds since an
// arbitrary origin. Instants of two machines are never compared.
using Instant = std::chrono::microseconds;

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// In seconds, with fractions.
constexpr double
ToSeconds(Duration aTime)
{
  constexpr double kMicrosecond = 1e-6;
  return static_cast<double>(aTime.count()) * kMicrosecond;
}

// In milliseconds, with fractions.
constexpr double
ToMilliseconds(Duration aTime)
{
  constexpr double kMillisecond = 1000;
  return static_cast<double>(aTime.count()) / kMillisecond;
}

// A span of time that is aFactor times as long, in whole microseconds.
constexpr Duration
Scale(Duration aTime, double aFactor)
{
  return Duration(static_cast<Duration::rep>(static_cast<double>(aTime.count()) * aFactor));
}

// A mean in which a new sample has that weight; the first sample is the mean. Zero for a
// mean of nothing.
constexpr Duration
Blend(Duration aMean, Duration aSample, double aWeight)
{
  return aMean == Duration(0) ? aSample : aMean + Scale(aSample - aMean, aWeight);
}

} // namespace latchslip
