#pragma once

#include "LibBase/Time.h"
#include "LibFleet/FleetNews.h"
#include "LibFleet/NewsTree.h"

#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace latchslip {

// Decides for an instance of a large fleet whose placer cannot be relied on whether it may
// go on without the store: it asks the instances that read the store for all, one after
// the other. Without it all 295 instances of a fleet ask the store about three times a
// second at the moment when the placer, or the store, is in trouble; with it two of each
// hall do. It does no I/O.
class ReaderGuide
{
public:
  // The placer can be relied on again; nobody needs to be asked.
  void OnRelayed() { isAsking_ = false; }
  // The placer cannot be relied on.
  void OnRelayEnded(Instant aNow);
  // A reader told what it knows, and what it sees of the store; None when it was not heard.
  void OnAnswer(Instant aNow, const std::string& aReader, StoreSight aSight);

  // Whether the readers can be relied on.
  bool IsGuided(Instant aNow) const { return isAsking_ && aNow < guidedUntil_; }
  // Whether a reader is to be asked now.
  bool IsDue(Instant aNow) const { return isAsking_ && aNow >= nextAsk_; }
  // Which one, of aReaders, the first of which are the nearest; no value for none.
  std::optional<std::string> Next(Instant aNow,
                                  const std::vector<FleetPeer>& aReaders,
                                  std::minstd_rand& aRandom);

private:
  bool isAsking_ = false;
  // The reader that last told what the store says, which is asked on; empty when there is
  // none.
  std::string heard_;
  // Those that were asked since and did not.
  std::set<std::string> inVain_;
  // Answers in a row of readers without the store.
  unsigned withoutStore_ = 0;
  Instant guidedUntil_ = Instant::min();
  Instant nextAsk_ = Instant::min();
};

} // namespace latchslip
