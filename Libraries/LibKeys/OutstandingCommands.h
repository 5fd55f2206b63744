#pragma once

#include "LibKeys/KeyCommand.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace latchslip {

// Tracks the outstanding commands of one placer and limits their number, in total and per server.
class OutstandingCommands
{
public:
  // Drops all commands; their results will be ignored. Command numbers are not reused.
  void Clear();

  // Registers a command that is about to be sent, and returns it with its number set.
  KeyCommand Add(KeyCommand aCommand);
  // Removes a command that has ended and returns it; no value when it is not outstanding.
  std::optional<KeyCommand> Take(CommandNumber aCommand, CommandStatus aStatus);

  // Whether another command may be sent to the server now.
  bool CanSendTo(const std::string& aServer) const;
  bool HasCommandTo(const std::string& aServer) const
  {
    return commandsPerServer_.contains(aServer);
  }
  // Whether a grant of any of these keys to the server is outstanding.
  bool HasGrantTo(const std::string& aServer, KeySpan aKeys) const;

private:
  std::map<CommandNumber, KeyCommand> commands_;
  // Number of outstanding commands per server.
  std::map<std::string, std::size_t> commandsPerServer_;
  // Servers that did not answer their most recently ended command.
  std::set<std::string> unresponsive_;
  CommandNumber lastNumber_ = 0;
};

} // namespace latchslip
