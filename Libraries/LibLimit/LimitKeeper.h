#pragma once

#include "LibGateway/CallerGroup.h"
#include "LibLimit/GroupUse.h"

#include <map>
#include <string>
#include <vector>

namespace latchslip {

// Counts for all instances what each group with a limit asks for and is let through, and
// finds the part of it that each instance is to let through, so that all together keep the
// limit. The part is the same everywhere, as the balancer deals callers out unevenly and
// nobody needs to know how. It does no I/O.
class LimitKeeper
{
public:
  // A limit that is lowered takes hold so long after the configuration, so that callers can
  // keep to it.
  explicit LimitKeeper(Duration aWindow)
    : window_(aWindow)
  {
  }

  void SetGroups(Instant aNow, const std::vector<CallerGroup>& aGroups);
  // What an instance told.
  void OnUses(Instant aNow, const GroupUses& aUses);
  // An instance was heard, with or without uses.
  void OnHeard(Instant aNow, const std::string& aAddress) { heard_[aAddress] = aNow; }

  // The parts of these groups.
  GroupParts PartsOf(Instant aNow, const GroupUses& aUses);
  // The parts that all instances must be told now: of the groups that ask for more than
  // they may have, and of those that have just ceased to.
  GroupParts TakeShort(Instant aNow);

private:
  struct Tally
  {
    CallerGroup group_;
    // The terms before they were lowered, and until when they hold.
    CallerGroup former_;
    Instant formerUntil_ = Instant::min();
    // What may still be let through; below zero when it was too much.
    double level_ = 0;
    // Requests that came, of which those of a second ago count a third.
    double asked_ = 0;
    double askedLate_ = 0;
    Instant at_ = Instant::min();
    bool isShort_ = false;
  };

  static const CallerGroup& TermsOf(Instant aNow, const Tally& aTally);
  // The requests a second that those instances which are heard may let through together.
  double RateOf(Instant aNow, const Tally& aTally) const;
  void Advance(Instant aNow, Tally& aTally) const;
  GroupPart PartOf(Instant aNow, Tally& aTally);
  // Of all that were heard lately, the part that is heard now. The others may be cut off,
  // and let an equal part of the limits through.
  void CountHeard(Instant aNow);

  Duration window_;
  std::map<std::string, Tally, std::less<>> tallies_;
  std::map<std::string, Instant> heard_;
  double heardPart_ = 1;
  Instant nextCount_ = Instant::min();
  Instant nextShort_ = Instant::min();
};

} // namespace latchslip
