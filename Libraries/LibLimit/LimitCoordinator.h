#pragma once

#include "LibGateway/CallerGroup.h"
#include "LibLimit/GroupUsage.h"

#include <map>
#include <string>
#include <vector>

namespace latchslip {

// Enforces the rate limits of groups over all instances. Collects the requests and admissions of
// each limited group, and computes the fraction of its requests that each instance may admit, so
// that all together keep the limit. The fraction is the same on all instances, so the coordinator
// need not know how the balancer distributes callers, which is uneven. Does no I/O.
class LimitCoordinator
{
public:
  // A lowered limit takes effect aWindow after its configuration, so that callers can adapt to
  // it.
  explicit LimitCoordinator(Duration aWindow)
    : window_(aWindow)
  {
  }

  // Applies the configured groups; keeps the counters of those that remain.
  void SetGroups(Instant aNow, const std::vector<CallerGroup>& aGroups);
  // Processes the usage that an instance reported.
  void OnUsage(Instant aNow, const GroupUsages& aUsages);
  // Notes contact with an instance, with or without reported usage.
  void OnInstanceContact(Instant aNow, const std::string& aAddress)
  {
    lastContact_[aAddress] = aNow;
  }

  // The admitted shares of the groups in aUsages.
  AdmittedShares AdmittedSharesOf(Instant aNow, const GroupUsages& aUsages);
  // The admitted shares to send to all instances now: of the groups above their limits, and of
  // those that have just ceased to be. Empty if the last ones were sent too recently.
  AdmittedShares TakeRestrictedShares(Instant aNow);

private:
  struct GroupState
  {
    CallerGroup group_;
    // The limits before they were lowered, and the time until which they hold.
    CallerGroup previous_;
    Instant previousUntil_ = Instant::min();
    // Tokens left: requests that may still be admitted; negative after over-admission.
    double tokens_ = 0;
    // Decaying counts of requests; those of a second ago count a third.
    double requests_ = 0;
    double lateRequests_ = 0;
    Instant at_ = Instant::min();
    bool isRestricted_ = false;
  };

  static const CallerGroup& LimitsOf(Instant aNow, const GroupState& aState);
  // Requests per second that the reachable instances may admit together.
  double RateOf(Instant aNow, const GroupState& aState) const;
  // Refills the tokens and decays the counts up to aNow.
  void Advance(Instant aNow, GroupState& aState) const;
  AdmittedShare AdmittedShareOf(Instant aNow, GroupState& aState);
  // Updates the fraction of recently known instances that are reachable now. The others may be
  // partitioned, and each admits an equal share of the limits.
  void UpdateReachableFraction(Instant aNow);

  Duration window_;
  std::map<std::string, GroupState, std::less<>> groups_;
  std::map<std::string, Instant> lastContact_;
  double reachableFraction_ = 1;
  Instant nextReachabilityUpdate_ = Instant::min();
  Instant nextDistribution_ = Instant::min();
};

} // namespace latchslip
