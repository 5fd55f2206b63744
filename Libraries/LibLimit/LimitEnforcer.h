#pragma once

#include "LibGateway/GroupAdmission.h"
#include "LibLimit/GroupUsage.h"

#include <map>
#include <string>

namespace latchslip {

// Enforces the rate limits of groups at one instance. It reports usage to the coordinator, which
// counts the requests of all instances, and admits the share that the coordinator returns. While
// the coordinator is unreachable it admits an equal share of the limit for each instance. Does no
// I/O.
class LimitEnforcer : public GroupAdmission
{
public:
  bool TryAdmit(Instant aNow, const CallerGroup& aGroup, bool aIsLate) override;

  // Whether there is usage to report and the report interval has passed.
  bool IsReportDue(Instant aNow) const;
  // Returns and resets the usage since the last call.
  GroupUsages TakeUsage(Instant aNow);

  // Notes contact with the coordinator: groups without an admitted share from it are below their
  // limits.
  void OnCoordinatorContact(Instant aNow) { coordinatorContactAt_ = aNow; }
  // Applies admitted shares from the coordinator.
  void OnAdmittedShares(Instant aNow, const AdmittedShares& aShares);
  // Number of instances in the fleet.
  void SetInstances(std::size_t aInstances) { instances_ = aInstances; }

private:
  struct Meter
  {
    GroupUsage usage_;
    // Tokens left, by the rate that holds at this instance.
    double tokens_ = 0;
    Instant filledAt_ = Instant::min();
    // Whether that rate is the equal share of an instance whose coordinator is unreachable.
    bool isIsolated_ = false;
    AdmittedShare share_;
    Instant shareUntil_ = Instant::min();
    // Credit that the admitted share has accrued towards the next request. It begins with half a
    // request, so that the sum over many instances is rounded neither up nor down.
    double credit_ = 0.5;
    double lateCredit_ = 0.5;
  };

  bool IsCoordinatorReachable(Instant aNow) const;
  static bool TryTakeShare(double aShare, double& aCredit);
  // Takes a token at the rate of all instances together, or at the equal share if aIsIsolated.
  static bool TryTakeToken(Instant aNow,
                           Meter& aMeter,
                           double aRate,
                           double aBurst,
                           bool aIsIsolated);

  std::map<std::string, Meter, std::less<>> meters_;
  std::size_t instances_ = 0;
  Instant coordinatorContactAt_ = Instant::min();
  Instant reportedAt_ = Instant::min();
  bool hasUsage_ = false;
};

} // namespace latchslip
