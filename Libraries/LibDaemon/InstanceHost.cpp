#include "LibDaemon/InstanceHost.h"

#include "LibNet/CallerProtocol.h"
#include "LibNet/PeerProof.h"
#include "LibNet/ServerProtocol.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>

namespace latchslip {

namespace {

constexpr Duration kTickInterval = milliseconds(10);
constexpr Duration kGrantTimeout = milliseconds(450);
// Added to the deadline of a request in flight: a response this late is still accepted before
// the connection is closed.
constexpr Duration kWorkAnswerGrace = seconds(1);
constexpr std::size_t kPlatformConnections = 16;
// Connections per backend server. Requests in flight are already bounded by the server's slots,
// for which a declaration must provide enough connections; this is only a last safeguard.
constexpr std::size_t kServerConnections = 1100;
// Requests of operators are small, so their listener has a low body limit.
constexpr std::size_t kMaxOperatorBodyBytes = 4UL * 1024 * 1024;
constexpr std::size_t kOperatorConnections = 64;

} // namespace

// Handles HTTP requests of callers.
class InstanceHost::CallerHandler : public HttpHandler
{
public:
  explicit CallerHandler(InstanceHost& aHost)
    : host_(aHost)
  {
  }

  void OnRequest(std::uint64_t aId, HttpRequest aRequest, HttpResponder aRespond) override
  {
    const auto now = Now();
    if (aRequest.method_ != "POST" && aRequest.method_ != "GET" && aRequest.method_ != "PUT") {
      aRespond(MakeCallerError(405, { "method", "must be GET, POST or PUT" }));
      return;
    }
    const auto request = ParseCallerRequest(now, aRequest);
    if (!request) {
      aRespond(MakeCallerError(400, request.error()));
      return;
    }
    waiting_[aId] = { std::move(aRespond), now };
    host_.core_.OnCaller(now, aId, request.value());
  }

  void OnClientDisconnected(std::uint64_t aId) override
  {
    waiting_.erase(aId);
    host_.core_.OnCallerGone(Now(), aId);
  }

  void Answer(CallerId aCaller, const WorkAnswer& aAnswer)
  {
    const auto found = waiting_.find(aCaller);
    if (found == waiting_.end()) {
      return;
    }
    const auto waiting = std::move(found->second);
    waiting_.erase(found);
    host_.metrics_.OnAnswer(aAnswer, Now() - waiting.arrivedAt_);
    waiting.respond_(MakeCallerResponse(aAnswer));
  }

private:
  struct Waiting
  {
    HttpResponder respond_;
    Instant arrivedAt_{ 0 };
  };
  InstanceHost& host_;
  std::map<CallerId, Waiting> waiting_;
};

// Handles HTTP requests of operators; all but metrics and health require the operator token.
class InstanceHost::OperatorHandler : public HttpHandler
{
public:
  explicit OperatorHandler(InstanceHost& aHost)
    : host_(aHost)
  {
  }

  void OnRequest(std::uint64_t aId, HttpRequest aRequest, HttpResponder aRespond) override
  {
    const auto route = aRequest.method_ + " " + aRequest.target_;
    if (route == "GET /metrics") {
      auto response = MakeHttpResponse(200, host_.RenderMetrics());
      response.contentType_ = "text/plain";
      aRespond(std::move(response));
      return;
    }
    if (route == "GET /health") {
      const bool serves = !host_.core_.IsLeaving() && host_.core_.IsViewFresh(Now());
      aRespond(
        MakeHttpResponse(serves ? 200 : 503, serves ? "{\"serves\":true}" : "{\"serves\":false}"));
      return;
    }
    const auto expected = "Bearer " + host_.settings_.operatorToken_;
    if (!IsProofValid(expected, std::string(aRequest.Header("Authorization")))) {
      host_.events_.Record(Event::OperatorRefused, "route=" + route + " reason=wrong-token");
      aRespond(MakeCallerError(401, { "Authorization", "does not carry the operators' token" }));
      return;
    }
    Serve(aId, route, aRequest, std::move(aRespond));
  }

  void OnClientDisconnected(std::uint64_t aId) override { waiting_.erase(aId); }

  void Answer(OperatorId aOperator, const OperatorAnswer& aAnswer)
  {
    const auto found = waiting_.find(aOperator);
    if (found == waiting_.end()) {
      return;
    }
    const auto respond = std::move(found->second);
    waiting_.erase(found);
    respond(MakeHttpResponse(aAnswer.status_, aAnswer.body_));
  }

private:
  void Serve(std::uint64_t aId,
             const std::string& aRoute,
             const HttpRequest& aRequest,
             HttpResponder aRespond)
  {
    if (aRoute == "GET /v1/status") {
      aRespond(MakeHttpResponse(200, host_.core_.DescribeStatus(Now())));
    } else if (aRoute == "GET /v1/declaration") {
      aRespond(
        MakeHttpResponse(200, SerializeDeclaration(host_.core_.CurrentView().Configuration())));
    } else if (aRoute == "POST /v1/plan") {
      waiting_[aId] = std::move(aRespond);
      host_.core_.OnPlan(Now(), aId, *aRequest.body_);
    } else if (aRoute == "POST /v1/confirm") {
      waiting_[aId] = std::move(aRespond);
      host_.core_.OnConfirm(Now(), aId, *aRequest.body_);
    } else if (aRoute == "POST /v1/drain") {
      aRespond(MakeHttpResponse(200, R"({"leaving":true})"));
      host_.BeginLeaving();
    } else {
      aRespond(MakeCallerError(404, { "path", "is not known to operators: " + aRoute }));
    }
  }

  InstanceHost& host_;
  std::map<OperatorId, HttpResponder> waiting_;
};

FieldResult<std::unique_ptr<InstanceHost>>
InstanceHost::Create(boost::asio::io_context& aContext, const DaemonSettings& aSettings)
{
  std::unique_ptr<InstanceHost> host(new InstanceHost(aContext, aSettings));
  BOOST_OUTCOME_TRY(host->Open());
  return host;
}

InstanceHost::InstanceHost(boost::asio::io_context& aContext, const DaemonSettings& aSettings)
  : context_(aContext)
  , settings_(aSettings)
  , tickTimer_(aContext)
  , serverClient_(HttpClient::Create(aContext, kServerConnections))
  , platformHttp_(HttpClient::Create(aContext, kPlatformConnections))
  , platform_(*platformHttp_, aSettings.platformAddress_)
  , core_(MakeInstanceId(aSettings.name_, aSettings.incarnation_),
          aSettings.hall_,
          aSettings.timing_,
          *this,
          events_)
  , callers_(std::make_unique<CallerHandler>(*this))
  , operators_(std::make_unique<OperatorHandler>(*this))
{
}

InstanceHost::~InstanceHost() = default;

FieldResult<void>
InstanceHost::Open()
{
  PeerNetwork::Settings peer{
    core_.Members().Self(), settings_.hall_, settings_.peerAddress_, settings_.peerSecret_
  };
  BOOST_OUTCOME_TRY(peers_, PeerNetwork::Create(context_, peer, *this));
  BOOST_OUTCOME_TRY(
    callerServer_,
    HttpServer::Create(context_, settings_.callerAddress_, settings_.callerLimits_, *callers_));
  HttpLimits limits;
  limits.bodyBytes_ = kMaxOperatorBodyBytes;
  limits.connections_ = kOperatorConnections;
  BOOST_OUTCOME_TRY(operatorServer_,
                    HttpServer::Create(context_, settings_.operatorAddress_, limits, *operators_));
  events_.Record(Event::InstanceStarted,
                 "self=" + core_.Members().Self() + " hall=" + settings_.hall_ +
                   " callers=" + settings_.callerAddress_);
  ScheduleTick();
  return outcome::success();
}

Instant
InstanceHost::Now()
{
  return duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
}

void
InstanceHost::ScheduleTick()
{
  tickTimer_.expires_after(kTickInterval);
  tickTimer_.async_wait([this](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    PollList();
    core_.Tick(Now());
    AdvanceStop();
    ScheduleTick();
  });
}

void
InstanceHost::PollList()
{
  const auto now = Now();
  if (isListPending_ || now - listPolledAt_ < settings_.listPoll_) {
    return;
  }
  listPolledAt_ = now;
  isListPending_ = true;
  platform_.ListInstances([this](std::optional<std::vector<ListedInstance>> aList) {
    isListPending_ = false;
    if (!aList) {
      return;
    }
    core_.OnInstanceList(Now(), std::move(*aList));
    peers_->SetPeers(core_.Members().Peers());
  });
}

void
InstanceHost::BeginLeaving()
{
  if (leavingSince_ != Instant{ 0 }) {
    return;
  }
  leavingSince_ = Now();
  core_.BeginLeaving(leavingSince_);
  callerServer_->BeginDrain();
}

void
InstanceHost::AdvanceStop()
{
  if (leavingSince_ == Instant{ 0 }) {
    return;
  }
  const auto waited = Now() - leavingSince_;
  if (!isClosing_ && waited >= settings_.drainGrace_) {
    isClosing_ = true;
    callerServer_->BeginClose();
  }
  const bool isComplete = isClosing_ && core_.MayStop() && callerServer_->Connections() == 0;
  if (isComplete || waited >= settings_.drainTimeout_) {
    events_.Record(Event::InstanceStopped,
                   isComplete ? "reason=all-work-ended" : "reason=drain-timeout");
    context_.stop();
  }
}

std::string
InstanceHost::RenderMetrics() const
{
  const auto line = [](std::string_view aName, std::uint64_t aValue) {
    return std::string(aName) + " " + std::to_string(aValue) + "\n";
  };
  return metrics_.Render() + line("latchslip_callers_in_flight", core_.Callers().Pending()) +
         line("latchslip_caller_connections", callerServer_->Connections()) +
         line("latchslip_server_connections", serverClient_->OpenConnections()) +
         line("latchslip_servers_held", core_.Dispatch().HeldCount()) +
         line("latchslip_revision", core_.CurrentView().Revision()) +
         line("latchslip_peer_bytes_sent", peers_->BytesSent()) +
         line("latchslip_control_bytes_sent", peers_->ControlBytesSent());
}

bool
InstanceHost::SendToPeer(const InstanceId& aTo, const PeerMessage& aMessage)
{
  return peers_->Send(aTo, aMessage);
}

void
InstanceHost::CallStore(CallTag aTag, const StoreCall& aCall)
{
  platform_.Call(
    aCall, [this, aTag](const StoreReply& aReply) { core_.OnStoreReply(Now(), aTag, aReply); });
}

void
InstanceHost::SendGrant(CallTag aTag, const std::string& aAddress, const GrantCommand& aCommand)
{
  serverClient_->Send(aAddress,
                      MakeGrantRequest(aCommand),
                      kGrantTimeout,
                      [this, aTag](const HttpExchange& aExchange) {
                        if (aExchange.isRefused_) {
                          core_.OnConnectionRefused(Now(), aTag);
                        }
                        if (aExchange.end_ != ExchangeEnd::Complete ||
                            aExchange.response_.status_ != 200) {
                          return;
                        }
                        const auto reply = ParseGrantReply(*aExchange.response_.body_);
                        if (reply) {
                          core_.OnGrantReply(Now(), aTag, reply.value());
                        }
                      });
}

void
InstanceHost::SendWork(const WorkCommand& aCommand)
{
  workAddresses_[aCommand.id_] = aCommand.address_;
  const auto timeout =
    std::max(aCommand.request_.deadline_ - Now(), Duration{ 0 }) + kWorkAnswerGrace;
  serverClient_->Send(aCommand.address_,
                      MakeWorkRequest(aCommand),
                      timeout,
                      [this, aCommand](const HttpExchange& aExchange) {
                        workAddresses_.erase(aCommand.id_);
                        WorkReply reply;
                        reply.outcome_ = WorkOutcome::Broken;
                        if (aExchange.end_ == ExchangeEnd::NotSent) {
                          reply.outcome_ = WorkOutcome::NotSent;
                        } else if (aExchange.end_ == ExchangeEnd::Complete) {
                          reply = ToWorkReply(aCommand, aExchange.response_);
                        }
                        core_.OnWorkReply(Now(), aCommand.id_, reply);
                      });
}

void
InstanceHost::CancelWork(WorkId aId)
{
  const auto found = workAddresses_.find(aId);
  if (found == workAddresses_.end()) {
    return;
  }
  HttpRequest request;
  request.method_ = "POST";
  request.target_ = "/cancel/" + std::to_string(aId);
  // The result is ignored: the response to the work itself shows whether it was cancelled.
  serverClient_->Send(found->second, std::move(request), kGrantTimeout, [](const HttpExchange&) {});
}

void
InstanceHost::AnswerCaller(CallerId aCaller, const WorkAnswer& aAnswer)
{
  callers_->Answer(aCaller, aAnswer);
}

void
InstanceHost::AnswerOperator(OperatorId aOperator, const OperatorAnswer& aAnswer)
{
  operators_->Answer(aOperator, aAnswer);
}

void
InstanceHost::OnPeerUp(const InstanceId& aPeer, const std::string& aHall)
{
  core_.OnPeerUp(Now(), aPeer, aHall);
}

void
InstanceHost::OnPeerDown(const InstanceId& aPeer)
{
  core_.OnPeerDown(Now(), aPeer);
}

void
InstanceHost::OnPeerMessage(const InstanceId& aFrom, const PeerMessage& aMessage)
{
  core_.OnPeerMessage(Now(), aFrom, aMessage);
}

void
InstanceHost::OnPeerRefused(const std::string& aAddress, const std::string& aReason)
{
  events_.Record(Event::PeerRefused, "address=" + aAddress + " reason=" + aReason);
}

} // namespace latchslip
