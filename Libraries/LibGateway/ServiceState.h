#pragma once

#include "LibGateway/Messages.h"
#include "LibGateway/QueuePosition.h"
#include "LibGateway/RetryBudget.h"
#include "LibGateway/ServerDirectory.h"
#include "LibGateway/ServerLoad.h"

#include <set>
#include <utility>
#include <vector>

namespace latchslip {

// A server that may get a request, with its load as this instance sees it.
struct ServerCandidate
{
  const ServerRecord* record_;
  ServerLoad* load_;
};

// One instance's state of a service that it routes to.
struct ServiceState
{
  explicit ServiceState(RetryBudgetParameters aParameters)
    : budget_(aParameters)
  {
  }

  std::vector<ServerCandidate> servers_;
  RetryBudget budget_;
  // The requests that wait to be sent.
  std::set<QueuePosition<RequestNumber>> queue_;
};

// Expected latency of a server that has not answered yet: the mean over the other servers.
Duration
TypicalLatency(const std::vector<ServerCandidate>& aServers);

} // namespace latchslip
