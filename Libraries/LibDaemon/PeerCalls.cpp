#include "LibDaemon/PeerCalls.h"

#include "LibNet/Deflate.h"
#include "LibNet/MonotonicClock.h"

namespace latchslip {

namespace {

constexpr std::string_view kReportPath = "/v1/fleet/report";
// Fetches the rows that the caller lacks.
constexpr std::string_view kSincePath = "/v1/fleet/since";
constexpr std::string_view kMetricsPath = "/metrics";
// Pushes an update.
constexpr std::string_view kNewsPath = "/v1/fleet/news";
// Reports usage of the groups with limits to the limit coordinator.
constexpr std::string_view kUsesPath = "/v1/fleet/uses";
// Many round trips within a region, and less than the report interval.
constexpr Duration kPeerTimeout = milliseconds(600);
// Longer updates are whole tables for a starting instance. Their timeout covers several of
// them at once over a slow connection.
constexpr std::size_t kBulkBytes = 16UL * 1024;
constexpr Duration kBulkTimeout = seconds(4);
// Updates of at least this size are compressed. Shorter ones hold one or two changes and fit
// into one packet.
constexpr std::size_t kLeastDeflated = 1024;
// Upper bound of a decompressed update; the tables of 10,000 servers are about 3 MB.
constexpr std::size_t kMostNewsBytes = 64UL * 1024 * 1024;
constexpr std::size_t kMostConnections = 4;
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;

// Serializes an update, compressed if long. The receiver recognizes plain JSON by its opening
// brace.
std::string
PackNews(const FleetUpdate& aNews)
{
  auto text = SerializeUpdate(aNews);
  return text.size() < kLeastDeflated ? text : Deflate(text);
}

FieldResult<FleetUpdate>
UnpackNews(std::string_view aBytes)
{
  if (aBytes.starts_with('{')) {
    return ParseUpdate(aBytes);
  }
  BOOST_OUTCOME_TRY(const auto text, Inflate(aBytes, kMostNewsBytes));
  return ParseUpdate(text);
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
ReadAnswer(const HttpExchange& aExchange, FieldResult<T> (*aParse)(std::string_view))
{
  if (!IsOk(aExchange)) {
    return std::nullopt;
  }
  auto parsed = aParse(*aExchange.response_.body_);
  return parsed ? std::optional(std::move(parsed).value()) : std::nullopt;
}

} // namespace

PeerCalls::PeerCalls(boost::asio::io_context& aContext, FleetMember& aMember, MetricsPage aMetrics)
  : member_(aMember)
  , metrics_(std::move(aMetrics))
  , client_(HttpClient::Create(aContext, kMostConnections))
{
}

void
PeerCalls::SendReport(const std::string& aAddress, const InstanceReport& aReport)
{
  client_->Send(aAddress,
                MakePost(kReportPath, SerializeReport(aReport)),
                kPeerTimeout,
                [this, sentAt = MonotonicNow()](const HttpExchange& aExchange) {
                  const auto answer = ReadAnswer(aExchange, ParseReportAnswer);
                  const auto now = MonotonicNow();
                  member_.OnReportAnswered(now, answer, now - sentAt);
                });
}

void
PeerCalls::SendUpdate(const std::vector<UpdateBranch>& aBranches, const FleetUpdate& aNews)
{
  if (!aBranches.empty()) {
    PassOn(aBranches, std::make_shared<const std::string>(PackNews(aNews)));
  }
}

// An instance that misses an update detects it from the answer to its next report.
void
PeerCalls::PassOn(const std::vector<UpdateBranch>& aBranches,
                  const std::shared_ptr<const std::string>& aNews)
{
  for (const auto& branch : aBranches) {
    if (silent_.IsUnresponsive(MonotonicNow(), branch.to_)) {
      PassOnTo({ branch.to_, {} }, aNews);
      PassOn(SplitForwarding(branch.forwardTo_), aNews);
    } else {
      PassOnTo(branch, aNews);
    }
  }
}

void
PeerCalls::PassOnTo(const UpdateBranch& aBranch, const std::shared_ptr<const std::string>& aNews)
{
  const auto timeout = aNews->size() > kBulkBytes ? kBulkTimeout : kPeerTimeout;
  client_->Send(aBranch.to_,
                MakePost(kNewsPath, EncodeUpdateMessage(aBranch.forwardTo_, *aNews)),
                timeout,
                [this, aBranch, aNews](const HttpExchange& aExchange) {
                  const bool isTaken = IsOk(aExchange);
                  silent_.OnSent(MonotonicNow(), aBranch.to_, isTaken);
                  if (!isTaken) {
                    PassOn(SplitForwarding(aBranch.forwardTo_), aNews);
                  }
                });
}

void
PeerCalls::FetchUpdate(const std::string& aAddress, const TableVersions& aVersions)
{
  client_->Send(aAddress,
                MakePost(kSincePath, SerializeVersions(aVersions)),
                kPeerTimeout,
                [this, aAddress, sentAt = MonotonicNow()](const HttpExchange& aExchange) {
                  const auto news = ReadAnswer(aExchange, UnpackNews);
                  const auto now = MonotonicNow();
                  member_.OnUpdateFetched(now, news, now - sentAt, aAddress);
                });
}

void
PeerCalls::SendUsage(const std::string& aAddress, const UseReport& aReport)
{
  client_->Send(aAddress,
                MakePost(kUsesPath, SerializeUseReport(aReport)),
                kPeerTimeout,
                [this](const HttpExchange& aExchange) {
                  member_.OnUsageAnswered(MonotonicNow(), ReadAnswer(aExchange, ParseParts));
                });
}

void
PeerCalls::OnRequest(std::uint64_t, HttpRequest aRequest, HttpResponder aRespond)
{
  if (aRequest.target_ == kReportPath) {
    aRespond(AnswerReport(aRequest));
  } else if (aRequest.target_ == kNewsPath) {
    aRespond(TakeNews(aRequest));
  } else if (aRequest.target_ == kUsesPath) {
    aRespond(AnswerUses(aRequest));
  } else if (aRequest.target_ == kSincePath) {
    aRespond(AnswerNews(aRequest));
  } else if (aRequest.target_ == kMetricsPath) {
    auto page = MakeHttpResponse(kOk, metrics_());
    page.contentType_ = "text/plain; version=0.0.4";
    aRespond(std::move(page));
  } else {
    aRespond(MakeHttpResponse(kNotFound, "no such page\n"));
  }
}

HttpResponse
PeerCalls::AnswerReport(const HttpRequest& aRequest)
{
  const auto report = ParseReport(*aRequest.body_);
  if (!report) {
    return MakeHttpResponse(kBadRequest, report.error().Describe());
  }
  return MakeHttpResponse(kOk,
                          SerializeReportAnswer(member_.OnReport(MonotonicNow(), report.value())));
}

HttpResponse
PeerCalls::AnswerUses(const HttpRequest& aRequest)
{
  const auto report = ParseUseReport(*aRequest.body_);
  if (!report) {
    return MakeHttpResponse(kBadRequest, report.error().Describe());
  }
  const auto parts = member_.OnUsage(MonotonicNow(), report.value());
  return parts ? MakeHttpResponse(kOk, SerializeParts(*parts))
               : MakeHttpResponse(kConflict, "is not the placer\n");
}

HttpResponse
PeerCalls::TakeNews(const HttpRequest& aRequest)
{
  auto message = DecodeUpdateMessage(*aRequest.body_);
  if (!message) {
    return MakeHttpResponse(kBadRequest, message.error().Describe());
  }
  const auto text = std::make_shared<const std::string>(std::move(message.value().update_));
  // Forwarded before it is parsed, because parsing takes longer on a slow instance.
  PassOn(SplitForwarding(message.value().forwardTo_), text);
  const auto news = UnpackNews(*text);
  if (!news) {
    return MakeHttpResponse(kBadRequest, news.error().Describe());
  }
  member_.OnUpdate(MonotonicNow(), news.value());
  return MakeHttpResponse(kOk, "");
}

HttpResponse
PeerCalls::AnswerNews(const HttpRequest& aRequest) const
{
  const auto versions = ParseVersions(*aRequest.body_);
  if (!versions) {
    return MakeHttpResponse(kBadRequest, versions.error().Describe());
  }
  return MakeHttpResponse(kOk, PackNews(member_.UpdateSince(MonotonicNow(), versions.value())));
}

} // namespace latchslip
