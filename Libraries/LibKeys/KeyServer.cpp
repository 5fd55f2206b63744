#include "LibKeys/KeyServer.h"

#include <utility>

namespace latchslip {

KeyServers::KeyServers(std::vector<KeyServer> aServers)
  : servers_(std::move(aServers))
{
  positions_.reserve(servers_.size());
  for (std::size_t position = 0; position < servers_.size(); ++position) {
    positions_.emplace(servers_[position].id_, position);
  }
}

const KeyServer*
KeyServers::FindUsable(std::string_view aId) const
{
  const auto found = positions_.find(aId);
  if (found == positions_.end()) {
    return nullptr;
  }
  const auto& server = servers_[found->second];
  return server.isUsable_ ? &server : nullptr;
}

} // namespace latchslip
