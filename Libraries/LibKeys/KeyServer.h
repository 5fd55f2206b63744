#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace latchslip {

// A server that may own keys.
struct KeyServer
{
  std::string id_;
  std::string address_;
  // Relative capacity.
  double weight_ = 1;
  // Alive and not leaving, so it may be assigned keys.
  bool isUsable_ = false;
  // Distinguishes the incarnations that run under one id; 0 when unknown. A new incarnation holds
  // none of the keys of the earlier one.
  std::uint64_t incarnation_ = 0;
};

// The server with that id; null when it is not listed or not usable.
const KeyServer*
FindUsable(const std::vector<KeyServer>& aServers, const std::string& aId);

} // namespace latchslip
