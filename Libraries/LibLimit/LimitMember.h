#pragma once

#include "LibGateway/GroupGate.h"
#include "LibLimit/GroupUse.h"

#include <map>
#include <string>

namespace latchslip {

// Holds the requests of groups to their limits at one instance. It tells the keeper, which
// counts the requests of all instances, what it meets, and lets through the part that the
// keeper names. While the keeper is not heard it lets through what would be an equal part
// of the limit for each instance. It does no I/O.
class LimitMember : public GroupGate
{
public:
  bool TryPass(Instant aNow, const CallerGroup& aGroup, bool aIsLate) override;

  // Whether there is something to tell, and enough time has passed since that was done.
  bool IsTellDue(Instant aNow) const;
  // What was met since the last call.
  GroupUses TakeUses(Instant aNow);

  // The keeper was heard: groups of which it names no part are below their limits.
  void OnKeeperHeard(Instant aNow) { keeperHeardAt_ = aNow; }
  void OnParts(Instant aNow, const GroupParts& aParts);
  // How many instances there are.
  void SetInstances(std::size_t aInstances) { instances_ = aInstances; }

private:
  struct Meter
  {
    GroupUse use_;
    // What may still be let through, by the rate that holds here.
    double tokens_ = 0;
    Instant filledAt_ = Instant::min();
    // Whether that rate is the equal part of a fleet whose keeper is not heard.
    bool isAlone_ = false;
    GroupPart part_;
    Instant partUntil_ = Instant::min();
    // What the part has saved up for the next request; half of one to begin with, so that
    // what many instances let through is neither rounded up nor down.
    double credit_ = 0.5;
    double lateCredit_ = 0.5;
  };

  bool IsKeeperHeard(Instant aNow) const;
  static bool TryTakePart(double aPart, double& aCredit);
  // Of the rate that all instances together may have, or of the equal part.
  static bool TryTakeToken(Instant aNow, Meter& aMeter, double aRate, double aBurst, bool aIsAlone);

  std::map<std::string, Meter, std::less<>> meters_;
  std::size_t instances_ = 0;
  Instant keeperHeardAt_ = Instant::min();
  Instant toldAt_ = Instant::min();
  bool hasUses_ = false;
};

} // namespace latchslip
