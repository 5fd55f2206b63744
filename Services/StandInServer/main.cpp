#include "LibBase/KeyHash.h"
#include "LibBase/Time.h"
#include "LibNet/HttpServer.h"
#include "LibNet/ServerProtocol.h"
#include "LibStandIn/RecordFile.h"
#include "LibStandIn/ServeStandIn.h"
#include "LibStandIn/ServerState.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <map>

ABSL_FLAG(std::string, address, "", "Where to listen, IP number and port.");
ABSL_FLAG(std::string, service, "", "Name of the service, for the records.");
ABSL_FLAG(std::string, server, "", "Name of this server, for the records.");
ABSL_FLAG(int, slots, 4, "Requests that run at once.");
ABSL_FLAG(bool, checks_orders, true, "Whether grants and fences are checked.");
ABSL_FLAG(int, service_time_us, 2000, "How long a request runs.");
ABSL_FLAG(int, cold_start_ms, 0, "For so long after the start requests run three times as long.");
ABSL_FLAG(int, reply_bytes, 0, "Filler at the end of each answer.");
ABSL_FLAG(int, health_lag_ms, 1000, "How old what the health page says may be.");
ABSL_FLAG(std::string, records_file, "", "Where executions and ownership are written down.");

namespace latchslip {

namespace {

constexpr int kColdStartFactor = 3;

Instant
Now()
{
  return duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
}

// Stand-in for a backend server that owns keys: grants, a fixed number of slots, slow requests
// after a cold start, load shedding, leaving and cancellation. Appends its executions and ownership
// to a record file for audits.
class StandInServer : public HttpHandler
{
public:
  explicit StandInServer(boost::asio::io_context& aContext)
    : context_(aContext)
    , state_(static_cast<unsigned>(absl::GetFlag(FLAGS_slots)),
             absl::GetFlag(FLAGS_checks_orders),
             static_cast<std::uint64_t>(Now().count()))
    , startedAt_(Now())
    , filler_(static_cast<std::size_t>(absl::GetFlag(FLAGS_reply_bytes)), '.')
  {
    if (!absl::GetFlag(FLAGS_records_file).empty()) {
      records_.open(absl::GetFlag(FLAGS_records_file));
    }
    ServerRecords header;
    header.service_ = absl::GetFlag(FLAGS_service);
    header.server_ = absl::GetFlag(FLAGS_server);
    header.slots_ = static_cast<unsigned>(absl::GetFlag(FLAGS_slots));
    header.checksGrants_ = absl::GetFlag(FLAGS_checks_orders);
    records_ << SerializeHeader(header) << std::endl;
  }

  void OnRequest(std::uint64_t aId, HttpRequest aRequest, HttpResponder aRespond) override
  {
    const auto path = SplitPath(aRequest.target_);
    const auto verb = path.empty() ? std::string() : path[0];
    if (verb == "grant") {
      Grant(*aRequest.body_, aRespond);
    } else if (verb == "work" && path.size() == 2) {
      Work(aId, DecodeSegment(path[1]), aRequest, std::move(aRespond));
    } else if (verb == "cancel" && path.size() == 2) {
      Cancel(ParseNumber(path[1], 0), aRespond);
    } else if (verb == "leave") {
      state_.SetLeaving(Now());
      aRespond(MakeHttpResponse(200, "{}"));
    } else if (verb == "health") {
      aRespond(MakeHttpResponse(200, "{\"running\":" + std::to_string(SampledRunning()) + "}"));
    } else {
      aRespond(MakeHttpResponse(404, "{}"));
    }
  }

  // The client disconnected; the work continues and keeps its slot.
  void OnClientDisconnected(std::uint64_t aId) override
  {
    const auto found = workOfRequest_.find(aId);
    if (found != workOfRequest_.end()) {
      state_.MarkOrphaned(found->second);
    }
  }

private:
  struct Running
  {
    std::shared_ptr<boost::asio::steady_timer> timer_;
    HttpResponder respond_;
    std::uint64_t request_ = 0;
  };

  void Grant(const std::string& aBody, const HttpResponder& aRespond)
  {
    const auto command = ParseGrantRequest(aBody);
    if (!command) {
      aRespond(MakeHttpResponse(400, command.error().Describe()));
      return;
    }
    const auto before = state_.Ownerships().size();
    const auto reply = state_.OnGrant(Now(), command.value());
    const auto& spans = state_.Ownerships();
    // A new grant can shorten the preceding ownership period, so that line is written again.
    if (spans.size() > before && before > 0) {
      records_ << SerializeOwnership(spans[before - 1]) << '\n';
    }
    if (!spans.empty()) {
      records_ << SerializeOwnership(spans.back()) << std::endl;
    }
    aRespond(MakeHttpResponse(200, SerializeGrantReply(reply)));
  }

  static HttpResponse NotRun(const ServerWork& aWork, std::string_view aReason, unsigned aStatus)
  {
    auto response = MakeHttpResponse(aStatus, "{}");
    response.headers_.emplace_back(kWorkHeader, std::to_string(aWork.id_));
    response.headers_.emplace_back(kNotRunHeader, aReason);
    response.headers_.emplace_back(kRetryAfterHeader, "50");
    return response;
  }

  void Work(std::uint64_t aRequestNumber,
            const std::string& aKey,
            const HttpRequest& aRequest,
            HttpResponder aRespond)
  {
    ServerWork work;
    work.id_ = ParseNumber(aRequest.Header(kWorkHeader), aRequestNumber);
    work.requestId_ = aRequest.Header(kRequestIdHeader);
    work.group_ = aRequest.Header(kGroupHeader);
    work.hash_ = HashKey(aKey);
    work.fence_ = ParseNumber(aRequest.Header(kFenceHeader), 0);
    work.validUntil_ =
      static_cast<std::int64_t>(ParseNumber(aRequest.Header(kValidUntilHeader), 0));
    // Each instance numbers its work from 1; the fence in the upper bits makes the id unique on
    // this server.
    work.id_ += work.fence_ << 40U;
    const auto workId = ParseNumber(aRequest.Header(kWorkHeader), aRequestNumber);
    auto clientWork = work;
    clientWork.id_ = workId;
    switch (state_.OnWork(Now(), work)) {
      case StartResult::Refused:
        aRespond(NotRun(clientWork, "refused", 409));
        return;
      case StartResult::Shed:
        aRespond(NotRun(clientWork, "shed", 503));
        return;
      case StartResult::Expired:
        aRespond(NotRun(clientWork, "expired", 408));
        return;
      case StartResult::Started:
        break;
    }
    const auto content = "key=" + aKey + " request=" + work.requestId_ +
                         " body=" + std::to_string(HashKey(*aRequest.body_)) +
                         " server=" + absl::GetFlag(FLAGS_server) + "\n";
    auto timer = std::make_shared<boost::asio::steady_timer>(context_, ServiceTime());
    running_[work.id_] = { timer, std::move(aRespond), aRequestNumber };
    workOfRequest_[aRequestNumber] = work.id_;
    timer->async_wait([this, work, clientWork, content](boost::system::error_code aError) {
      if (!aError) {
        OnWorkDone(work, clientWork, content);
      }
    });
  }

  Duration ServiceTime() const
  {
    const Duration usual(absl::GetFlag(FLAGS_service_time_us));
    const bool isCold = Now() - startedAt_ < milliseconds(absl::GetFlag(FLAGS_cold_start_ms));
    return isCold ? usual * kColdStartFactor : usual;
  }

  void OnWorkDone(const ServerWork& aWork,
                  const ServerWork& aClientWork,
                  const std::string& aContent)
  {
    const auto running = std::move(running_.at(aWork.id_));
    running_.erase(aWork.id_);
    workOfRequest_.erase(running.request_);
    if (!state_.Finish(Now(), aWork.id_)) {
      running.respond_(NotRun(aClientWork, "refused", 409));
      return;
    }
    records_ << SerializeExecution(state_.Executions().back(), state_.MaxRunning()) << std::endl;
    auto response = MakeHttpResponse(200, aContent + filler_);
    response.contentType_ = "text/plain";
    response.headers_.emplace_back(kWorkHeader, std::to_string(aClientWork.id_));
    running.respond_(std::move(response));
  }

  void Cancel(std::uint64_t aWorkId, const HttpResponder& aRespond)
  {
    for (auto entry = running_.begin(); entry != running_.end(); ++entry) {
      if ((entry->first & ((1ULL << 40U) - 1)) != aWorkId || !state_.Cancel(entry->first)) {
        continue;
      }
      entry->second.timer_->cancel();
      ServerWork clientWork;
      clientWork.id_ = aWorkId;
      entry->second.respond_(NotRun(clientWork, "cancelled", 409));
      workOfRequest_.erase(entry->second.request_);
      running_.erase(entry);
      break;
    }
    aRespond(MakeHttpResponse(200, "{}"));
  }

  // Number of running requests for the health page, sampled once per health_lag_ms.
  std::size_t SampledRunning()
  {
    if (Now() - healthSampledAt_ > milliseconds(absl::GetFlag(FLAGS_health_lag_ms))) {
      healthSampledAt_ = Now();
      healthRunning_ = state_.Running();
    }
    return healthRunning_;
  }

  boost::asio::io_context& context_;
  ServerState state_;
  Instant startedAt_;
  std::string filler_;
  std::ofstream records_;
  std::map<std::uint64_t, Running> running_;
  std::map<std::uint64_t, std::uint64_t> workOfRequest_;
  Instant healthSampledAt_{ 0 };
  std::size_t healthRunning_ = 0;
};

int
Run()
{
  boost::asio::io_context context(1);
  StandInServer handler(context);
  return ServeStandIn("stand-in-server", absl::GetFlag(FLAGS_address), context, handler);
}

} // namespace

} // namespace latchslip

int
main(int aCount, char** aArguments)
{
  absl::ParseCommandLine(aCount, aArguments);
  return latchslip::Run();
}
