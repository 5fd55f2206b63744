#pragma once

#include <algorithm>

namespace latchslip {

// Capacity of an instance for the fleet's duties (placer, dispatcher, reader, relay) in processors:
// its processor share, or less if its network link would be full before that share is busy.
// aLinkMbps is the rate of the link in Mbit/s; 0 if not stated, which limits nothing.
inline double
DutyCapacity(double aProcessorShare, double aLinkMbps)
{
  // Traffic of duties that keeps one processor busy. An instance with more processor than this
  // behind its link answers late although its event loop is idle.
  constexpr double kMbpsPerProcessor = 100;
  return aLinkMbps > 0 ? std::min(aProcessorShare, aLinkMbps / kMbpsPerProcessor) : aProcessorShare;
}

} // namespace latchslip
