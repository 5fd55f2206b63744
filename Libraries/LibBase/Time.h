#pragma once

#include <chrono>

namespace latchslip {

// A time span in microseconds.
using Duration = std::chrono::microseconds;

// A time on the monotonic clock of one machine, in microseconds since an arbitrary origin.
// Instants of different machines must not be compared.
using Instant = std::chrono::microseconds;

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Converts to seconds, with fractions.
constexpr double
ToSeconds(Duration aTime)
{
  constexpr double kMicrosecond = 1e-6;
  return static_cast<double>(aTime.count()) * kMicrosecond;
}

// Converts to milliseconds, with fractions.
constexpr double
ToMilliseconds(Duration aTime)
{
  constexpr double kMillisecond = 1000;
  return static_cast<double>(aTime.count()) / kMillisecond;
}

// Multiplies a time span by a factor; truncates to whole microseconds.
constexpr Duration
Scale(Duration aTime, double aFactor)
{
  return Duration(static_cast<Duration::rep>(static_cast<double>(aTime.count()) * aFactor));
}

// Exponential moving average: adds a sample with the given weight. The first sample becomes
// the mean; a mean of 0 counts as no mean.
constexpr Duration
ExponentialAverage(Duration aMean, Duration aSample, double aWeight)
{
  return aMean == Duration(0) ? aSample : aMean + Scale(aSample - aMean, aWeight);
}

} // namespace latchslip
