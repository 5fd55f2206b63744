#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"
#include "LibFleet/FleetStore.h"

#include <string>

namespace latchslip {

// Why the placer cannot be relied on for updates.
enum class PlacerFault
{
  None,
  // The placer did not answer, is not the placer or cannot reach the store.
  NoAnswer,
  // The placer's answer took too long.
  SlowAnswer,
  // The placer announced that it pauses its updates.
  UpdatesPaused,
  // Some of the placer's updates did not arrive.
  UpdateMissed,
  // Another instance has become the placer.
  PlacerChanged,
};

inline constexpr NameTable<PlacerFault, 6> kPlacerFaultNames{
  { "none", "no-answer", "slow-answer", "announced", "news-missed", "placer-changed" }
};

// Decides whether this instance can rely on the placer for changes of the store's tables, so that
// it need not poll the store. It can while the placer answers each report in time, reaches the
// store, and has no later changes than this instance, or those may still be in transit. It does no
// I/O.
class PlacerMonitor
{
public:
  // A timely answer of a placer that reaches the store; aLastChanges are the last changes that the
  // placer has, aKnown those of this instance.
  void OnAnswer(Instant aNow, const TableVersions& aLastChanges, const TableVersions& aKnown);
  // The placer cannot be relied on until its next timely answer.
  void OnFailure(PlacerFault aReason);

  // Whether an instance with these versions can rely on the placer.
  bool IsReliable(Instant aNow, const TableVersions& aKnown) const;

  // The reasons for the decision as a log text: the last fault, the age and the versions of the
  // last answer, and the known versions.
  std::string Describe(Instant aNow, const TableVersions& aKnown) const;

private:
  // Whether any table of aKnown is older than its last change.
  static bool IsBehind(const TableVersions& aKnown, const TableVersions& aLastChanges);

  // The last fault, for the log; None while isAnswered_.
  PlacerFault fault_ = PlacerFault::NoAnswer;
  // Whether the last report was answered by a placer that reaches the store.
  bool isAnswered_ = false;
  // Whether updates were missing at the last answer, though none were missing before it.
  bool isCatchingUp_ = false;
  Instant answeredAt_{ 0 };
  // The last changes that the placer had when it answered.
  TableVersions lastChanges_{};
};

} // namespace latchslip
