#pragma once

#include "LibBase/Time.h"
#include "LibFleet/FleetStore.h"

namespace latchslip {

// Decides whether this instance can rely on the placer to tell it what changes
// in the store's tables. It can while the placer answers each report in time,
// says that it reaches the store, and has told all it knows, or what is missing
// may still be on its way. It does no I/O.
class RelayWatch
{
public:
  // An answer of a placer that reaches the store, with the last changes that it
  // knows.
  void OnAnswer(Instant aNow, const TableVersions& aLastChanges, const TableVersions& aKnown);
  // A report was not answered, or by one that does not reach the store; or the
  // placer is another one now, or some of its news did not arrive.
  void OnFailure();

  // Whether the placer can be relied on by whoever has these versions.
  bool IsRelayed(Instant aNow, const TableVersions& aKnown) const;

private:
  // Whether any table of aKnown is older than its last change.
  static bool IsBehind(const TableVersions& aKnown, const TableVersions& aLastChanges);

  // The last report was answered by a placer that reaches the store.
  bool isAnswered_ = false;
  // The news had not all arrived at the last answer, though they had before.
  bool isCatchingUp_ = false;
  Instant answeredAt_{ 0 };
  // The last changes that the placer knew when it answered.
  TableVersions lastChanges_{};
};

} // namespace latchslip
