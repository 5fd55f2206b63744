#pragma once

#include <string>
#include <vector>

namespace latchslip {

// A group of callers, as the configuration names it. Its callers show one of its API keys
// with each request.
struct CallerGroup
{
  std::string name_;
  std::vector<std::string> apiKeys_;
  // 0 is the most urgent; goes before the priority of a route.
  unsigned priority_ = 0;
  // Requests a second that all instances together let through; 0 for any number.
  double rate_ = 0;
  // Requests beyond the rate that may come at once.
  double burst_ = 0;

  bool IsLimited() const { return rate_ > 0; }
};

} // namespace latchslip
