#include "LibKeys/OutstandingCommands.h"

#include <algorithm>

namespace latchslip {

namespace {

// Maximum number of outstanding commands. Each uses a connection of its own, and an instance must
// reserve most of its file descriptors (4,100 at the least) for clients. When many servers leave at
// once, their keys have no owner until these commands complete, and each takes as long as the
// server's remaining work on the keys.
constexpr std::size_t kMaxCommands = 384;
// Limit per server; equals the number of ranges that one rebalancing round takes from a server.
constexpr std::size_t kMaxCommandsPerServer = 64;
// Limit for a server that did not answer its last command, so that many such servers do not use up
// the total limit.
constexpr std::size_t kMaxCommandsUnresponsive = 2;

} // namespace

void
OutstandingCommands::Clear()
{
  commands_.clear();
  commandsPerServer_.clear();
  unresponsive_.clear();
}

KeyCommand
OutstandingCommands::Add(KeyCommand aCommand)
{
  aCommand.number_ = ++lastNumber_;
  ++commandsPerServer_[aCommand.server_];
  commands_[aCommand.number_] = aCommand;
  return aCommand;
}

std::optional<KeyCommand>
OutstandingCommands::Take(CommandNumber aCommand, CommandStatus aStatus)
{
  const auto found = commands_.find(aCommand);
  if (found == commands_.end()) {
    return std::nullopt;
  }
  auto command = std::move(found->second);
  commands_.erase(found);
  if (--commandsPerServer_.at(command.server_) == 0) {
    commandsPerServer_.erase(command.server_);
  }
  if (aStatus == CommandStatus::Unanswered || aStatus == CommandStatus::NotSent) {
    unresponsive_.insert(command.server_);
  } else {
    unresponsive_.erase(command.server_);
  }
  return command;
}

bool
OutstandingCommands::CanSendTo(const std::string& aServer) const
{
  if (commands_.size() >= kMaxCommands) {
    return false;
  }
  const auto count = commandsPerServer_.find(aServer);
  const auto limit =
    unresponsive_.contains(aServer) ? kMaxCommandsUnresponsive : kMaxCommandsPerServer;
  return count == commandsPerServer_.end() || count->second < limit;
}

bool
OutstandingCommands::HasGrantTo(const std::string& aServer, KeySpan aKeys) const
{
  return std::any_of(commands_.begin(), commands_.end(), [&](const auto& aEntry) {
    const auto& command = aEntry.second;
    return command.server_ == aServer && !command.isRelease_ && command.Span().Overlaps(aKeys);
  });
}

} // namespace latchslip
