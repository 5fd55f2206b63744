#pragma once

#include "LibBase/Time.h"
#include "LibFleet/FleetUpdate.h"
#include "LibFleet/UpdateTree.h"

#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace latchslip {

// Polls the readers of a large fleet on behalf of an instance whose placer cannot be relied on, and
// decides whether that instance can do without polling the store itself. Without it all 295
// instances of a fleet ask the store about three times a second at the moment when the placer, or
// the store, is in trouble; with it two of each hall do. It does no I/O.
class ReaderPoller
{
public:
  // The placer can be relied on again; polling ends.
  void OnPlacerReliable() { isPolling_ = false; }
  // The placer cannot be relied on; polling starts, unless it is under way.
  void OnPlacerUnreliable(Instant aNow);
  // A reader answered with an update and whether it reaches the store; NotPolling also stands for a
  // request without an answer.
  void OnAnswer(Instant aNow, const std::string& aReader, StoreReachability aReachability);

  // Whether the readers can be relied on at present.
  bool AreReadersReliable(Instant aNow) const { return isPolling_ && aNow < reliableUntil_; }
  // Whether a request to a reader is due.
  bool IsRequestDue(Instant aNow) const { return isPolling_ && aNow >= nextRequestAt_; }
  // The address of the reader to ask; no value if no request is due or there is no reader. aReaders
  // lists those of the own hall first.
  std::optional<std::string> NextReader(Instant aNow,
                                        const std::vector<FleetPeer>& aReaders,
                                        std::minstd_rand& aRandom);

private:
  bool isPolling_ = false;
  // The last reader that reached the store, which is asked again; empty if there is none.
  std::string reachableReader_;
  // Readers that were asked since and did not reach the store, or did not answer.
  std::set<std::string> failedReaders_;
  // Consecutive answers of readers that could not reach the store.
  unsigned storelessAnswers_ = 0;
  Instant reliableUntil_ = Instant::min();
  Instant nextRequestAt_ = Instant::min();
};

} // namespace latchslip
