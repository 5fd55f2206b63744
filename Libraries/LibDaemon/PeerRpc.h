#pragma once

#include "LibBase/LoopTask.h"
#include "LibFleet/FleetMember.h"
#include "LibFleet/UnresponsivePeers.h"
#include "LibFleet/UpdateCache.h"
#include "LibNet/HttpClient.h"
#include "LibNet/HttpServer.h"

#include <memory>
#include <string>
#include <vector>

namespace latchslip {

// HTTP calls between gateway instances, client and server side: reports to the placer, usage
// reports to the limit coordinator, and updates of the store's tables, which are forwarded
// along an update tree. Also serves the metrics page, and passes requests to relay exchanges on to
// aRelays.
class PeerRpc : public HttpHandler
{
public:
  // Renders the metrics page.
  using MetricsPage = std::function<std::string()>;

  PeerRpc(boost::asio::io_context& aContext,
          FleetMember& aMember,
          HttpHandler& aRelays,
          LoopTaskObserver& aTasks,
          MetricsPage aMetrics);

  // Sends a report; the answer, or its absence after the timeout, goes to the FleetMember.
  void SendReport(const std::string& aAddress, const InstanceReport& aReport);
  // Sends an update to the root of each branch, which forwards it to the others of its branch.
  void SendUpdate(const std::vector<UpdateBranch>& aBranches, const FleetUpdate& aUpdate);
  // Requests from a peer the rows that are newer than aVersions.
  void FetchUpdate(const std::string& aAddress, const TableVersions& aVersions);
  // Sends this instance's usage of limits to the limit coordinator at aAddress.
  void SendUsage(const std::string& aAddress, const UsageReport& aReport);

  void OnRequest(std::uint64_t aId, HttpRequest aRequest, HttpResponder aRespond) override;
  void OnClientDisconnected(std::uint64_t aId) override { relays_.OnClientDisconnected(aId); }

private:
  // Sends a serialized update along these branches. If the root of a branch is unresponsive or
  // the send to it fails, the rest of its branch is split and sent from here.
  void Forward(const std::vector<UpdateBranch>& aBranches,
               const std::shared_ptr<const std::string>& aUpdate);
  // Sends to one root; aBranch.forwardTo_ is empty for a root that is not expected to forward.
  void ForwardTo(const UpdateBranch& aBranch, const std::shared_ptr<const std::string>& aUpdate);
  HttpResponse HandleReport(const HttpRequest& aRequest);
  HttpResponse HandleUsage(const HttpRequest& aRequest);
  HttpResponse HandleUpdate(const HttpRequest& aRequest);
  HttpResponse HandleFetch(const HttpRequest& aRequest);

  FleetMember& member_;
  HttpHandler& relays_;
  LoopTaskObserver& tasks_;
  MetricsPage metrics_;
  std::unique_ptr<HttpClient> client_;
  UnresponsivePeers unresponsivePeers_;
  UpdateCache updateCache_;
};

} // namespace latchslip
