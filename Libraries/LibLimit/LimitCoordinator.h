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
  void OnUsage(Instant aNow, const GroupUsages& aUses);
  // Notes contact with an instance, with or without reported usage.
  void OnInstanceContact(Instant aNow, const std::string& aAddress) { heard_[aAddress] = aNow; }

  // The admitted shares of the groups in aUses.
  AdmittedShares AdmittedSharesOf(Instant aNow, const GroupUsages& aUses);
  // The admitted shares to send to all instances now: of the groups above their limits, and of
  // those that have just ceased to be. Empty if the last ones were sent too recently.
  AdmittedShares TakeRestrictedShares(Instant aNow);

private:
  struct Tally
  {
    CallerGroup group_;
    // The limits before they were lowered, and the time until which they hold.
    CallerGroup former_;
    Instant formerUntil_ = Instant::min();
    // Tokens left: requests that may still be admitted; negative after over-admission.
    double level_ = 0;
    // Decaying counts of requests; those of a second ago count a third.
    double asked_ = 0;
    double askedLate_ = 0;
    Instant at_ = Instant::min();
    bool isShort_ = false;
  };

  static const CallerGroup& TermsOf(Instant aNow, const Tally& aTally);
  // Requests per second that the reachable instances may admit together.
  double RateOf(Instant aNow, const Tally& aTally) const;
  // Refills the tokens and decays the counts up to aNow.
  void Advance(Instant aNow, Tally& aTally) const;
  AdmittedShare PartOf(Instant aNow, Tally& aTally);
  // Updates the fraction of recently known instances that are reachable now. The others may be
  // partitioned, and each admits an equal share of the limits.
  void CountHeard(Instant aNow);

  Duration window_;
  std::map<std::string, Tally, std::less<>> tallies_;
  std::map<std::string, Instant> heard_;
  double heardPart_ = 1;
  Instant nextCount_ = Instant::min();
  Instant nextShort_ = Instant::min();
};

} // namespace latchslip
