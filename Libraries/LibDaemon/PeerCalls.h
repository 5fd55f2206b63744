#pragma once

#include "LibFleet/FleetMember.h"
#include "LibFleet/UnresponsivePeers.h"
#include "LibNet/HttpClient.h"
#include "LibNet/HttpServer.h"

#include <memory>
#include <string>
#include <vector>

namespace latchslip {

// What entry instances say to each other: reports to the placer, and news of
// the store's tables.
class PeerCalls : public HttpHandler
{
public:
  // Gives the text of the metrics page.
  using MetricsPage = std::function<std::string()>;

  PeerCalls(boost::asio::io_context& aContext, FleetMember& aMember, MetricsPage aMetrics);

  void SendReport(const std::string& aAddress, const InstanceReport& aReport);
  void SendUpdate(const std::vector<UpdateBranch>& aBranches, const FleetUpdate& aNews);
  void FetchUpdate(const std::string& aAddress, const TableVersions& aVersions);
  void SendUsage(const std::string& aAddress, const UsageReport& aReport);

  void OnRequest(std::uint64_t aId, HttpRequest aRequest, HttpResponder aRespond) override;
  void OnGone(std::uint64_t) override {}

private:
  // Sends news that are written down along these branches.
  void PassOn(const std::vector<UpdateBranch>& aBranches,
              const std::shared_ptr<const std::string>& aNews);
  void PassOnTo(const UpdateBranch& aBranch, const std::shared_ptr<const std::string>& aNews);
  HttpResponse AnswerReport(const HttpRequest& aRequest);
  HttpResponse AnswerUses(const HttpRequest& aRequest);
  HttpResponse TakeNews(const HttpRequest& aRequest);
  HttpResponse AnswerNews(const HttpRequest& aRequest) const;

  FleetMember& member_;
  MetricsPage metrics_;
  std::unique_ptr<HttpClient> client_;
  UnresponsivePeers silent_;
};

} // namespace latchslip
