#include "LibNet/CallerProtocol.h"

#include "LibNet/ServerProtocol.h"

#include <boost/json.hpp>

namespace latchslip {

namespace {

constexpr std::size_t kMaxKeyBytes = 1024;
constexpr std::size_t kMaxRequestIdBytes = 256;
constexpr std::size_t kPathSegments = 5;

unsigned
StatusOf(const WorkAnswer& aAnswer)
{
  switch (aAnswer.reason_) {
    case Reason::NoSuchService:
      return 404;
    case Reason::NoSuchGroup:
      return 403;
    case Reason::Duplicate:
      return 409;
    case Reason::DeadlinePassed:
    case Reason::DeadlineTooNear:
      return aAnswer.outcome_ == RequestOutcome::Unknown ? 504 : 503;
    case Reason::QueueFull:
    case Reason::TooManyInFlight:
    case Reason::ServerShed:
      return 429;
    default:
      return aAnswer.outcome_ == RequestOutcome::Unknown ? 502 : 503;
  }
}

FieldResult<bool>
ParseRepeatable(const HttpRequest& aRequest)
{
  const auto text = aRequest.Header(kCallerRepeatableHeader);
  if (text.empty() || text == "false") {
    return false;
  }
  if (text == "true") {
    return true;
  }
  return FieldError{ std::string(kCallerRepeatableHeader), "must be true or false" };
}

FieldResult<Duration>
ParseDeadline(const HttpRequest& aRequest)
{
  const auto text = aRequest.Header(kCallerDeadlineHeader);
  if (text.empty()) {
    return kDefaultDeadline;
  }
  const auto max = static_cast<std::uint64_t>(duration_cast<milliseconds>(kMaxDeadline).count());
  const auto number = ParseNumber(text, max + 1);
  if (number > max) {
    return FieldError{ std::string(kCallerDeadlineHeader),
                       "must be a whole number of milliseconds from 0 to " + std::to_string(max) };
  }
  return Duration(milliseconds(number));
}

} // namespace

FieldResult<WorkRequest>
ParseCallerRequest(Instant aNow, const HttpRequest& aRequest)
{
  const auto path = SplitPath(aRequest.target_);
  const bool isPath = path.size() >= 3 && path[0] == "v1" && path[1] == "services" &&
                      (path.size() == 3 || (path.size() <= kPathSegments && path[3] == "keys"));
  if (!isPath) {
    return FieldError{ "path", "must be /v1/services/SERVICE/keys/KEY" };
  }
  WorkRequest request;
  request.service_ = DecodeSegment(path[2]);
  request.key_ = path.size() == kPathSegments ? DecodeSegment(path[4]) : "";
  request.group_ = aRequest.Header(kCallerGroupHeader);
  request.requestId_ = aRequest.Header(kCallerRequestIdHeader);
  if (request.key_.empty() || request.key_.size() > kMaxKeyBytes) {
    return FieldError{ "key", "must have 1 to 1024 bytes" };
  }
  if (request.group_.empty()) {
    return FieldError{ std::string(kCallerGroupHeader), "is missing" };
  }
  if (request.requestId_.size() > kMaxRequestIdBytes) {
    return FieldError{ std::string(kCallerRequestIdHeader), "must have at most 256 bytes" };
  }
  BOOST_OUTCOME_TRY(request.isRepeatable_, ParseRepeatable(aRequest));
  BOOST_OUTCOME_TRY(const auto remaining, ParseDeadline(aRequest));
  request.deadline_ = aNow + remaining;
  request.body_ = aRequest.body_;
  return request;
}

HttpResponse
MakeCallerResponse(const WorkAnswer& aAnswer)
{
  HttpResponse response;
  if (aAnswer.outcome_ == RequestOutcome::Answered) {
    response.status_ = aAnswer.status_;
    response.body_ = aAnswer.body_;
    response.contentType_ = aAnswer.contentType_;
  } else {
    const boost::json::object body{ { "outcome", kRequestOutcomeNames.NameOf(aAnswer.outcome_) },
                                    { "reason", kReasonNames.NameOf(aAnswer.reason_) },
                                    { "detail", aAnswer.detail_ },
                                    { "retry_after_ms", aAnswer.retryAfter_.count() / 1000 } };
    response = MakeHttpResponse(StatusOf(aAnswer), boost::json::serialize(body));
  }
  response.headers_.emplace_back(kOutcomeHeader, kRequestOutcomeNames.NameOf(aAnswer.outcome_));
  response.headers_.emplace_back(kReasonHeader, kReasonNames.NameOf(aAnswer.reason_));
  if (aAnswer.outcome_ == RequestOutcome::NotRun) {
    const auto wait = duration_cast<milliseconds>(aAnswer.retryAfter_).count();
    response.headers_.emplace_back(kRetryAfterHeader, std::to_string(wait));
    // Retry-After has whole seconds; rounded up.
    response.headers_.emplace_back("Retry-After", std::to_string((wait + 999) / 1000));
  }
  return response;
}

HttpResponse
MakeCallerError(unsigned aStatus, const FieldError& aError)
{
  const boost::json::object body{
    { "outcome", "not-run" },
    { "error", { { "field", aError.field_ }, { "problem", aError.problem_ } } }
  };
  auto response = MakeHttpResponse(aStatus, boost::json::serialize(body));
  response.headers_.emplace_back(kOutcomeHeader, "not-run");
  return response;
}

} // namespace latchslip
