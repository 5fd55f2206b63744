#include "LibKeys/KeyServer.h"

#include <algorithm>

namespace latchslip {

const KeyServer*
FindUsable(const std::vector<KeyServer>& aServers, const std::string& aId)
{
  const auto found = std::find_if(aServers.begin(), aServers.end(), [&](const KeyServer& aServer) {
    return aServer.id_ == aId && aServer.isUsable_;
  });
  return found == aServers.end() ? nullptr : &*found;
}

} // namespace latchslip
