#pragma once

#include "LibBase/Time.h"

#include <map>
#include <string>

namespace latchslip {

// Until when each server may hold keys, by all orders that it may carry out.
class HoldBounds
{
public:
  // Begins anew with the servers that may hold keys by late orders, and until when.
  void Start(std::map<std::string, Instant> aDoubts);

  // A server may hold keys until then by an order of this placer.
  void Extend(const std::string& aServer, Instant aUntil);
  // The same by orders of former placers.
  void SetFormer(const std::string& aServer, Instant aUntil);
  // Orders of former placers certainly bind no server after aLatest.
  void LimitFormer(Instant aLatest);
  // The server has acknowledged fences of this placer on all that it owns, so that
  // earlier orders bind it no more and late ones meet a higher fence.
  void ForgetFormer(const std::string& aServer);

  // The latest of all; the beginning of time for a server that has none.
  Instant Of(const std::string& aServer) const;

private:
  using Bounds = std::map<std::string, Instant>;

  // By orders of this placer.
  Bounds own_;
  // By orders of former placers.
  Bounds former_;
  // By orders that were not answered.
  Bounds doubts_;
};

} // namespace latchslip
