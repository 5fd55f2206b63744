#include "LibDaemon/PeerRpc.h"

#include "LibDaemon/RelayClient.h"
#include "LibNet/Deflate.h"
#include "LibNet/MonotonicClock.h"

namespace latchslip {

namespace {

constexpr std::string_view kReportPath = "/v1/fleet/report";
// Fetches the rows that the caller lacks.
constexpr std::string_view kFetchPath = "/v1/fleet/since";
constexpr std::string_view kMetricsPath = "/metrics";
// Pushes an update.
constexpr std::string_view kUpdatePath = "/v1/fleet/news";
// Reports usage of the groups with limits to the limit coordinator.
constexpr std::string_view kUsagePath = "/v1/fleet/uses";
// Many round trips within a region, and less than the report interval.
constexpr Duration kPeerTimeout = milliseconds(600);
// Longer updates are whole tables for a starting instance. Their timeout covers several of
// them at once over a slow connection.
constexpr std::size_t kBulkUpdateBytes = 16UL * 1024;
constexpr Duration kBulkTimeout = seconds(4);
// Updates of at least this size are compressed. Shorter ones hold one or two changes and fit
// into one packet.
constexpr std::size_t kMinDeflateBytes = 1024;
// Upper bound of a decompressed update; the tables of 10,000 servers are about 3 MB.
constexpr std::size_t kMaxUpdateBytes = 64UL * 1024 * 1024;
// Answers to fetches with at least this many rows are cached; shorter ones take less than a
// millisecond.
constexpr std::size_t kMinCachedRows = 100;
constexpr std::size_t kMaxConnections = 4;
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;

// Serializes an update, compressed if long. The receiver recognizes plain JSON by its opening
// brace.
std::string
PackUpdate(const FleetUpdate& aUpdate)
{
  auto text = SerializeUpdate(aUpdate);
  return text.size() < kMinDeflateBytes ? text : Deflate(text);
}

FieldResult<FleetUpdate>
UnpackUpdate(std::string_view aBytes)
{
  if (aBytes.starts_with('{')) {
    return ParseUpdate(aBytes);
  }
  BOOST_OUTCOME_TRY(const auto text, Inflate(aBytes, kMaxUpdateBytes));
  return ParseUpdate(text);
}

// The number of rows and of ranges of keys in an update.
std::size_t
CountRows(const FleetUpdate& aUpdate)
{
  std::size_t rows = 0;
  for (const auto& view : aUpdate.views_) {
    rows += view.rows_.size();
  }
  for (const auto& update : aUpdate.owners_) {
    rows += update.ownership_.ranges_.size();
  }
  return rows;
}

HttpRequest
MakePost(std::string_view aPath, std::string aBody)
{
  HttpRequest request;
  request.method_ = "POST";
  request.target_ = std::string(aPath);
  request.body_ = std::make_shared<const std::string>(std::move(aBody));
  return request;
}

bool
IsOk(const HttpExchange& aExchange)
{
  return aExchange.end_ == ExchangeEnd::Complete && aExchange.response_.status_ == kOk;
}

// Parses the body of an answer; std::nullopt if the call failed or the body is malformed.
template<typename T>
std::optional<T>
ParseAnswer(const HttpExchange& aExchange, FieldResult<T> (*aParse)(std::string_view))
{
  if (!IsOk(aExchange)) {
    return std::nullopt;
  }
  auto parsed = aParse(*aExchange.response_.body_);
  return parsed ? std::optional(std::move(parsed).value()) : std::nullopt;
}

} // namespace

PeerRpc::PeerRpc(boost::asio::io_context& aContext,
                 FleetMember& aMember,
                 HttpHandler& aRelays,
                 LoopTaskObserver& aTasks,
                 MetricsPage aMetrics)
  : member_(aMember)
  , relays_(aRelays)
  , tasks_(aTasks)
  , metrics_(std::move(aMetrics))
  , client_(HttpClient::Create(aContext, kMaxConnections))
{
}

void
PeerRpc::SendReport(const std::string& aAddress, const InstanceReport& aReport)
{
  client_->Send(aAddress,
                MakePost(kReportPath, SerializeReport(aReport)),
                kPeerTimeout,
                [this, sentAt = MonotonicNow()](const HttpExchange& aExchange) {
                  const auto answer = ParseAnswer(aExchange, ParseReportAnswer);
                  const auto now = MonotonicNow();
                  member_.OnReportAnswered(now, answer, now - sentAt);
                });
}

void
PeerRpc::SendUpdate(const std::vector<UpdateBranch>& aBranches, const FleetUpdate& aUpdate)
{
  if (!aBranches.empty()) {
    Forward(aBranches, std::make_shared<const std::string>(PackUpdate(aUpdate)));
  }
}

// An instance that misses an update detects it from the answer to its next report.
void
PeerRpc::Forward(const std::vector<UpdateBranch>& aBranches,
                 const std::shared_ptr<const std::string>& aUpdate)
{
  for (const auto& branch : aBranches) {
    if (unresponsivePeers_.IsUnresponsive(MonotonicNow(), branch.to_)) {
      ForwardTo({ branch.to_, {} }, aUpdate);
      Forward(SplitForwarding(branch.forwardTo_), aUpdate);
    } else {
      ForwardTo(branch, aUpdate);
    }
  }
}

void
PeerRpc::ForwardTo(const UpdateBranch& aBranch, const std::shared_ptr<const std::string>& aUpdate)
{
  const auto timeout = aUpdate->size() > kBulkUpdateBytes ? kBulkTimeout : kPeerTimeout;
  client_->Send(aBranch.to_,
                MakePost(kUpdatePath, EncodeUpdateMessage(aBranch.forwardTo_, *aUpdate)),
                timeout,
                [this, aBranch, aUpdate](const HttpExchange& aExchange) {
                  const bool isAccepted = IsOk(aExchange);
                  unresponsivePeers_.OnSent(MonotonicNow(), aBranch.to_, isAccepted);
                  if (!isAccepted) {
                    Forward(SplitForwarding(aBranch.forwardTo_), aUpdate);
                  }
                });
}

void
PeerRpc::FetchUpdate(const std::string& aAddress, const TableVersions& aVersions)
{
  client_->Send(aAddress,
                MakePost(kFetchPath, SerializeVersions(aVersions)),
                kPeerTimeout,
                [this, aAddress, sentAt = MonotonicNow()](const HttpExchange& aExchange) {
                  const LoopTaskScope task(tasks_, LoopTask::ApplyUpdate);
                  const auto update = ParseAnswer(aExchange, UnpackUpdate);
                  const auto now = MonotonicNow();
                  member_.OnUpdateFetched(now, update, now - sentAt, aAddress);
                });
}

void
PeerRpc::SendUsage(const std::string& aAddress, const UsageReport& aReport)
{
  client_->Send(aAddress,
                MakePost(kUsagePath, SerializeUsageReport(aReport)),
                kPeerTimeout,
                [this](const HttpExchange& aExchange) {
                  member_.OnUsageAnswered(MonotonicNow(),
                                          ParseAnswer(aExchange, ParseAdmittedShares));
                });
}

void
PeerRpc::OnRequest(std::uint64_t aId, HttpRequest aRequest, HttpResponder aRespond)
{
  if (aRequest.target_ == kRelayPath) {
    relays_.OnRequest(aId, std::move(aRequest), std::move(aRespond));
  } else if (aRequest.target_ == kReportPath) {
    aRespond(HandleReport(aRequest));
  } else if (aRequest.target_ == kUpdatePath) {
    aRespond(HandleUpdate(aRequest));
  } else if (aRequest.target_ == kUsagePath) {
    aRespond(HandleUsage(aRequest));
  } else if (aRequest.target_ == kFetchPath) {
    aRespond(HandleFetch(aRequest));
  } else if (aRequest.target_ == kMetricsPath) {
    auto page = MakeHttpResponse(kOk, metrics_());
    page.contentType_ = "text/plain; version=0.0.4";
    aRespond(std::move(page));
  } else {
    aRespond(MakeHttpResponse(kNotFound, "no such page\n"));
  }
}

HttpResponse
PeerRpc::HandleReport(const HttpRequest& aRequest)
{
  const LoopTaskScope task(tasks_, LoopTask::AnswerReport);
  const auto report = ParseReport(*aRequest.body_);
  if (!report) {
    return MakeHttpResponse(kBadRequest, report.error().Describe());
  }
  return MakeHttpResponse(kOk,
                          SerializeReportAnswer(member_.OnReport(MonotonicNow(), report.value())));
}

HttpResponse
PeerRpc::HandleUsage(const HttpRequest& aRequest)
{
  const auto report = ParseUsageReport(*aRequest.body_);
  if (!report) {
    return MakeHttpResponse(kBadRequest, report.error().Describe());
  }
  const auto shares = member_.OnUsage(MonotonicNow(), report.value());
  return shares ? MakeHttpResponse(kOk, SerializeAdmittedShares(*shares))
                : MakeHttpResponse(kConflict, "is not the placer\n");
}

HttpResponse
PeerRpc::HandleUpdate(const HttpRequest& aRequest)
{
  const LoopTaskScope task(tasks_, LoopTask::ApplyUpdate);
  auto message = DecodeUpdateMessage(*aRequest.body_);
  if (!message) {
    return MakeHttpResponse(kBadRequest, message.error().Describe());
  }
  const auto text = std::make_shared<const std::string>(std::move(message.value().update_));
  // Forwarded before it is parsed, because parsing takes longer on a slow instance.
  Forward(SplitForwarding(message.value().forwardTo_), text);
  const auto update = UnpackUpdate(*text);
  if (!update) {
    return MakeHttpResponse(kBadRequest, update.error().Describe());
  }
  member_.OnUpdate(MonotonicNow(), update.value());
  return MakeHttpResponse(kOk, "");
}

HttpResponse
PeerRpc::HandleFetch(const HttpRequest& aRequest)
{
  const LoopTaskScope task(tasks_, LoopTask::AnswerFetch);
  const auto versions = ParseVersions(*aRequest.body_);
  if (!versions) {
    return MakeHttpResponse(kBadRequest, versions.error().Describe());
  }
  const auto now = MonotonicNow();
  const auto key = member_.KeyOfUpdateSince(versions.value());
  HttpResponse response = MakeHttpResponse(kOk, "");
  if (auto known = updateCache_.Find(now, key)) {
    response.body_ = std::move(known);
    return response;
  }
  auto update = member_.UpdateSince(now, versions.value());
  const bool isCached = CountRows(update) >= kMinCachedRows;
  if (isCached) {
    // The age of a proof would be wrong in a later answer; the caller gets one with the next
    // answer to a report or fetch.
    update.proof_.reset();
  }
  response.body_ = std::make_shared<const std::string>(PackUpdate(update));
  if (isCached) {
    updateCache_.Put(now, key, response.body_);
  }
  return response;
}

} // namespace latchslip
