#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
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

// The listed servers of a service, usable or not, in the order given, with an index by id. Cannot
// be copied, because the index refers to the ids.
class KeyServers
{
public:
  KeyServers() = default;
  // Not explicit: a list of servers is a set of them.
  KeyServers(std::vector<KeyServer> aServers);
  ~KeyServers() = default;
  KeyServers(KeyServers&&) = default;
  KeyServers& operator=(KeyServers&&) = default;
  KeyServers(const KeyServers&) = delete;
  KeyServers& operator=(const KeyServers&) = delete;

  // The server with that id; null when it is not listed or not usable.
  const KeyServer* FindUsable(std::string_view aId) const;

  const std::vector<KeyServer>& All() const { return servers_; }

private:
  std::vector<KeyServer> servers_;
  // Positions in servers_ by id.
  std::unordered_map<std::string_view, std::size_t> positions_;
};

} // namespace latchslip
