#include "../CountingEventSink.h"
#include "LibGateway/GatewayRouter.h"
#include "RecordingActions.h"

#include <gtest/gtest.h>
#include <set>

namespace latchslip {

namespace {

// Routes "/read/" (repeatable, lowest priority) and "/write/" (not repeatable), both to "plain";
// "/key/" to the keyed service; "/split/" to two services.
class RouterOfThreeServers : public testing::Test
{
protected:
  RouterOfThreeServers()
  {
    for (const auto* id : { "p1", "p2", "p3" }) {
      PutServer(id, "plain");
    }
    for (const auto* id : { "k1", "k2" }) {
      PutServer(id, "keyed");
    }
    PutServer("o1", "other");
    RoutingConfiguration configuration;
    configuration.version_ = 1;
    configuration.services_ = { { "plain", 100, false },
                                { "keyed", 100, true },
                                { "other", 100, false } };
    configuration.routes_ = { MakeRoute("/read/", true, 2, { { "plain", 1 } }),
                              MakeRoute("/write/", false, 0, { { "plain", 1 } }),
                              MakeRoute("/key/", true, 1, { { "keyed", 1 } }),
                              MakeRoute("/split/", true, 1, { { "plain", 90 }, { "other", 10 } }) };
    router_.SetInstances(1);
    router_.SetRoutes(
      now_, std::make_shared<const RouteTable>(RouteTable::Create(configuration).value()));
    router_.SetOwnership(now_,
                         { "keyed", 2, { { 0, 99, "k1", 1, "" }, { 100, 199, "k2", 2, "" } } });
    // Earns some retry budget.
    for (int index = 0; index < 100; ++index) {
      const auto number = SendRequest("/read/warm");
      Answer(number, 200);
    }
    actions_ = {};
  }

  static Route MakeRoute(const std::string& aPrefix,
                         bool aIsRepeatable,
                         unsigned aPriority,
                         std::vector<RouteTarget> aTargets)
  {
    Route route;
    route.host_ = "a.example";
    route.pathPrefix_ = aPrefix;
    route.isRepeatable_ = aIsRepeatable;
    route.priority_ = aPriority;
    route.latencyTarget_ = milliseconds(200);
    route.timeLimit_ = milliseconds(500);
    route.maxAttempts_ = 2;
    route.targets_ = std::move(aTargets);
    return route;
  }

  void PutServer(const std::string& aId, const std::string& aService, bool aIsLeaving = false)
  {
    directory_.Put(now_, { aId, aService, aId + ":80", "hall", 4, aIsLeaving, ++revision_ });
  }

  RequestNumber SendRequest(const std::string& aPath,
                            std::optional<KeyNumber> aKey = std::nullopt,
                            Duration aTimeLeft = milliseconds(400))
  {
    RoutedRequest request;
    request.number_ = ++lastRequest_;
    request.host_ = "a.example";
    request.path_ = aPath;
    request.key_ = aKey;
    request.timeLeft_ = aTimeLeft;
    router_.OnRequest(now_, std::move(request));
    return lastRequest_;
  }

  // The last send of a request.
  const AttemptCommand& SendOf(RequestNumber aRequest) const
  {
    const auto send =
      std::find_if(actions_.sent_.rbegin(),
                   actions_.sent_.rend(),
                   [&](const AttemptCommand& aCommand) { return aCommand.request_ == aRequest; });
    return *send;
  }

  std::size_t SendsOf(RequestNumber aRequest) const
  {
    return static_cast<std::size_t>(std::count_if(
      actions_.sent_.begin(), actions_.sent_.end(), [&](const AttemptCommand& aCommand) {
        return aCommand.request_ == aRequest;
      }));
  }

  void End(RequestNumber aRequest,
           AttemptEnd aEnd,
           unsigned aStatus = 0,
           bool aIsOtherIncarnation = false)
  {
    router_.OnAttemptEnded(
      now_, SendOf(aRequest).number_, { aEnd, aStatus, aIsOtherIncarnation, std::nullopt });
  }

  // The server refuses the request and requests a backoff.
  void RefuseWithBackoff(RequestNumber aRequest, Duration aBackoff)
  {
    auto outcome = OutcomeOf(AttemptEnd::NotRun, 503);
    outcome.backoff_ = aBackoff;
    router_.OnAttemptEnded(now_, SendOf(aRequest).number_, outcome);
  }

  // Answers, and advertises the server's rate limit in requests per second.
  void AnswerWithLimit(RequestNumber aRequest, double aRateLimit)
  {
    auto outcome = OutcomeOf(AttemptEnd::Answered, 200);
    outcome.rateLimit_ = aRateLimit;
    router_.OnAttemptEnded(now_, SendOf(aRequest).number_, outcome);
  }

  static AttemptOutcome OutcomeOf(AttemptEnd aEnd, unsigned aStatus)
  {
    AttemptOutcome outcome;
    outcome.end_ = aEnd;
    outcome.status_ = aStatus;
    return outcome;
  }

  void Answer(RequestNumber aRequest, unsigned aStatus)
  {
    End(aRequest, AttemptEnd::Answered, aStatus);
  }

  void Pass(Duration aTime)
  {
    const auto end = now_ + aTime;
    while (router_.NextTime() && *router_.NextTime() <= end) {
      now_ = std::max(now_, *router_.NextTime());
      router_.OnTime(now_);
    }
    now_ = end;
  }

  bool IsRefused(RequestNumber aRequest, RefusalReason aReason) const
  {
    const auto refusal = actions_.refused_.find(aRequest);
    return refusal != actions_.refused_.end() && refusal->second.reason_ == aReason;
  }

  Instant now_ = seconds(100);
  std::uint64_t revision_ = 0;
  RequestNumber lastRequest_ = 0;
  CountingEventSink events_;
  RecordingActions actions_;
  ServerDirectory directory_;
  NullPermitSource permits_;
  GatewayRouter router_{ { "hall", { 0.2, 0, seconds(10) }, 1 },
                         directory_,
                         actions_,
                         permits_,
                         events_ };
};

TEST_F(RouterOfThreeServers, KeyHasNoOwnerOrAFullOne_EachRequestIsCountedOnce)
{
  SendRequest("/key/x", 500);
  for (int index = 0; index < 40; ++index) {
    SendRequest("/key/x", 50);
  }
  ASSERT_LT(actions_.sent_.size(), 40U);
  EXPECT_EQ((actions_.keyCounts_[{ "keyed", 500 }]), 1);
  EXPECT_EQ((actions_.keyCounts_[{ "keyed", 50 }]), 40);
  SendRequest("/read/x", 50);
  EXPECT_EQ(actions_.keyCounts_.size(), 2U);
}

TEST_F(RouterOfThreeServers, RequestArrives_IsSentOnceWithTheTimeThatIsLeft)
{
  const auto request = SendRequest("/read/1");
  ASSERT_EQ(SendsOf(request), 1U);
  EXPECT_LE(SendOf(request).timeLeft_, milliseconds(400));
  EXPECT_GT(SendOf(request).timeLeft_, milliseconds(380));
  Answer(request, 200);
  EXPECT_EQ(actions_.delivered_, std::vector<RequestNumber>{ request });
}

TEST_F(RouterOfThreeServers, OneServerHasAnIdleConnection_IsPreferredUnlessBusy)
{
  int elsewhere = 0;
  for (int index = 0; index < 20; ++index) {
    actions_.connected_ = { "p2:80" };
    const auto first = SendRequest("/read/x");
    EXPECT_EQ(SendOf(first).server_, "p2");
    // Its connection is in use now, and one more request would need a second one.
    actions_.connected_.clear();
    const auto second = SendRequest("/read/x");
    elsewhere += SendOf(second).server_ == "p2" ? 0 : 1;
    Answer(first, 200);
    Answer(second, 200);
  }
  // The better of two drawn servers is used: one in nine times both draws are the busy one.
  EXPECT_GE(elsewhere, 14);
}

TEST_F(RouterOfThreeServers, RequestsEnd_AreCountedByRouteAndServer)
{
  const auto answered = SendRequest("/read/x");
  const auto server = SendOf(answered).server_;
  const auto before = router_.Statistics().Servers().at(server).front();
  Answer(answered, 200);
  SendRequest("/nowhere");
  const auto& routes = router_.Statistics().Routes();
  EXPECT_EQ(routes.at("a.example/read/").answers_.at(200), 101U);
  EXPECT_EQ(routes.at("-").refusals_.at(static_cast<std::size_t>(RefusalReason::NoRoute)), 1U);
  EXPECT_EQ(router_.Statistics().Servers().at(server).front(), before + 1);
  directory_.Remove(now_, server);
  now_ += seconds(30);
  directory_.Expire(now_);
  router_.OnDirectoryChanged(now_);
  EXPECT_FALSE(router_.Statistics().Servers().contains(server));
}

TEST_F(RouterOfThreeServers, RequestArrivesBeforeAConfiguration_WaitsBriefly)
{
  GatewayRouter router({ "hall", {}, 1 }, directory_, actions_, permits_, events_);
  const auto send = [&](RequestNumber aNumber) {
    RoutedRequest request;
    request.number_ = aNumber;
    request.host_ = "a.example";
    request.path_ = "/read/x";
    request.timeLeft_ = milliseconds(1000);
    router.OnRequest(now_, std::move(request));
  };
  send(7001);
  EXPECT_TRUE(actions_.refused_.empty());
  now_ += milliseconds(80);
  router.OnTime(now_);
  ASSERT_TRUE(actions_.refused_.contains(7001));
  EXPECT_EQ(actions_.refused_[7001].reason_, RefusalReason::NoConfiguration);
  EXPECT_TRUE(actions_.refused_[7001].isNotRun_);
  send(7002);
  send(7003);
  router.OnClientGone(now_, 7003);
  now_ += milliseconds(50);
  RoutingConfiguration configuration;
  configuration.version_ = 1;
  configuration.services_ = { { "plain", 100, false } };
  configuration.routes_ = { MakeRoute("/read/", true, 2, { { "plain", 1 } }) };
  router.SetRoutes(now_,
                   std::make_shared<const RouteTable>(RouteTable::Create(configuration).value()));
  EXPECT_EQ(SendsOf(7002), 1U);
  EXPECT_EQ(SendsOf(7003), 0U);
}

TEST_F(RouterOfThreeServers, OwnersAreUnknown_WaitsForThemOnlyAfterAStart)
{
  GatewayRouter router({ "hall", {}, 1 }, directory_, actions_, permits_, events_);
  RoutingConfiguration configuration;
  configuration.version_ = 1;
  configuration.services_ = { { "keyed", 100, true } };
  configuration.routes_ = { MakeRoute("/key/", true, 1, { { "keyed", 1 } }) };
  configuration.routes_.front().latencyTarget_ = milliseconds(400);
  router.SetRoutes(now_,
                   std::make_shared<const RouteTable>(RouteTable::Create(configuration).value()));
  const auto send = [&](GatewayRouter& aRouter, RequestNumber aNumber) {
    RoutedRequest request;
    request.number_ = aNumber;
    request.host_ = "a.example";
    request.path_ = "/key/x";
    request.key_ = 5;
    request.timeLeft_ = milliseconds(1000);
    aRouter.OnRequest(now_, std::move(request));
  };
  send(router, 7001);
  now_ += milliseconds(50);
  router.OnTime(now_);
  EXPECT_TRUE(actions_.refused_.empty());
  router.SetOwnership(now_, { "keyed", 1, { { 0, 99, "k1", 1, "" } } });
  EXPECT_EQ(SendsOf(7001), 1U);
  GatewayRouter another({ "hall", {}, 1 }, directory_, actions_, permits_, events_);
  another.SetRoutes(now_,
                    std::make_shared<const RouteTable>(RouteTable::Create(configuration).value()));
  now_ += seconds(1);
  send(another, 7002);
  EXPECT_TRUE(IsRefused(7002, RefusalReason::NoOwner));
}

TEST_F(RouterOfThreeServers, NoRouteMatches_IsRefusedAtOnce)
{
  EXPECT_TRUE(IsRefused(SendRequest("/nowhere/"), RefusalReason::NoRoute));
}

TEST_F(RouterOfThreeServers, RepeatableBreaks_IsTriedAtAnotherServer)
{
  const auto request = SendRequest("/read/1");
  const auto first = SendOf(request).server_;
  End(request, AttemptEnd::Broken);
  ASSERT_EQ(SendsOf(request), 2U);
  EXPECT_NE(SendOf(request).server_, first);
}

TEST_F(RouterOfThreeServers, NotRepeatableBreaks_IsNotRetriedAndItsOutcomeIsUnknown)
{
  const auto request = SendRequest("/write/1");
  End(request, AttemptEnd::Broken);
  EXPECT_EQ(SendsOf(request), 1U);
  ASSERT_TRUE(IsRefused(request, RefusalReason::OutcomeUnknown));
  EXPECT_FALSE(actions_.refused_[request].isNotRun_);
}

TEST_F(RouterOfThreeServers, NotRepeatableIsShed_IsTriedElsewhere)
{
  const auto request = SendRequest("/write/1");
  End(request, AttemptEnd::NotRun, 503);
  EXPECT_EQ(SendsOf(request), 2U);
}

TEST_F(RouterOfThreeServers, NotRepeatableFailsWithAServerError_ItsAnswerIsDelivered)
{
  const auto request = SendRequest("/write/1");
  Answer(request, 500);
  EXPECT_EQ(SendsOf(request), 1U);
  EXPECT_EQ(actions_.delivered_, std::vector<RequestNumber>{ request });
}

TEST_F(RouterOfThreeServers, RepeatableFailsEverywhere_StopsAtMaxAttemptsAndDeliversTheLastAnswer)
{
  const auto request = SendRequest("/read/1");
  Answer(request, 500);
  ASSERT_EQ(SendsOf(request), 2U);
  Answer(request, 500);
  EXPECT_EQ(SendsOf(request), 2U);
  EXPECT_EQ(actions_.delivered_, std::vector<RequestNumber>{ request });
}

TEST_F(RouterOfThreeServers, ShedEverywhere_IsRefusedAsNotRunWithARetryDelay)
{
  const auto request = SendRequest("/write/1");
  while (actions_.refused_.empty()) {
    if (router_.Waiting() == 0) {
      End(request, AttemptEnd::NotRun, 503);
    }
    Pass(milliseconds(10));
  }
  const auto& refusal = actions_.refused_[request];
  EXPECT_TRUE(refusal.isNotRun_);
  EXPECT_GT(refusal.retryAfter_, Duration(0));
  EXPECT_LE(refusal.retryAfter_, milliseconds(400) / 3);
}

// Of the target of 200 ms the answer itself is assumed to take 50, as long as no answer was seen.
TEST_F(RouterOfThreeServers, AllServersFull_WaitsWhileAnAnswerMayBeInTimeAndIsRefusedThen)
{
  while (router_.Waiting() == 0) {
    SendRequest("/read/fill");
  }
  const auto request = SendRequest("/write/1");
  Pass(milliseconds(149));
  EXPECT_TRUE(actions_.refused_.empty());
  Pass(milliseconds(2));
  EXPECT_TRUE(IsRefused(request, RefusalReason::NoCapacity));
  EXPECT_EQ(SendsOf(request), 0U);
}

TEST_F(RouterOfThreeServers, QueueTimeIsTooLong_IsRefusedAtOnceWithARetryDelay)
{
  // Answers of 150 ms leave 50 ms to wait.
  for (int index = 0; index < 60; ++index) {
    const auto request = SendRequest("/key/x", 5);
    now_ += milliseconds(150);
    Answer(request, 200);
  }
  while (router_.Waiting() == 0 && actions_.refused_.empty()) {
    SendRequest("/key/fill", 5);
  }
  const auto request = SendRequest("/key/x", 5);
  ASSERT_TRUE(IsRefused(request, RefusalReason::NoCapacity));
  EXPECT_EQ(SendsOf(request), 0U);
  EXPECT_TRUE(actions_.refused_[request].isNotRun_);
  EXPECT_GE(actions_.refused_[request].retryAfter_, milliseconds(50));
  EXPECT_LE(actions_.refused_[request].retryAfter_, milliseconds(400) / 3);
}

TEST_F(RouterOfThreeServers, ManyAreRefusedTogether_RetryDelaysHaveJitter)
{
  router_.SetOwnership(now_, { "keyed", 3, { { 0, 99, "k2", 3, "k1" } } });
  std::set<Duration> times;
  for (int index = 0; index < 20; ++index) {
    const auto request = SendRequest("/key/x", 5, seconds(4));
    times.insert(actions_.refused_.at(request).retryAfter_);
  }
  EXPECT_GT(times.size(), 10U);
}

// Most requests arrive with 400 ms left, so one with 150 ms was first tried longer ago than its
// latency target. It leaves half of the capacity to others, and waits only for a moment.
TEST_F(RouterOfThreeServers, RequestIsALateRetry_YieldsToRequestsThatCanBeInTime)
{
  std::size_t places = 0;
  while (SendsOf(SendRequest("/key/x", 5)) == 1) {
    ++places;
  }
  ASSERT_GE(places, 4U);
  const auto late = SendRequest("/key/x", 105, milliseconds(150));
  EXPECT_EQ(SendsOf(late), 1U);
  for (std::size_t count = 1; count < places / 2; ++count) {
    SendRequest("/key/x", 105);
  }
  const auto yielding = SendRequest("/key/x", 105, milliseconds(150));
  EXPECT_EQ(SendsOf(yielding), 0U);
  EXPECT_EQ(SendsOf(SendRequest("/key/x", 105)), 1U);
  Pass(milliseconds(51));
  EXPECT_TRUE(IsRefused(yielding, RefusalReason::NoCapacity));
}

TEST_F(RouterOfThreeServers, CapacityIsFreedWhileSomeWait_MostUrgentIsSentFirst)
{
  std::vector<RequestNumber> running;
  while (router_.Waiting() == 0) {
    running.push_back(SendRequest("/read/fill"));
  }
  const auto lastWaiting = running.back();
  const auto urgent = SendRequest("/write/1");
  Answer(running.front(), 200);
  EXPECT_EQ(SendsOf(urgent), 1U);
  EXPECT_EQ(SendsOf(lastWaiting), 0U);
}

TEST_F(RouterOfThreeServers, ServerIsLeaving_GetsNothingNew)
{
  PutServer("p1", "plain", true);
  PutServer("p2", "plain", true);
  router_.OnDirectoryChanged(now_);
  for (int index = 0; index < 4; ++index) {
    EXPECT_EQ(SendOf(SendRequest("/read/1")).server_, "p3");
  }
}

TEST_F(RouterOfThreeServers, ServerLeavesWhileARequestWaits_ItIsNotSentThere)
{
  std::vector<RequestNumber> running;
  while (router_.Waiting() == 0) {
    running.push_back(SendRequest("/read/fill"));
  }
  const auto waiting = running.back();
  const auto freed = SendOf(running.front()).server_;
  PutServer(freed, "plain", true);
  router_.OnDirectoryChanged(now_);
  Answer(running.front(), 200);
  EXPECT_EQ(SendsOf(waiting), 0U);
}

TEST_F(RouterOfThreeServers, KeyHasAnOwner_OnlyTheOwnerGetsIt)
{
  EXPECT_EQ(SendOf(SendRequest("/key/1", 5)).server_, "k1");
  EXPECT_EQ(SendOf(SendRequest("/key/1", 105)).server_, "k2");
}

TEST_F(RouterOfThreeServers, KeyIsMoving_WaitsAndIsSentToTheNewOwner)
{
  // A move that took 40 ms has been observed.
  router_.SetOwnership(now_, { "keyed", 3, { { 0, 99, "k2", 3, "k1" } } });
  Pass(milliseconds(40));
  router_.SetOwnership(now_, { "keyed", 3, { { 0, 99, "k2", 3, "" } } });
  router_.SetOwnership(now_, { "keyed", 4, { { 0, 99, "k1", 4, "k2" } } });
  const auto request = SendRequest("/key/1", 5);
  EXPECT_EQ(SendsOf(request), 0U);
  Pass(milliseconds(20));
  EXPECT_TRUE(actions_.refused_.empty());
  router_.SetOwnership(now_, { "keyed", 4, { { 0, 99, "k1", 4, "" } } });
  ASSERT_EQ(SendsOf(request), 1U);
  EXPECT_EQ(SendOf(request).server_, "k1");
}

// Such a move is blocked, for example on the grants of a silent server.
TEST_F(RouterOfThreeServers, KeyHasBeenMovingForLong_IsRefusedAtOnce)
{
  router_.SetOwnership(now_, { "keyed", 3, { { 0, 99, "k2", 3, "k1" } } });
  Pass(seconds(2));
  const auto request = SendRequest("/key/1", 5);
  EXPECT_TRUE(IsRefused(request, RefusalReason::NoOwner));
  EXPECT_GE(actions_.refused_[request].retryAfter_, milliseconds(110));
}

TEST_F(RouterOfThreeServers, UpdateOfTheEndOfAMoveIsMissed_NewOwnerIsTried)
{
  router_.SetUpdatesStale(true);
  router_.SetOwnership(now_, { "keyed", 3, { { 0, 99, "k2", 3, "k1" } } });
  Pass(milliseconds(300));
  router_.SetOwnership(now_,
                       { "keyed", 4, { { 0, 99, "k2", 3, "k1" }, { 100, 199, "k1", 4, "" } } });
  Pass(milliseconds(150));
  const auto request = SendRequest("/key/1", 5);
  ASSERT_EQ(SendsOf(request), 1U);
  EXPECT_EQ(SendOf(request).server_, "k2");
}

TEST_F(RouterOfThreeServers, MoveTakesLongButUpdatesArrive_NewOwnerIsNotTriedEarly)
{
  router_.SetOwnership(now_, { "keyed", 3, { { 0, 99, "k2", 3, "k1" } } });
  Pass(seconds(5));
  EXPECT_EQ(SendsOf(SendRequest("/key/1", 5)), 0U);
}

TEST_F(RouterOfThreeServers, KeyHasNoOwnerForLong_IsRefusedAsNotRun)
{
  const auto request = SendRequest("/key/1", 5000);
  Pass(milliseconds(50));
  EXPECT_TRUE(IsRefused(request, RefusalReason::NoOwner));
  EXPECT_TRUE(actions_.refused_[request].isNotRun_);
}

TEST_F(RouterOfThreeServers, OwnerDeniesOwnership_IsRetriedOnlyAfterADelay)
{
  for (int index = 0; index < 50; ++index) {
    Answer(SendRequest("/key/1", 5), 200);
  }
  const auto request = SendRequest("/key/1", 5);
  End(request, AttemptEnd::WrongServer, 421);
  EXPECT_EQ(SendsOf(request), 1U);
  Pass(milliseconds(35));
  EXPECT_EQ(SendsOf(request), 2U);
}

TEST_F(RouterOfThreeServers, NoAnswerUntilTheTimeLimit_IsCancelledAndRefused)
{
  const auto request = SendRequest("/read/1");
  Pass(milliseconds(450));
  EXPECT_TRUE(IsRefused(request, RefusalReason::OutOfTime));
  EXPECT_FALSE(actions_.refused_[request].isNotRun_);
  EXPECT_EQ(actions_.cancelled_.size(), 1U);
}

TEST_F(RouterOfThreeServers, ClientOfARepeatableDisconnects_AttemptIsCancelled)
{
  const auto request = SendRequest("/read/1");
  router_.OnClientGone(now_, request);
  EXPECT_EQ(actions_.cancelled_, std::vector<AttemptNumber>{ SendOf(request).number_ });
  EXPECT_EQ(router_.InFlight(), 0U);
}

TEST_F(RouterOfThreeServers, ClientOfANotRepeatableDisconnects_AttemptRunsToItsEnd)
{
  const auto request = SendRequest("/write/1");
  router_.OnClientGone(now_, request);
  EXPECT_TRUE(actions_.cancelled_.empty());
  Answer(request, 200);
  EXPECT_TRUE(actions_.delivered_.empty());
  EXPECT_EQ(router_.InFlight(), 0U);
}

TEST_F(RouterOfThreeServers, ClientDisconnectsWhileWaiting_NothingIsSent)
{
  while (router_.Waiting() == 0) {
    SendRequest("/read/fill");
  }
  const auto request = SendRequest("/write/1");
  router_.OnClientGone(now_, request);
  Answer(1 + lastRequest_ - 2, 200);
  EXPECT_EQ(SendsOf(request), 0U);
}

TEST_F(RouterOfThreeServers, RouteHasWeights_SharesAreExactOverShortRuns)
{
  std::size_t others = 0;
  for (int index = 0; index < 50; ++index) {
    const auto request = SendRequest("/split/1");
    others += SendOf(request).server_ == "o1" ? 1U : 0U;
    Answer(request, 200);
  }
  EXPECT_EQ(others, 5U);
}

TEST_F(RouterOfThreeServers, OneTargetOfASplitRouteIsFull_ItsRequestsAreRefusedAndNotRerouted)
{
  // The target with a tenth of the weight answers nothing; the other has capacity.
  constexpr int kRequests = 200;
  int toPlain = 0;
  for (int index = 0; index < kRequests; ++index) {
    const auto request = SendRequest("/split/x");
    if (SendsOf(request) == 1 && SendOf(request).server_ != "o1") {
      ++toPlain;
      Answer(request, 200);
    }
  }
  EXPECT_EQ(toPlain, kRequests * 9 / 10);
  const auto sent = actions_.sent_.size();
  ASSERT_LT(sent, static_cast<std::size_t>(kRequests));
  now_ += milliseconds(200);
  router_.OnTime(now_);
  EXPECT_EQ(actions_.sent_.size(), sent);
  EXPECT_EQ(actions_.refused_.size(), kRequests - sent);
  for (const auto& [request, refusal] : actions_.refused_) {
    EXPECT_TRUE(refusal.isNotRun_) << request;
  }
}

TEST_F(RouterOfThreeServers, AnotherIncarnationAnswers_AddressIsSuspended)
{
  const auto request = SendRequest("/read/1");
  const auto first = SendOf(request).server_;
  End(request, AttemptEnd::WrongServer, 421, true);
  for (int index = 0; index < 30; ++index) {
    const auto next = SendRequest("/read/1");
    EXPECT_NE(SendOf(next).server_, first);
    Answer(next, 200);
  }
}

TEST_F(RouterOfThreeServers, ServiceIsRemovedWhileRequestsWait_TheyAreRefused)
{
  while (router_.Waiting() == 0) {
    SendRequest("/read/fill");
  }
  const auto waiting = lastRequest_;
  RoutingConfiguration configuration;
  configuration.version_ = 2;
  configuration.services_ = { { "other", 100, false } };
  router_.SetRoutes(now_,
                    std::make_shared<const RouteTable>(RouteTable::Create(configuration).value()));
  for (const auto* id : { "p1", "p2", "p3" }) {
    directory_.Remove(now_, id);
  }
  directory_.Expire(now_ + seconds(1));
  router_.OnDirectoryChanged(now_);
  Pass(milliseconds(200));
  EXPECT_EQ(actions_.refused_.count(waiting), 1U);
}

TEST_F(RouterOfThreeServers, RetryBudgetIsExhausted_FailureIsFinal)
{
  std::size_t sends = 0;
  for (int index = 0; index < 100; ++index) {
    const auto request = SendRequest("/read/1");
    now_ += milliseconds(30);
    Answer(request, 500);
    sends += SendsOf(request);
    if (SendsOf(request) == 2) {
      Answer(request, 500);
    }
  }
  EXPECT_LT(sends, 145U);
}

TEST(GatewayRouter, NoConfigurationForAMoment_IsRefusedAsNotRun)
{
  NullEventSink events;
  RecordingActions actions;
  const ServerDirectory directory;
  NullPermitSource permits;
  GatewayRouter router({ "hall", {}, 1 }, directory, actions, permits, events);
  router.OnRequest(seconds(1), { 7, "id", "a.example", "/x/", {}, {} });
  ASSERT_TRUE(router.NextTime());
  EXPECT_LE(*router.NextTime(), seconds(1) + milliseconds(100));
  router.OnTime(*router.NextTime());
  ASSERT_EQ(actions.refused_.count(7), 1U);
  EXPECT_EQ(actions.refused_[7].reason_, RefusalReason::NoConfiguration);
  EXPECT_TRUE(actions.refused_[7].isNotRun_);
}

TEST_F(RouterOfThreeServers, HallIsDrained_NothingIsSentOrRetriedThere)
{
  auto elsewhere = *directory_.Find("p1");
  elsewhere.hall_ = "other-hall";
  directory_.Put(now_, elsewhere);
  directory_.DrainHall("hall");
  router_.OnDirectoryChanged(now_);
  for (int index = 0; index < 20; ++index) {
    const auto request = SendRequest("/read/x");
    EXPECT_EQ(SendOf(request).server_, "p1");
    End(request, AttemptEnd::NotRun, 503);
    EXPECT_EQ(SendOf(request).server_, "p1");
    now_ += milliseconds(100);
  }
  const auto keyed = SendRequest("/key/x", 50);
  EXPECT_EQ(SendsOf(keyed), 0U);
}

TEST_F(RouterOfThreeServers, ServersAreInSlowStart_EachGetsThisInstancesShareOfTheRate)
{
  RoutingConfiguration configuration;
  configuration.version_ = 2;
  configuration.services_ = { { "plain", 100, false, 5 } };
  configuration.routes_ = { MakeRoute("/read/", true, 2, { { "plain", 1 } }) };
  router_.SetInstances(10);
  for (const auto* id : { "p1", "p2" }) {
    auto record = *directory_.Find(id);
    record.slowStartLeft_ = seconds(3);
    directory_.Put(now_, record);
  }
  router_.SetRoutes(now_,
                    std::make_shared<const RouteTable>(RouteTable::Create(configuration).value()));
  std::map<std::string, int> sends;
  for (int index = 0; index < 300; ++index) {
    const auto request = SendRequest("/read/x");
    if (SendsOf(request) > 0) {
      ++sends[SendOf(request).server_];
      Answer(request, 200);
    }
    now_ += milliseconds(10);
  }
  EXPECT_LE(sends["p1"], 2);
  EXPECT_LE(sends["p2"], 2);
  EXPECT_GT(sends["p3"], 200);
}

TEST_F(RouterOfThreeServers, AnswerAnnouncesThatItsServerLeaves_IsPassedOn)
{
  const auto request = SendRequest("/write/1");
  AttemptOutcome outcome;
  outcome.end_ = AttemptEnd::Answered;
  outcome.status_ = 200;
  outcome.isLeaving_ = true;
  const auto server = SendOf(request).server_;
  router_.OnAttemptEnded(now_, SendOf(request).number_, outcome);
  EXPECT_TRUE(actions_.leaving_.contains({ server, 0 }));
  EXPECT_EQ(actions_.delivered_, std::vector<RequestNumber>{ request });
}

// Guards against sends to the owner of a key during the backoff that it requested.
TEST_F(RouterOfThreeServers, OwnerRequestsBackoff_IsSentNothingBeforeItsEnd)
{
  RefuseWithBackoff(SendRequest("/key/1", 5), seconds(3));
  actions_.sent_.clear();
  for (int index = 0; index < 28; ++index) {
    SendRequest("/key/1", 5);
    Pass(milliseconds(100));
  }
  EXPECT_TRUE(actions_.sent_.empty());
  Pass(milliseconds(300));
  SendRequest("/key/1", 5);
  EXPECT_EQ(actions_.sent_.size(), 1U);
}

// Guards against an instance without a dispatcher that sends an owner more than its share of the
// owner's rate limit.
TEST_F(RouterOfThreeServers, OwnerAdvertisesARateLimit_InstanceKeepsToItsShare)
{
  constexpr double kLimit = 10;
  constexpr std::size_t kInstances = 4;
  constexpr int kSeconds = 8;
  router_.SetInstances(kInstances);
  AnswerWithLimit(SendRequest("/key/1", 5), kLimit);
  actions_.sent_.clear();
  std::size_t sent = 0;
  for (int index = 0; index < kSeconds * 20; ++index) {
    SendRequest("/key/1", 5);
    Pass(milliseconds(50));
    while (sent < actions_.sent_.size()) {
      AnswerWithLimit(actions_.sent_[sent++].request_, kLimit);
    }
  }
  const auto part = static_cast<std::size_t>(kLimit) / kInstances * kSeconds;
  EXPECT_LE(sent, part + 1 + kSeconds / 2);
  EXPECT_GE(sent, part - 1);
}

// Guards against holding requests for a server that accepts the next one only seconds later.
TEST_F(RouterOfThreeServers, OwnerAdvertisesALowRateLimit_RequestsBeyondItAreRefusedAtOnce)
{
  router_.SetInstances(8);
  AnswerWithLimit(SendRequest("/key/1", 5), 0.5);
  AnswerWithLimit(SendRequest("/key/1", 5), 0.5);
  const auto request = SendRequest("/key/1", 5);
  ASSERT_TRUE(actions_.refused_.contains(request));
  EXPECT_EQ(actions_.refused_.at(request).reason_, RefusalReason::NoCapacity);
  EXPECT_TRUE(actions_.refused_.at(request).isNotRun_);
}

// Guards against a request that waits for its owner's rate limit and is not woken up while
// nothing else happens.
TEST_F(RouterOfThreeServers, OwnerAdvertisesARateLimit_WaitingRequestIsSentWhenATokenAccrues)
{
  AnswerWithLimit(SendRequest("/key/1", 5), 10);
  actions_.sent_.clear();
  Pass(milliseconds(50));
  const auto request = SendRequest("/key/1", 5);
  EXPECT_TRUE(actions_.sent_.empty());
  Pass(milliseconds(60));
  EXPECT_EQ(SendsOf(request), 1U);
}

// Guards against ignoring a rate limit where any server may have the request.
TEST_F(RouterOfThreeServers, OneServerAdvertisesARateLimit_OthersGetTheRequestsBeyondIt)
{
  const auto first = SendRequest("/read/1");
  const auto limited = SendOf(first).server_;
  AnswerWithLimit(first, 1);
  int atLimited = 0;
  for (int index = 0; index < 100; ++index) {
    const auto request = SendRequest("/read/1");
    ASSERT_EQ(SendsOf(request), 1U);
    const bool isLimited = SendOf(request).server_ == limited;
    atLimited += isLimited ? 1 : 0;
    AnswerWithLimit(request, isLimited ? 1 : kNoRateLimit);
    Pass(milliseconds(50));
  }
  EXPECT_LE(atLimited, 6);
}

// Guards against ignoring a backoff where any server may have the request.
TEST_F(RouterOfThreeServers, OneServerRequestsBackoff_OthersGetTheRequests)
{
  const auto first = SendRequest("/read/1");
  const auto resting = SendOf(first).server_;
  RefuseWithBackoff(first, seconds(3));
  actions_.sent_.clear();
  for (int index = 0; index < 50; ++index) {
    const auto request = SendRequest("/read/1");
    ASSERT_EQ(SendsOf(request), 1U);
    EXPECT_NE(SendOf(request).server_, resting);
    Answer(request, 200);
    Pass(milliseconds(50));
  }
}

// Guards against holding requests for a move that cannot happen while the store is unavailable.
TEST_F(RouterOfThreeServers, OwnerLeavesAndItsKeysDoNotMove_RequestsAreSoonRefusedAtOnce)
{
  // Moves usually take 50 ms, which is a useful wait.
  router_.SetOwnership(now_,
                       { "keyed", 3, { { 0, 99, "k1", 1, "" }, { 100, 199, "k2", 3, "k1" } } });
  Pass(milliseconds(50));
  router_.SetOwnership(now_, { "keyed", 3, { { 0, 99, "k1", 1, "" }, { 100, 199, "k2", 3, "" } } });
  directory_.RecordLeaving(now_, "k1", 0);
  router_.OnDirectoryChanged(now_);
  EXPECT_FALSE(actions_.refused_.contains(SendRequest("/key/1", 5)));
  Pass(seconds(1));
  const auto request = SendRequest("/key/1", 5);
  ASSERT_TRUE(actions_.refused_.contains(request));
  EXPECT_EQ(actions_.refused_.at(request).reason_, RefusalReason::NoOwner);
  EXPECT_TRUE(actions_.refused_.at(request).isNotRun_);
}

TEST_F(RouterOfThreeServers, ServerRequestsBackoffDuringOne_IsLoggedOnce)
{
  const auto first = SendRequest("/key/1", 5);
  const auto second = SendRequest("/key/1", 5);
  RefuseWithBackoff(first, seconds(3));
  RefuseWithBackoff(second, seconds(3));
  EXPECT_EQ(events_.CountOf(Event::ServerAskedForRest), 1);
}

TEST_F(RouterOfThreeServers, ServerAdvertisesARateLimit_ItsBeginAndItsEndAreLogged)
{
  for (const double limit : { 8.7, 8.2, kNoRateLimit, kNoRateLimit }) {
    AnswerWithLimit(SendRequest("/key/1", 5), limit);
    Pass(seconds(1));
  }
  EXPECT_EQ(events_.CountOf(Event::ServerLimitsRate), 2);
}

} // namespace

} // namespace latchslip
