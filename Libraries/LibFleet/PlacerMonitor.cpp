#include "LibFleet/PlacerMonitor.h"

#include "LibStore/StoreEpoch.h"

namespace latchslip {

namespace {

// The longest time without an answer before the store is polled again. Together with the time that
// a placer needs to detect an outage, it is within the two seconds after which a leaving server
// must get no new work.
constexpr Duration kAnswerLifetime = milliseconds(1500);

// Updates and responses to reports are sent separately: for this long after a response, the updates
// that it refers to may still be in transit.
constexpr Duration kUpdateTransitTime = milliseconds(400);

} // namespace

void
PlacerMonitor::OnAnswer(Instant aNow,
                        const TableVersions& aLastChanges,
                        const TableVersions& aKnown)
{
  const bool wasReliable = IsReliable(aNow, aKnown);
  isAnswered_ = true;
  fault_ = PlacerFault::None;
  answeredAt_ = aNow;
  lastChanges_ = aLastChanges;
  isCatchingUp_ = wasReliable && IsBehind(aKnown, aLastChanges);
}

void
PlacerMonitor::OnFailure(PlacerFault aReason)
{
  fault_ = aReason;
  isAnswered_ = false;
  isCatchingUp_ = false;
}

bool
PlacerMonitor::IsReliable(Instant aNow, const TableVersions& aKnown) const
{
  if (!isAnswered_ || aNow - answeredAt_ >= kAnswerLifetime) {
    return false;
  }
  const bool mayCatchUp = isCatchingUp_ && aNow - answeredAt_ < kUpdateTransitTime;
  return mayCatchUp || !IsBehind(aKnown, lastChanges_);
}

std::string
PlacerMonitor::Describe(Instant aNow, const TableVersions& aKnown) const
{
  const auto list = [](const TableVersions& aVersions) {
    std::string text;
    for (const auto version : aVersions) {
      text += (text.empty() ? "" : ",") + DescribeVersion(version);
    }
    return text;
  };
  return "relay_end=" + std::string(kPlacerFaultNames.NameOf(fault_)) +
         " answer_age_us=" + std::to_string((aNow - answeredAt_).count()) +
         " named=" + list(lastChanges_) + " known=" + list(aKnown);
}

bool
PlacerMonitor::IsBehind(const TableVersions& aKnown, const TableVersions& aLastChanges)
{
  for (std::size_t index = 0; index < kFleetTables; ++index) {
    if (aKnown.at(index) < aLastChanges.at(index)) {
      return true;
    }
  }
  return false;
}

} // namespace latchslip
