#include "LibNet/CallerProtocol.h"
#include "LibNet/ServerProtocol.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

constexpr Instant kNow = seconds(50);

HttpRequest
GoodRequest()
{
  HttpRequest request;
  request.method_ = "POST";
  request.target_ = "/v1/services/rates/keys/hotel%2F7";
  request.headers_ = { { "Latchslip-Group", "web" },
                       { "latchslip-deadline-ms", "250" },
                       { "Latchslip-Request-Id", "r-1" } };
  request.body_ = std::make_shared<const std::string>("body");
  return request;
}

TEST(CallerRequest, ValidRequest_EveryPartIsRead)
{
  const auto request = ParseCallerRequest(kNow, GoodRequest());
  ASSERT_TRUE(request);
  EXPECT_EQ(request.value().service_, "rates");
  EXPECT_EQ(request.value().key_, "hotel/7");
  EXPECT_EQ(request.value().group_, "web");
  EXPECT_EQ(request.value().requestId_, "r-1");
  EXPECT_FALSE(request.value().isRepeatable_);
  EXPECT_EQ(request.value().deadline_, kNow + milliseconds(250));
}

struct BadRequest
{
  std::string name_;
  std::string target_;
  HttpHeader header_;
  std::string field_;
};

class BadCallerRequest : public testing::TestWithParam<BadRequest>
{};

TEST_P(BadCallerRequest, Parsed_ErrorNamesThePart)
{
  auto request = GoodRequest();
  const auto& bad = GetParam();
  if (!bad.target_.empty()) {
    request.target_ = bad.target_;
  }
  if (!bad.header_.first.empty()) {
    std::erase_if(request.headers_, [&](const auto& aHeader) {
      return FindHeader({ aHeader }, bad.header_.first).data() != nullptr;
    });
    request.headers_.push_back(bad.header_);
  }
  const auto result = ParseCallerRequest(kNow, request);
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().field_, bad.field_);
}

INSTANTIATE_TEST_SUITE_P(
  Parts,
  BadCallerRequest,
  testing::Values(
    BadRequest{ "WrongPath", "/v2/rates", {}, "path" },
    BadRequest{ "NoKey", "/v1/services/rates/keys/", {}, "key" },
    BadRequest{ "BadEscape", "/v1/services/rates/keys/%zz", {}, "key" },
    BadRequest{ "LongKey", "/v1/services/rates/keys/" + std::string(2000, 'k'), {}, "key" },
    BadRequest{ "NoGroup", "", { "Latchslip-Group", "" }, "Latchslip-Group" },
    BadRequest{ "BadDeadline", "", { "Latchslip-Deadline-Ms", "soon" }, "Latchslip-Deadline-Ms" },
    BadRequest{ "FarDeadline",
                "",
                { "Latchslip-Deadline-Ms", "99999999" },
                "Latchslip-Deadline-Ms" },
    BadRequest{ "Repeatable", "", { "Latchslip-Repeatable", "maybe" }, "Latchslip-Repeatable" },
    BadRequest{ "LongId",
                "",
                { "Latchslip-Request-Id", std::string(300, 'i') },
                "Latchslip-Request-Id" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

TEST(CallerResponse, NotRun_HasRetryAfterHeaders)
{
  const auto response = MakeCallerResponse(MakeNotRun(Reason::QueueFull, milliseconds(1200)));
  EXPECT_EQ(response.status_, 429U);
  EXPECT_EQ(response.Header("Latchslip-Outcome"), "not-run");
  EXPECT_EQ(response.Header("Latchslip-Retry-After-Ms"), "1200");
  EXPECT_EQ(response.Header("Retry-After"), "2");
}

TEST(CallerResponse, Unknown_IsNotReportedAsNotRun)
{
  const auto response = MakeCallerResponse(MakeUnknown(Reason::ConnectionBroken));
  EXPECT_EQ(response.status_, 502U);
  EXPECT_EQ(response.Header("Latchslip-Outcome"), "unknown");
}

TEST(WorkReply, AnswerIsForOtherWork_CountsAsBroken)
{
  WorkCommand command;
  command.id_ = 5;
  HttpResponse response;
  response.headers_ = { { std::string(kWorkHeader), "4" } };
  EXPECT_EQ(ToWorkReply(command, response).outcome_, WorkOutcome::Broken);
  response.headers_[0].second = "5";
  EXPECT_EQ(ToWorkReply(command, response).outcome_, WorkOutcome::Answered);
}

TEST(GrantProtocol, WrittenAndReadAgain_IsEqual)
{
  GrantCommand command;
  command.service_ = "rates";
  command.fence_ = ~std::uint64_t{ 0 };
  command.generation_ = 3;
  command.bootId_ = 4;
  command.validUntil_ = 123456789;
  command.ranges_ = { { 0, 10 }, { 500, ~KeyHash{ 0 } } };
  const auto read = ParseGrantRequest(*MakeGrantRequest(command).body_);
  ASSERT_TRUE(read);
  EXPECT_EQ(read.value().fence_, command.fence_);
  EXPECT_EQ(read.value().validUntil_, command.validUntil_);
  EXPECT_EQ(read.value().ranges_, command.ranges_);
}

} // namespace

} // namespace latchslip
