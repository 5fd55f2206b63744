#include "RecordingActions.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

// A route that is not repeatable, to one server with one slot.
class RouterOfAnEndingInstance : public testing::Test
{
protected:
  RouterOfAnEndingInstance()
  {
    directory_.Put(now_, { "s1", "plain", "s1:80", "hall", 1, false, 1 });
    RoutingConfiguration configuration;
    configuration.version_ = 1;
    configuration.services_ = { { "plain", 100, false } };
    Route route;
    route.host_ = "a.example";
    route.pathPrefix_ = "/write/";
    route.latencyTarget_ = milliseconds(900);
    route.timeLimit_ = kTimeLimit;
    route.maxAttempts_ = 2;
    route.targets_ = { { "plain", 1 } };
    configuration.routes_ = { route };
    router_.SetInstances(1);
    router_.SetRoutes(
      now_, std::make_shared<const RouteTable>(RouteTable::Create(configuration).value()));
  }

  RequestNumber SendRequest(Duration aTimeLeft = kTimeLimit)
  {
    RoutedRequest request;
    request.number_ = ++lastRequest_;
    request.host_ = "a.example";
    request.path_ = "/write/";
    request.timeLeft_ = aTimeLeft;
    router_.OnRequest(now_, std::move(request));
    return lastRequest_;
  }

  std::size_t Sends() const { return actions_.sent_.size(); }

  bool IsRefusedAsNotRun(RequestNumber aRequest) const
  {
    const auto refusal = actions_.refused_.find(aRequest);
    return refusal != actions_.refused_.end() && refusal->second.isNotRun_;
  }

  static constexpr Duration kTimeLimit = seconds(1);
  // A little longer than a request with the whole time limit takes at most.
  static constexpr Duration kEnough = milliseconds(1030);

  Instant now_ = seconds(100);
  RequestNumber lastRequest_ = 0;
  NullEventSink events_;
  RecordingActions actions_;
  ServerDirectory directory_;
  NullPermitSource permits_;
  GatewayRouter router_{ { "hall", { 1, 100, seconds(10) }, 1 },
                         directory_,
                         actions_,
                         permits_,
                         events_ };
};

TEST_F(RouterOfAnEndingInstance, RequestEndsBeforeIt_IsSent)
{
  router_.EndBy(now_, now_ + kEnough);
  const auto request = SendRequest();
  EXPECT_EQ(Sends(), 1U);
  EXPECT_FALSE(actions_.refused_.contains(request));
}

TEST_F(RouterOfAnEndingInstance, CallersTimeIsShorterThanTheRoutes_CallersCounts)
{
  router_.EndBy(now_, now_ + milliseconds(500));
  SendRequest(milliseconds(400));
  EXPECT_EQ(Sends(), 1U);
}

TEST_F(RouterOfAnEndingInstance, RequestMayOutlastIt_IsRefusedAtOnceForASoonReturn)
{
  router_.EndBy(now_, now_ + kTimeLimit);
  const auto request = SendRequest();
  EXPECT_EQ(Sends(), 0U);
  ASSERT_TRUE(IsRefusedAsNotRun(request));
  EXPECT_EQ(actions_.refused_.at(request).reason_, RefusalReason::Stopping);
  EXPECT_EQ(actions_.refused_.at(request).retryAfter_, milliseconds(50));
  EXPECT_EQ(router_.InFlight(), 0U);
}

TEST_F(RouterOfAnEndingInstance, OneIsUnderWayAndOneWaits_OnlyTheWaitingOneIsRefused)
{
  std::vector<RequestNumber> requests;
  while (Sends() == requests.size()) {
    requests.push_back(SendRequest());
    ASSERT_LT(requests.size(), 50U);
  }
  const auto sends = Sends();
  router_.EndBy(now_, now_ + milliseconds(900));
  EXPECT_TRUE(IsRefusedAsNotRun(requests.back()));
  EXPECT_EQ(router_.InFlight(), sends);
  EXPECT_EQ(Sends(), sends);
  EXPECT_TRUE(actions_.cancelled_.empty());
}

TEST_F(RouterOfAnEndingInstance, ServerDidNotRunARequestThatMayOutlastIt_IsNotSentAgain)
{
  const auto request = SendRequest();
  ASSERT_EQ(Sends(), 1U);
  router_.EndBy(now_, now_ + milliseconds(900));
  AttemptOutcome outcome;
  outcome.end_ = AttemptEnd::NotRun;
  router_.OnAttemptEnded(now_, actions_.sent_.back().number_, outcome);
  EXPECT_EQ(Sends(), 1U);
  EXPECT_TRUE(IsRefusedAsNotRun(request));
}

// The path to the server is cut, and there is another one.
class RouterOfAnEndingInstanceWithRelay : public RouterOfAnEndingInstance
{
protected:
  RouterOfAnEndingInstanceWithRelay()
  {
    paths_.SetPeers({ { "peer:1", { "hall", 1 } } });
    router_.SetPaths(paths_);
    request_ = SendRequest();
  }

  void EndUnsent()
  {
    AttemptOutcome outcome;
    outcome.end_ = AttemptEnd::NotSent;
    outcome.path_ = PathResult::Unreachable;
    router_.OnAttemptEnded(now_, actions_.sent_.back().number_, outcome);
  }

  ServerPaths paths_{ "hall", 1, events_ };
  RequestNumber request_ = 0;
};

TEST_F(RouterOfAnEndingInstanceWithRelay, RequestEndsBeforeIt_IsSentOnTheOtherPath)
{
  router_.EndBy(now_, now_ + kEnough);
  EndUnsent();
  ASSERT_EQ(Sends(), 2U);
  EXPECT_EQ(actions_.sent_.back().relay_, "peer:1");
}

TEST_F(RouterOfAnEndingInstanceWithRelay, RequestMayOutlastIt_IsNotSentOnTheOtherPath)
{
  router_.EndBy(now_, now_ + milliseconds(900));
  EndUnsent();
  EXPECT_EQ(Sends(), 1U);
  EXPECT_TRUE(IsRefusedAsNotRun(request_));
}

TEST_F(RouterOfAnEndingInstance, AnswerComes_IsDelivered)
{
  const auto request = SendRequest();
  router_.EndBy(now_, now_ + milliseconds(900));
  AttemptOutcome outcome;
  outcome.end_ = AttemptEnd::Answered;
  outcome.status_ = 200;
  router_.OnAttemptEnded(now_, actions_.sent_.back().number_, outcome);
  EXPECT_EQ(actions_.delivered_, std::vector<RequestNumber>{ request });
}

TEST_F(RouterOfAnEndingInstance, RequestWaitsForAConfiguration_IsRefused)
{
  GatewayRouter router{ { "hall", {}, 1 }, directory_, actions_, permits_, events_ };
  RoutedRequest request;
  request.number_ = 77;
  request.timeLeft_ = kTimeLimit;
  router.OnRequest(now_, request);
  router.EndBy(now_, now_ + milliseconds(900));
  EXPECT_TRUE(IsRefusedAsNotRun(77));
}

} // namespace

} // namespace latchslip
