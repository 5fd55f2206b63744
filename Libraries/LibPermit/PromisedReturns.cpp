// Promised returns of denied requests in PermitDispatcher.

#include "LibPermit/PermitDispatcher.h"

namespace latchslip {

bool
PermitDispatcher::CanPromise(const Service& aService, const PermitRequest& aRequest) const
{
  const bool isListed = aRequest.server_.empty() || aService.servers_.contains(aRequest.server_);
  // A suspect waits for its turn, not for capacity.
  return usesLoadManagement_ && isListed && !suspects_.IsSuspect(aRequest.fingerprint_);
}

bool
PermitDispatcher::RecognizeReturn(Instant aNow,
                                  const Service& aService,
                                  const PermitRequest& aRequest)
{
  if (!CanPromise(aService, aRequest)) {
    return false;
  }
  return returns_.Redeem(aNow, { aRequest.service_, aRequest.server_ }, aRequest.fingerprint_);
}

void
PermitDispatcher::CountNewRequest(Instant aNow,
                                  const Service& aService,
                                  const PermitRequest& aRequest)
{
  if (CanPromise(aService, aRequest)) {
    returns_.OnNewRequest(aNow, { aRequest.service_, aRequest.server_ }, aRequest.priority_);
  }
}

double
PermitDispatcher::ExpectedThroughput(Instant aNow,
                                     const Service& aService,
                                     const std::string& aServer)
{
  const auto defaultWork = aService.DefaultWork();
  if (!aServer.empty()) {
    const auto server = aService.servers_.find(aServer);
    return server == aService.servers_.end() ? 0 : server->second.Throughput(aNow, defaultWork);
  }
  double throughput = 0;
  for (const auto& [id, server] : aService.servers_) {
    // No sends are reported here for the servers of other dispatchers.
    const bool isOthers = aService.hasShards_ && server.IsStale(aNow);
    throughput += isOthers ? 0 : server.Throughput(aNow, defaultWork);
  }
  return throughput;
}

void
PermitDispatcher::SendDenial(Instant aNow,
                             const Service& aService,
                             PermitKey aKey,
                             const PermitRequest& aRequest,
                             const Position& aPosition)
{
  ReturnAnswer answer{ ExpectedWait(aNow, aService, aRequest, aPosition), false };
  if (aPosition.isReturn_) {
    returns_.OnDeniedAgain();
  }
  const double throughput =
    CanPromise(aService, aRequest) ? ExpectedThroughput(aNow, aService, aRequest.server_) : 0;
  // Without any throughput, a server is suspended or leaving; the wait then says for how long.
  if (throughput > 0) {
    answer = returns_.Deny(aNow,
                           { aRequest.service_, aRequest.server_ },
                           { aRequest.fingerprint_,
                             aRequest.priority_,
                             aRequest.inTime_,
                             aRequest.timeLeft_,
                             ExpectedWork(aNow, aService, aRequest),
                             throughput,
                             answer.wait_ });
  }
  actions_.Answer(aKey.first, PermitDenial{ aKey.second, answer.wait_, answer.isPromised_ });
}

} // namespace latchslip
