#pragma once

#include "LibBase/Time.h"
#include "LibFleet/FleetStore.h"

namespace latchslip {

// Decides whether this instance can rely on the placer to tell it what changes
// in the store's tables. It can while the placer answers each report in time,
// says that it reaches the store, and has told all it knows.
class RelayWatch
{
public:
  // An answer of a placer that reaches the store, with its versions.
  void OnAnswer(Instant aNow, const TableVersions& aVersions);
  // A report was not answered, or by one that does not reach the store; or the
  // placer is another one now.
  void OnFailure();

  // Whether aKnown is as new as the placer's copy was a short time ago.
  bool IsRelayed(Instant aNow, const TableVersions& aKnown) const;
  // Whether the placer knows more.
  bool IsBehind(const TableVersions& aKnown) const;

private:
  bool isAnswered_ = false;
  Instant answeredAt_{ 0 };
  TableVersions versions_{};
};

} // namespace latchslip
