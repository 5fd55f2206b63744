#pragma once

#include "LibFleet/FleetMember.h"
#include "LibFleet/SilentPeers.h"
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
  void SendNews(const std::vector<NewsBranch>& aBranches, const FleetNews& aNews);
  void FetchNews(const std::string& aAddress, const TableVersions& aVersions);
  void SendUses(const std::string& aAddress, const UsageReport& aReport);

  void OnRequest(std::uint64_t aId, HttpRequest aRequest, HttpResponder aRespond) override;
  void OnGone(std::uint64_t) override {}

private:
  // Sends news that are written down along these branches.
  void PassOn(const std::vector<NewsBranch>& aBranches,
              const std::shared_ptr<const std::string>& aNews);
  void PassOnTo(const NewsBranch& aBranch, const std::shared_ptr<const std::string>& aNews);
  HttpResponse AnswerReport(const HttpRequest& aRequest);
  HttpResponse AnswerUses(const HttpRequest& aRequest);
  HttpResponse TakeNews(const HttpRequest& aRequest);
  HttpResponse AnswerNews(const HttpRequest& aRequest) const;

  FleetMember& member_;
  MetricsPage metrics_;
  std::unique_ptr<HttpClient> client_;
  SilentPeers silent_;
};

} // namespace latchslip
