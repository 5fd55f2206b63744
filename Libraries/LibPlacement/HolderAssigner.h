#pragma once

#include "LibPlacement/PlacementDraft.h"
#include "LibPlacement/ServerReport.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace latchslip {

// Decides which instance holds each server of one service, and from when the
// former holders have certainly stopped. Pure decisions.
class HolderAssigner
{
public:
  // The newest report of a server's present holder, if there is one.
  using ReportFunction = std::function<const ServerReport*(const PlacedServer&)>;

  // aGrantTail: how long after a former holder is gone its last grant may still
  // be valid.
  explicit HolderAssigner(Duration aGrantTail)
    : grantTail_(aGrantTail)
  {
  }

  // A former holder says that it has nothing in flight at the server.
  void OnStopped(const std::string& aServer, const InstanceId& aHolder);

  // Gives servers whose holder is lost or leaving to others.
  void Assign(PlacementDraft& aDraft);
  // Strikes off the former holders that can give no orders any more.
  void Settle(PlacementDraft& aDraft, const ReportFunction& aReportOf);
  // Hands one server over when one instance holds more than its share.
  void EvenOut(PlacementDraft& aDraft);

  // Whether no grant of any former holder of the server can be valid.
  bool AreFormerGrantsOver(Instant aNow, const PlacedServer& aServer) const;

  void Forget();

private:
  void GiveTo(PlacementDraft& aDraft, PlacedServer& aServer, const InstanceId& aHolder);

  Duration grantTail_;
  // Former holders that said they have stopped, by server.
  std::map<std::string, std::set<std::string>> stopped_;
  // Since when no former holder of a server can have renewed its grant.
  std::map<std::string, Instant> goneSince_;
};

} // namespace latchslip
