#pragma once

#include "LibGateway/Messages.h"
#include "LibGateway/RetryBudget.h"
#include "LibGateway/ServerDirectory.h"
#include "LibGateway/ServerLoad.h"

#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace latchslip {

// A server that may get a request, and what this instance has seen of it.
struct ServerCandidate
{
  const ServerRecord* record_;
  ServerLoad* load_;
};

// The place of a waiting request: the more urgent first, then those whose answers may
// still be in time, then those with less time left.
struct QueuePlace
{
  unsigned priority_;
  bool isLate_;
  Instant deadline_;
  RequestNumber number_;

  bool operator<(const QueuePlace& aOther) const
  {
    return std::tie(priority_, isLate_, deadline_, number_) <
           std::tie(aOther.priority_, aOther.isLate_, aOther.deadline_, aOther.number_);
  }
};

// What one instance knows of a service that it routes to.
struct ServiceState
{
  explicit ServiceState(RetryBudgetTerms aTerms)
    : budget_(aTerms)
  {
  }

  std::vector<ServerCandidate> servers_;
  RetryBudget budget_;
  // The requests that wait to be sent.
  std::set<QueuePlace> queue_;
};

// What is expected of a server that has not answered yet: the mean of the others.
Duration
TypicalLatency(const std::vector<ServerCandidate>& aServers);

} // namespace latchslip
