#include "LoadRun.h"

#include "LibNet/CallerProtocol.h"
#include "LibNet/ServerProtocol.h"

#include <absl/random/random.h>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace latchslip {

namespace {

constexpr Duration kTimeoutSlack = seconds(3);
constexpr std::size_t kConnectionsPerTarget = 512;

Instant
Now()
{
  return duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
}

class LoadGenerator
{
public:
  LoadGenerator(boost::asio::io_context& aContext, const LoadSettings& aSettings)
    : context_(aContext)
    , settings_(aSettings)
    , client_(HttpClient::Create(aContext, kConnectionsPerTarget))
    , random_(std::seed_seq{ aSettings.seed_ })
    , sendTimer_(aContext)
  {
  }

  std::vector<CallerRecord> Run()
  {
    startedAt_ = Now();
    if (settings_.rate_ > 0) {
      SendDueRequests();
    } else {
      for (std::size_t worker = 0; worker < settings_.workers_; ++worker) {
        SendNext([this] { RunWorker(); });
      }
    }
    for (std::size_t probe = 0; probe < settings_.probeKeys_; ++probe) {
      Probe(probe);
    }
    context_.run();
    return std::move(records_);
  }

private:
  // Sends all requests that are due by now, so that a stall of the process doesn't lower the rate.
  void SendDueRequests()
  {
    const auto elapsed = std::chrono::duration<double>(Now() - startedAt_).count();
    const auto due = static_cast<std::size_t>(elapsed * settings_.rate_);
    while (sent_ < std::min(due, settings_.requests_)) {
      SendNext([] {});
    }
    if (sent_ >= settings_.requests_) {
      return;
    }
    sendTimer_.expires_after(milliseconds(1));
    sendTimer_.async_wait([this](boost::system::error_code) { SendDueRequests(); });
  }

  void RunWorker()
  {
    SendNext([this] { RunWorker(); });
  }

  void SendNext(std::function<void()> aDone)
  {
    if (sent_ >= settings_.requests_) {
      return;
    }
    const auto number = sent_++;
    const auto& stream = settings_.streams_[number % settings_.streams_.size()];
    const auto key =
      "key-" + std::to_string(absl::Uniform<std::size_t>(random_, 0, settings_.keys_));
    Send(stream, key, settings_.prefix_ + std::to_string(number), std::move(aDone));
  }

  bool IsFinished() const { return sent_ >= settings_.requests_; }

  void Probe(std::size_t aProbe)
  {
    if (IsFinished()) {
      return;
    }
    const auto& stream = settings_.streams_[aProbe % settings_.streams_.size()];
    auto repeatable = stream;
    repeatable.isRepeatable_ = true;
    const auto id = settings_.prefix_ + "probe-" + std::to_string(++probes_);
    Send(repeatable, "probe-" + std::to_string(aProbe), id, [this, aProbe] {
      auto timer = std::make_shared<boost::asio::steady_timer>(context_, settings_.probeInterval_);
      timer->async_wait([this, aProbe, timer](boost::system::error_code) { Probe(aProbe); });
    });
  }

  std::string MakeBody(const std::string& aId) const
  {
    std::string body = aId + " ";
    body.resize(std::max(body.size(), settings_.bodyBytes_), 'b');
    return body;
  }

  HttpRequest MakeRequest(const LoadSettings::Stream& aStream,
                          const CallerRecord& aRecord,
                          const std::string& aKey,
                          const std::string& aBody) const
  {
    HttpRequest request;
    request.method_ = "POST";
    request.body_ = std::make_shared<const std::string>(aBody);
    if (settings_.isDirect_) {
      request.target_ = "/work/" + EncodeSegment(aKey);
      request.headers_ = { { std::string(kRequestIdHeader), aRecord.requestId_ },
                           { std::string(kGroupHeader), aStream.group_ } };
      return request;
    }
    request.target_ =
      "/v1/services/" + EncodeSegment(aStream.service_) + "/keys/" + EncodeSegment(aKey);
    request.headers_ = {
      { std::string(kCallerGroupHeader), aStream.group_ },
      { std::string(kCallerRequestIdHeader), aRecord.requestId_ },
      { std::string(kCallerRepeatableHeader), aStream.isRepeatable_ ? "true" : "false" },
      { std::string(kCallerDeadlineHeader),
        std::to_string(duration_cast<milliseconds>(settings_.deadline_).count()) }
    };
    return request;
  }

  void Send(const LoadSettings::Stream& aStream,
            const std::string& aKey,
            const std::string& aId,
            std::function<void()> aDone)
  {
    CallerRecord record;
    record.requestId_ = aId;
    record.service_ = aStream.service_;
    record.hash_ = HashKey(aKey);
    record.isRepeatable_ = aStream.isRepeatable_;
    record.startedAt_ = Now();
    const auto body = MakeBody(aId);
    SendTo(MakeRequest(aStream, record, aKey, body),
           record,
           "key=" + aKey + " request=" + aId + " body=" + std::to_string(HashKey(body)) + " ",
           { nextTarget_++ % settings_.targets_.size(), settings_.targets_.size() },
           std::move(aDone));
  }

  // Target of the next attempt of a request, and how many targets are left, this one included.
  struct TargetChoice
  {
    std::size_t index_;
    std::size_t remaining_;
  };

  // Simulates the platform's load balancer: if a target refuses the connection, no byte was sent
  // and the request goes to the next target, at most once to each.
  void SendTo(HttpRequest aRequest,
              const CallerRecord& aRecord,
              const std::string& aExpected,
              TargetChoice aTarget,
              std::function<void()> aDone)
  {
    client_->Send(settings_.targets_[aTarget.index_],
                  aRequest,
                  settings_.deadline_ + kTimeoutSlack,
                  [this, aRequest, aRecord, aExpected, aTarget, done = std::move(aDone)](
                    const HttpExchange& aExchange) mutable {
                    if (aExchange.end_ == ExchangeEnd::NotSent && aTarget.remaining_ > 1) {
                      const auto next = (aTarget.index_ + 1) % settings_.targets_.size();
                      SendTo(std::move(aRequest),
                             aRecord,
                             aExpected,
                             { next, aTarget.remaining_ - 1 },
                             std::move(done));
                      return;
                    }
                    RecordResult(aRecord, aExpected, aExchange);
                    done();
                  });
  }

  void RecordResult(CallerRecord aRecord,
                    const std::string& aExpected,
                    const HttpExchange& aExchange)
  {
    aRecord.endedAt_ = Now();
    const auto& response = aExchange.response_;
    const auto outcome = kRequestOutcomeNames.ValueOf(response.Header(kOutcomeHeader));
    const bool isDirectAnswer = settings_.isDirect_ && response.Header(kNotRunHeader).empty();
    if (aExchange.end_ == ExchangeEnd::NotSent) {
      aRecord.outcome_ = RequestOutcome::NotRun;
    } else if (aExchange.end_ == ExchangeEnd::Broken) {
      aRecord.outcome_ = RequestOutcome::Unknown;
    } else if (settings_.isDirect_) {
      aRecord.outcome_ = isDirectAnswer ? RequestOutcome::Answered : RequestOutcome::NotRun;
    } else {
      aRecord.outcome_ = outcome.value_or(RequestOutcome::Unknown);
    }
    aRecord.reason_ = kReasonNames.ValueOf(response.Header(kReasonHeader)).value_or(Reason::None);
    if (aRecord.outcome_ == RequestOutcome::Answered) {
      aRecord.isMatchingAnswer_ = response.body_ && response.body_->starts_with(aExpected);
    }
    records_.push_back(std::move(aRecord));
  }

  boost::asio::io_context& context_;
  const LoadSettings& settings_;
  std::unique_ptr<HttpClient> client_;
  absl::BitGen random_;
  boost::asio::steady_timer sendTimer_;
  Instant startedAt_{ 0 };
  std::size_t sent_ = 0;
  std::size_t probes_ = 0;
  std::size_t nextTarget_ = 0;
  std::vector<CallerRecord> records_;
};

} // namespace

std::vector<CallerRecord>
RunLoad(boost::asio::io_context& aContext, const LoadSettings& aSettings)
{
  return LoadGenerator(aContext, aSettings).Run();
}

} // namespace latchslip
