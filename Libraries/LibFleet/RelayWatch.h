#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"
#include "LibFleet/FleetStore.h"

#include <string>

namespace latchslip {

// Why the placer is not relied on.
enum class RelayEnd
{
  None,
  // It has not answered, or says that it is not the placer or has lost the store.
  NoAnswer,
  SlowAnswer,
  // It said that it will tell nothing more for now.
  Announced,
  // Some of its news did not arrive.
  NewsMissed,
  // Another instance is the placer now.
  PlacerChanged,
};

inline constexpr NameTable<RelayEnd, 6> kRelayEndNames{
  { "none", "no-answer", "slow-answer", "announced", "news-missed", "placer-changed" }
};

// Decides whether this instance can rely on the placer to tell it what changes
// in the store's tables. It can while the placer answers each report in time,
// says that it reaches the store, and has told all it knows, or what is missing
// may still be on its way. It does no I/O.
class RelayWatch
{
public:
  // An answer in time of a placer that reaches the store, with the last changes that
  // it knows.
  void OnAnswer(Instant aNow, const TableVersions& aLastChanges, const TableVersions& aKnown);
  void OnFailure(RelayEnd aReason);

  // Whether the placer can be relied on by whoever has these versions.
  bool IsRelayed(Instant aNow, const TableVersions& aKnown) const;

  // What decides, for the log: what the last answer named, its age, and whether it
  // is still relied on.
  std::string Describe(Instant aNow, const TableVersions& aKnown) const;

private:
  // Whether any table of aKnown is older than its last change.
  static bool IsBehind(const TableVersions& aKnown, const TableVersions& aLastChanges);

  // For the log; None while isAnswered_.
  RelayEnd end_ = RelayEnd::NoAnswer;
  // The last report was answered by a placer that reaches the store.
  bool isAnswered_ = false;
  // The news had not all arrived at the last answer, though they had before.
  bool isCatchingUp_ = false;
  Instant answeredAt_{ 0 };
  // The last changes that the placer knew when it answered.
  TableVersions lastChanges_{};
};

} // namespace latchslip
