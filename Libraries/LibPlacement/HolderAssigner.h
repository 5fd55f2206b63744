#pragma once

#include "LibPlacement/PlacementDraft.h"
#include "LibPlacement/ServerReport.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace latchslip {

// Assigns the servers of one service to the instances that hold them, and tracks when the
// former holders of a server have certainly stopped. Pure decisions without I/O.
class HolderAssigner
{
public:
  // Returns the newest report of a server's current holder, or nullptr.
  using ReportFunction = std::function<const ServerReport*(const PlacedServer&)>;

  // aGrantTail: how long the last grant of a former holder may remain valid after that holder
  // is gone.
  explicit HolderAssigner(Duration aGrantTail)
    : formerGrantTimeout_(aGrantTail)
  {
  }

  // A former holder reports that it has no work in flight at the server.
  void OnStopped(const std::string& aServer, const InstanceId& aHolder);

  // Reassigns the servers whose holder is lost or leaving.
  void Assign(PlacementDraft& aDraft);
  // Removes the former holders that can no longer send a command that the server would obey.
  void RemoveStoppedHolders(PlacementDraft& aDraft, const ReportFunction& aReportOf);
  // Reassigns one server if the numbers of servers held are uneven.
  void BalanceHolders(PlacementDraft& aDraft);

  // Whether every grant of the server's former holders has expired.
  bool AreFormerGrantsExpired(Instant aNow, const PlacedServer& aServer) const;

  // Discards all state; called when the placer role begins or ends.
  void Reset();

private:
  void AssignHolder(PlacementDraft& aDraft, PlacedServer& aServer, const InstanceId& aHolder);

  Duration formerGrantTimeout_;
  // Former holders that have reported that they stopped, by server.
  std::map<std::string, std::set<std::string>> stoppedHolders_;
  // Since when no former holder of a server can have renewed its grant, by server.
  std::map<std::string, Instant> formerHoldersGoneSince_;
};

} // namespace latchslip
