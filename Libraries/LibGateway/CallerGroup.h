#pragma once

#include <string>
#include <vector>

namespace latchslip {

// A group of callers from the configuration, with its API keys, priority and rate limit. A caller
// presents one of the keys with each request.
struct CallerGroup
{
  std::string name_;
  std::vector<std::string> apiKeys_;
  // 0 is the most urgent. Takes precedence over the priority of the route.
  unsigned priority_ = 0;
  // Rate limit in requests per second over all instances together; 0 for no limit.
  double rate_ = 0;
  // Burst size: requests above the rate that are admitted at once.
  double burst_ = 0;

  bool IsLimited() const { return rate_ > 0; }
};

} // namespace latchslip
