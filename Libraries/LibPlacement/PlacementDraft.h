#pragma once

#include "LibBase/Event.h"
#include "LibBase/Time.h"
#include "LibConfig/Declaration.h"
#include "LibMembership/Membership.h"
#include "LibPlacement/Placement.h"
#include "LibStore/Row.h"

#include <string>
#include <vector>

namespace latchslip {

// A decision of a proposal, as it is written to the log.
struct PlacementDecision
{
  Event event_;
  std::string detail_;
};

// Working state while a proposal is computed: the inputs, the next placement, and the
// decisions made so far.
struct PlacementDraft
{
  Instant now_;
  const ServiceDeclaration& service_;
  PlacementProfile profile_;
  RowVersion version_;
  const Membership& membership_;
  Placement next_;
  std::vector<PlacementDecision> decisions_{};
  std::vector<std::string> lostServers_{};

  // Records a decision for the log.
  void AddDecision(Event aEvent, std::string aDetail)
  {
    decisions_.push_back({ aEvent, std::move(aDetail) });
  }

  std::vector<ServerIndex> ActiveServers() const
  {
    std::vector<ServerIndex> active;
    for (ServerIndex index = 0; index < next_.servers_.size(); ++index) {
      if (next_.servers_[index].state_ == PlacedState::Active) {
        active.push_back(index);
      }
    }
    return active;
  }
};

} // namespace latchslip
