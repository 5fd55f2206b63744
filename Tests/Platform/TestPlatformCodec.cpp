#include "platform/PlatformCodec.h"

#include <gtest/gtest.h>

namespace latchslip::platform {

namespace {

HttpRequest
MakeClientRequest()
{
  HttpRequest request;
  request.method_ = "POST";
  request.target_ = "/puka/2?x=1";
  request.headers_ = { { "Host", "a.example" },
                       { "X-Request-Id", "r1" },
                       { "X-Deadline-Ms", "600" },
                       { "Connection", "keep-alive" },
                       { "Transfer-Encoding", "chunked" },
                       { "X-Other", "1" },
                       { "X-Other", "2" },
                       { "X-Shard-Key", "4096" } };
  request.body_ = std::make_shared<const std::string>("body");
  return request;
}

class AttemptCodec : public testing::Test
{
protected:
  AttemptOutcome Decode(unsigned aStatus, std::vector<HttpHeader> aHeaders) const
  {
    HttpExchange exchange;
    exchange.end_ = ExchangeEnd::Complete;
    exchange.response_.status_ = aStatus;
    exchange.response_.headers_ = std::move(aHeaders);
    return codec_.DecodeAttempt(command_, exchange);
  }

  AttemptOutcome DecodeEnd(ExchangeEnd aEnd) const
  {
    HttpExchange exchange;
    exchange.end_ = aEnd;
    return codec_.DecodeAttempt(command_, exchange);
  }

  unsigned StatusOf(RefusalReason aReason, bool aIsNotRun) const
  {
    return codec_.EncodeRefusal({}, { aReason, aIsNotRun, milliseconds(125) }).status_;
  }

  const PlatformCodec codec_;
  const AttemptCommand command_{ 1, 1, "i-1", "10.0.0.1:80", milliseconds(345) };
};

TEST_F(AttemptCodec, ClientRequest_IsDecodedForRouting)
{
  const auto request = codec_.DecodeRequest(7, MakeClientRequest());
  EXPECT_EQ(request.number_, 7U);
  EXPECT_EQ(request.id_, "r1");
  EXPECT_EQ(request.host_, "a.example");
  EXPECT_EQ(request.path_, "/puka/2?x=1");
  EXPECT_EQ(request.key_, 4096U);
  EXPECT_EQ(request.timeLeft_, milliseconds(600));
}

TEST_F(AttemptCodec, KeyOrDeadlineIsMalformed_CountsAsAbsent)
{
  auto request = MakeClientRequest();
  request.headers_ = { { "X-Shard-Key", "70000" }, { "X-Deadline-Ms", "soon" } };
  const auto read = codec_.DecodeRequest(1, request);
  EXPECT_FALSE(read.key_);
  EXPECT_FALSE(read.timeLeft_);
}

TEST_F(AttemptCodec, RequestIsForwarded_OnlyHopByHopDeadlineAndServerHeadersDiffer)
{
  const auto attempt = codec_.EncodeAttempt(MakeClientRequest(), command_);
  EXPECT_EQ(attempt.method_, "POST");
  EXPECT_EQ(attempt.target_, "/puka/2?x=1");
  EXPECT_EQ(*attempt.body_, "body");
  EXPECT_EQ(attempt.Header("X-Deadline-Ms"), "345");
  EXPECT_EQ(attempt.Header("X-Expect-Instance"), "i-1");
  EXPECT_EQ(attempt.Header("Host"), "a.example");
  EXPECT_TRUE(attempt.Header("Connection").empty());
  EXPECT_TRUE(attempt.Header("Transfer-Encoding").empty());
  EXPECT_EQ(std::count_if(attempt.headers_.begin(),
                          attempt.headers_.end(),
                          [](const HttpHeader& aHeader) { return aHeader.first == "X-Other"; }),
            2);
}

TEST_F(AttemptCodec, ApiKey_SchemeIsCaseInsensitive)
{
  HttpRequest request;
  request.headers_ = { { "authorization", "bearer key1" } };
  EXPECT_EQ(codec_.DecodeRequest(1, request).apiKey_, "key1");
  request.headers_ = { { "Authorization", "Basic key1" } };
  EXPECT_EQ(codec_.DecodeRequest(1, request).apiKey_, "");
  request.headers_ = { { "Authorization", "Bearer" } };
  EXPECT_EQ(codec_.DecodeRequest(1, request).apiKey_, "");
}

TEST_F(AttemptCodec, ApiKeyIsHidden_ServerReceivesOnlyTheGroup)
{
  auto request = MakeClientRequest();
  request.headers_.emplace_back("authorization", "Bearer key1");
  request.headers_.emplace_back("x-tenant", "another");
  auto command = command_;
  command.group_ = "yefi";
  command.hidesApiKey_ = true;
  const auto attempt = codec_.EncodeAttempt(request, command);
  EXPECT_EQ(attempt.Header("X-Tenant"), "yefi");
  EXPECT_TRUE(attempt.Header("Authorization").empty());
  command.group_ = "";
  EXPECT_TRUE(codec_.EncodeAttempt(request, command).Header("X-Tenant").empty());
  // Without groups the gateway does not use the header and passes it on.
  EXPECT_EQ(codec_.EncodeAttempt(request, command_).Header("Authorization"), "Bearer key1");
}

TEST_F(AttemptCodec, ServerAnnouncesLeaving_IsReadFromAnyAnswerOfTheExpectedIncarnation)
{
  EXPECT_TRUE(
    Decode(200, { { "Server-Leaving", "1" }, { "X-Response-Signature", "s" } }).isLeaving_);
  EXPECT_TRUE(Decode(503, { { "server-leaving", "1" }, { "X-Not-Executed", "1" } }).isLeaving_);
  EXPECT_TRUE(Decode(421, { { "Server-Leaving", "1" }, { "X-Instance-Id", "i-1" } }).isLeaving_);
  EXPECT_FALSE(Decode(421, { { "Server-Leaving", "1" }, { "X-Instance-Id", "i-2" } }).isLeaving_);
  EXPECT_FALSE(Decode(500, { { "Server-Leaving", "0" } }).isLeaving_);
  EXPECT_FALSE(Decode(500, {}).isLeaving_);
}

TEST_F(AttemptCodec, RetryAfter_IsReadAsBackoffInSeconds)
{
  EXPECT_EQ(Decode(503, { { "Retry-After", "3" }, { "X-Not-Executed", "1" } }).backoff_,
            seconds(3));
  EXPECT_EQ(Decode(503, { { "Retry-After", "0.25" } }).backoff_, milliseconds(250));
  EXPECT_EQ(Decode(503, { { "Retry-After", "99999999" } }).backoff_, seconds(600));
  EXPECT_FALSE(Decode(500, { { "Retry-After", "3" } }).backoff_);
  EXPECT_FALSE(Decode(503, {}).backoff_);
  for (const auto* text :
       { "", "0", "-1", "soon", "3 s", "nan", "inf", "Wed, 21 Oct 2026 07:28 GMT" }) {
    EXPECT_FALSE(Decode(503, { { "Retry-After", text } }).backoff_) << text;
  }
}

TEST_F(AttemptCodec, RateLimit_IsReadFromAnyAnswerOfTheExpectedIncarnation)
{
  EXPECT_EQ(Decode(500, { { "Server-Limit", "8.7" } }).rateLimit_, 8.7);
  EXPECT_EQ(Decode(503, { { "server-limit", "12" }, { "X-Not-Executed", "1" } }).rateLimit_, 12);
  EXPECT_EQ(Decode(421, { { "Server-Limit", "3" }, { "X-Instance-Id", "i-1" } }).rateLimit_, 3);
  EXPECT_FALSE(Decode(421, { { "Server-Limit", "3" }, { "X-Instance-Id", "i-2" } }).rateLimit_);
}

TEST_F(AttemptCodec, RateLimitIsMissing_MeansNoneUnlessMalformed)
{
  EXPECT_EQ(Decode(500, {}).rateLimit_, kNoRateLimit);
  EXPECT_FALSE(Decode(421, { { "X-Instance-Id", "i-1" } }).rateLimit_);
  for (const auto* text : { "-1", "few", "3 a second", "nan", "inf", "1e3", "8,7" }) {
    EXPECT_FALSE(Decode(500, { { "Server-Limit", text } }).rateLimit_) << text;
  }
}

TEST_F(AttemptCodec, ApiKeyAndLimitRefusals_HaveTheirOwnStatus)
{
  EXPECT_EQ(StatusOf(RefusalReason::UnknownApiKey, true), 401U);
  EXPECT_EQ(StatusOf(RefusalReason::OverLimit, true), 429U);
  EXPECT_EQ(StatusOf(RefusalReason::ApiKeysUnproven, true), 503U);
  const Refusal overLimit{ RefusalReason::OverLimit, true, milliseconds(125) };
  EXPECT_EQ(codec_.EncodeRefusal({}, overLimit).Header("Retry-After"), "0.125");
}

TEST_F(AttemptCodec, SuccessWithSignature_IsAnAnswer)
{
  EXPECT_EQ(Decode(200, { { "X-Response-Signature", "s" } }).end_, AttemptEnd::Answered);
}

TEST_F(AttemptCodec, SuccessWithoutSignature_IsBroken)
{
  EXPECT_EQ(Decode(200, {}).end_, AttemptEnd::Broken);
}

TEST_F(AttemptCodec, ServerError_IsAnAnswerAndMayHaveRun)
{
  EXPECT_EQ(Decode(500, {}).end_, AttemptEnd::Answered);
  EXPECT_EQ(Decode(503, {}).end_, AttemptEnd::Answered);
}

TEST_F(AttemptCodec, ServerSaysNotRun_IsNotRun)
{
  EXPECT_EQ(Decode(503, { { "X-Not-Executed", "1" } }).end_, AttemptEnd::NotRun);
  EXPECT_EQ(Decode(429, { { "x-not-executed", "1" } }).end_, AttemptEnd::NotRun);
}

TEST_F(AttemptCodec, Misdirected_DistinguishesOtherIncarnationFromWrongOwner)
{
  const auto owner = Decode(421, { { "X-Instance-Id", "i-1" }, { "X-Not-Executed", "1" } });
  EXPECT_EQ(owner.end_, AttemptEnd::WrongServer);
  EXPECT_FALSE(owner.isOtherIncarnation_);
  EXPECT_TRUE(Decode(421, { { "X-Instance-Id", "i-2" } }).isOtherIncarnation_);
}

TEST_F(AttemptCodec, ExchangeFails_SentAndNotSentAreDistinguished)
{
  EXPECT_EQ(DecodeEnd(ExchangeEnd::NotSent).end_, AttemptEnd::NotSent);
  EXPECT_EQ(DecodeEnd(ExchangeEnd::Broken).end_, AttemptEnd::Broken);
}

TEST_F(AttemptCodec, RefusalStatus_SaysNotRunOnlyWhenCertain)
{
  EXPECT_EQ(StatusOf(RefusalReason::NoCapacity, true), 503U);
  EXPECT_EQ(StatusOf(RefusalReason::NoConfiguration, true), 503U);
  EXPECT_EQ(StatusOf(RefusalReason::NoRoute, true), 404U);
  EXPECT_EQ(StatusOf(RefusalReason::OutcomeUnknown, false), 502U);
  EXPECT_EQ(StatusOf(RefusalReason::OutOfTime, false), 504U);
}

TEST_F(AttemptCodec, RefusedAsNotRun_HasRetryAfterInSeconds)
{
  RoutedRequest request;
  request.id_ = "r1";
  const auto response =
    codec_.EncodeRefusal(request, { RefusalReason::NoOwner, true, milliseconds(125) });
  EXPECT_EQ(response.Header("Retry-After"), "0.125");
  EXPECT_EQ(response.Header("X-Request-Id"), "r1");
  const auto unknown =
    codec_.EncodeRefusal(request, { RefusalReason::OutcomeUnknown, false, milliseconds(125) });
  EXPECT_TRUE(unknown.Header("Retry-After").empty());
}

TEST_F(AttemptCodec, AnswerIsForwarded_HopByHopHeadersAreDropped)
{
  HttpResponse answer;
  answer.headers_ = { { "Connection", "close" },
                      { "Keep-Alive", "timeout=5" },
                      { "Content-Type", "text/plain" },
                      { "X-Response-Signature", "s" } };
  const auto passed = codec_.EncodeAnswer(answer);
  EXPECT_EQ(passed.headers_.size(), 2U);
  EXPECT_TRUE(passed.contentType_.empty());
}

class CommandCodec : public testing::Test
{
protected:
  CommandStatus Decode(unsigned aStatus, std::vector<HttpHeader> aHeaders = {}) const
  {
    HttpExchange exchange;
    exchange.end_ = ExchangeEnd::Complete;
    exchange.response_.status_ = aStatus;
    exchange.response_.headers_ = std::move(aHeaders);
    return codec_.DecodeCommand(command_, exchange).end_;
  }

  const PlatformCodec codec_;
  KeyCommand command_{ 1, "i-1", "10.0.0.1:80", 4096, 8191, 12, false, "warm", milliseconds(4000) };
};

TEST_F(CommandCodec, Grant_EncodesKeysFenceLeaseAndHandover)
{
  const auto request = codec_.EncodeCommand(command_);
  EXPECT_EQ(request.target_, "/api/grant");
  EXPECT_EQ(*request.body_,
            R"({"from":4096,"targetVersion":8191,"fence":12,"holdMs":4000,"handover":"warm"})");
}

TEST_F(CommandCodec, Release_EncodesKeysAndFence)
{
  command_.isRelease_ = true;
  const auto request = codec_.EncodeCommand(command_);
  EXPECT_EQ(request.target_, "/api/release");
  EXPECT_EQ(*request.body_, R"({"from":4096,"targetVersion":8191,"fence":12})");
}

TEST_F(CommandCodec, Answers_DetermineTheCommandStatus)
{
  EXPECT_EQ(Decode(200), CommandStatus::Done);
  EXPECT_EQ(Decode(409), CommandStatus::HigherFence);
  EXPECT_EQ(Decode(421, { { "X-Instance-Id", "i-2" } }), CommandStatus::OtherIncarnation);
  // The expected incarnation is running, so it may hold the keys.
  EXPECT_EQ(Decode(421, { { "X-Instance-Id", "i-1" } }), CommandStatus::Unanswered);
  EXPECT_EQ(Decode(421), CommandStatus::OtherIncarnation);
  EXPECT_EQ(Decode(400, { { "X-Not-Executed", "1" } }), CommandStatus::Malformed);
  EXPECT_EQ(Decode(400), CommandStatus::Unanswered);
  EXPECT_EQ(Decode(200, { { "X-Instance-Id", "i-2" } }), CommandStatus::OtherIncarnation);
  EXPECT_EQ(Decode(500), CommandStatus::Unanswered);
  EXPECT_EQ(Decode(503, { { "X-Not-Executed", "1" } }), CommandStatus::NotSent);
}

TEST_F(CommandCodec, ServerAnnouncesLeaving_IsIgnoredFromOtherIncarnation)
{
  HttpExchange exchange;
  exchange.end_ = ExchangeEnd::Complete;
  exchange.response_.status_ = 200;
  exchange.response_.headers_ = { { "Server-Leaving", "1" } };
  EXPECT_TRUE(codec_.DecodeCommand(command_, exchange).isLeaving_);
  exchange.response_.headers_.emplace_back("X-Instance-Id", "i-2");
  EXPECT_FALSE(codec_.DecodeCommand(command_, exchange).isLeaving_);
}

TEST_F(CommandCodec, NoAnswer_OnlyASentCommandMayTakeEffectLater)
{
  HttpExchange exchange;
  exchange.end_ = ExchangeEnd::Broken;
  EXPECT_EQ(codec_.DecodeCommand(command_, exchange).end_, CommandStatus::Unanswered);
  exchange.end_ = ExchangeEnd::NotSent;
  EXPECT_EQ(codec_.DecodeCommand(command_, exchange).end_, CommandStatus::NotSent);
  exchange.isRefused_ = true;
  EXPECT_EQ(codec_.DecodeCommand(command_, exchange).end_, CommandStatus::Refused);
}

TEST_F(AttemptCodec, LoadReport_IsReadWithOrWithoutServiceTime)
{
  EXPECT_EQ(
    Decode(200, { { "X-Response-Signature", "s" }, { "X-Server-Load", "3,1,4,250" } }).server_,
    (ServerStatus{ 3, 1, 4, 2.5 }));
  EXPECT_EQ(Decode(500, { { "X-Server-Load", "3,0,8" } }).server_, (ServerStatus{ 3, 0, 8, 1 }));
}

TEST_F(AttemptCodec, LoadReportIsMissingOrMalformed_IsIgnored)
{
  for (const auto* text : { "",
                            "3",
                            "3,0",
                            "a,b,c,d",
                            "3,0,4,",
                            "-1,0,4,100",
                            "3,0,4,0",
                            "3,0,4,100,7",
                            "99999999999999999999,0,4,100",
                            "3,0,4,1000000000",
                            "3;0;4;100" }) {
    EXPECT_FALSE(
      Decode(200, { { "X-Response-Signature", "s" }, { "X-Server-Load", text } }).server_)
      << text;
  }
  EXPECT_FALSE(Decode(200, { { "X-Response-Signature", "s" } }).server_);
  EXPECT_FALSE(Decode(200, { { "X-Server-Load", "3,0,4,100" } }).server_) << "not signed";
}

} // namespace

} // namespace latchslip::platform
