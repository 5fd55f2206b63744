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
  // How much it can do compared with the others.
  double weight_ = 1;
  // It lives, is not leaving, and may get keys.
  bool isUsable_ = false;
  // Tells its lives apart; 0 when that is not known. Another life holds nothing.
  std::uint64_t life_ = 0;
};

// The server of that id if it is usable, or nothing.
const KeyServer*
FindUsable(const std::vector<KeyServer>& aServers, const std::string& aId);

} // namespace latchslip
