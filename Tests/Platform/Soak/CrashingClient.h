#pragma once

#include "SoakEnvironment.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace latchslip::platform {

// A client that repeats, at any instance, two requests that crash each server that runs them: one
// with a key and one without. Checks that they are held back, by what the servers have seen.
class CrashingClient
{
public:
  CrashingClient(SoakEnvironment& aEnvironment, std::uint32_t aSeed);

  // Sends both requests from time to time, until Stop().
  void Start();
  // Reports a violation if either of them was sent too often after its third crash.
  void Stop();

private:
  // One of the two requests, with all its repetitions.
  struct Repeated
  {
    bool isBooking_ = false;
    std::string path_;
    // By request id, whether the instance was undisturbed when it got the request.
    std::map<std::string, bool> sent_;
  };

  void SendNext();
  void Send(Repeated& aRequest, SoakEnvironment::Instance& aInstance);
  // Records which instances are disturbed now.
  void ObserveInstances();
  void Check(const Repeated& aRequest) const;

  SoakEnvironment& environment_;
  std::minstd_rand random_;
  std::vector<Repeated> requests_;
  // When each run of an instance was last disturbed, or first seen.
  std::map<std::string, Instant> disturbedAt_;
  bool isRunning_ = false;
};

} // namespace latchslip::platform
