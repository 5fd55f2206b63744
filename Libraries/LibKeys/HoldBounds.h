#pragma once

#include "LibBase/Time.h"
#include "LibKeys/KeyOwnership.h"

#include <map>
#include <string>
#include <vector>

namespace latchslip {

// Until when each server may hold keys, by all orders that it may carry out. Of this
// placer's own orders it is known which keys they name: one that was not answered
// keeps these keys waiting for 17 s in place of 5, and not all that its server held. Of
// four servers that fell silent together three had one such grant; requests refused for
// want of an owner fell from 600 a second to 100 to 200 once the other grants had run out
// (refusals in the log, one run each).
class HoldBounds
{
public:
  // Begins anew with the servers that may hold keys by late orders, and until when.
  void Start(std::map<std::string, Instant> aDoubts);

  // A server may hold these keys until then by an order of this placer.
  void Extend(Instant aNow, const std::string& aServer, KeySpan aKeys, Instant aUntil);
  // It may hold any keys until then by orders of former placers.
  void SetFormer(const std::string& aServer, Instant aUntil);
  // Orders of former placers certainly bind no server after aLatest.
  void LimitFormer(Instant aLatest);
  // The server has acknowledged fences of this placer on all that it owns and all that
  // it was to let go of, so that earlier orders bind it no more and late ones meet a
  // higher fence.
  void ForgetFormer(const std::string& aServer);

  // The latest of all that concern any of these keys; the beginning of time when there
  // is none.
  Instant Of(const std::string& aServer, KeySpan aKeys) const;

private:
  using Bounds = std::map<std::string, Instant>;

  struct KeyBound
  {
    KeySpan keys_;
    Instant until_{ 0 };
  };

  // By orders of this placer.
  std::map<std::string, std::vector<KeyBound>> own_;
  // By orders of former placers.
  Bounds former_;
  // By orders that were not answered.
  Bounds doubts_;
};

} // namespace latchslip
