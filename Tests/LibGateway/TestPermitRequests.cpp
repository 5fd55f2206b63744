#include "LibGateway/GatewayRouter.h"
#include "RecordingActions.h"

#include <gtest/gtest.h>
#include <set>

namespace latchslip {

namespace {

// Records permit requests and reports; the test answers them.
class RecordingPermitSource : public PermitSource
{
public:
  bool CanRequestPermit(const std::string&, const std::string&) const override
  {
    return isAvailable_;
  }
  Duration RemainingQuarantine(Instant, RequestFingerprint aFingerprint) const override
  {
    const auto quarantine = quarantines_.find(aFingerprint);
    return quarantine == quarantines_.end() ? Duration(0) : quarantine->second;
  }
  void RequestPermit(Instant, const PermitRequest& aRequest) override
  {
    permitRequests_.push_back(aRequest);
  }
  void Withdraw(AttemptNumber aNumber) override { withdrawn_.insert(aNumber); }
  void OnPermitTimeout(Instant, const std::string&, const std::string&) override
  {
    isAvailable_ = false;
  }
  void ReportSend(Instant, const SendNotice& aNotice) override { notices_.push_back(aNotice); }
  void ReportSendEnd(const SendEnd& aEnd) override { ends_.push_back(aEnd); }

  bool isAvailable_ = true;
  std::map<RequestFingerprint, Duration> quarantines_;
  std::vector<PermitRequest> permitRequests_;
  std::set<AttemptNumber> withdrawn_;
  std::vector<SendNotice> notices_;
  std::vector<SendEnd> ends_;
};

// An instance with a dispatcher: requests to "/plain/" may use any server of "plain", those to
// "/keyed/" need the owner of their key among the servers of "keyed".
class RouterWithADispatcher : public testing::Test
{
protected:
  RouterWithADispatcher() { StartWithRoutes(false); }

  void StartWithRoutes(bool aHasLargeBodies)
  {
    for (const auto* id : { "p1", "p2" }) {
      directory_.Put(now_, { id, "plain", std::string(id) + ":80", "hall", 4, false, 1 });
    }
    directory_.Put(now_, { "k1", "keyed", "k1:80", "hall", 4, false, 1 });
    auto& configuration = configuration_;
    configuration.version_ = 1;
    configuration.services_ = { { "plain", 100, false }, { "keyed", 100, true } };
    for (const auto* service : { "plain", "keyed" }) {
      Route route;
      route.host_ = "a.example";
      route.pathPrefix_ = std::string("/") + service + "/";
      route.isRepeatable_ = true;
      route.latencyTarget_ = milliseconds(200);
      route.timeLimit_ = milliseconds(500);
      route.maxAttempts_ = 2;
      route.hasLargeBodies_ = aHasLargeBodies;
      route.targets_ = { { service, 1 } };
      configuration.routes_.push_back(route);
    }
    router_.SetInstances(1);
    router_.SetRoutes(
      now_, std::make_shared<const RouteTable>(RouteTable::Create(configuration).value()));
    router_.SetOwnership(now_, { "keyed", 2, { { 0, 99, "k1", 1, "" } } });
  }

  void UseLoadManagement()
  {
    ++configuration_.version_;
    configuration_.routes_.front().hasLargeBodies_ = true;
    router_.SetRoutes(
      now_, std::make_shared<const RouteTable>(RouteTable::Create(configuration_).value()));
  }

  // Two requests for the same server, the second one when the first is answered after 100 ms, by an
  // instance of a large fleet without a dispatcher.
  void RequestTwiceWithoutPermits(const std::string& aPath, std::optional<KeyNumber> aKey)
  {
    router_.SetInstances(100);
    permits_.isAvailable_ = false;
    Request(aPath, aKey);
    Pass(milliseconds(100));
    AttemptOutcome outcome;
    outcome.end_ = AttemptEnd::Answered;
    outcome.status_ = 200;
    router_.OnAttemptEnded(now_, actions_.sent_.back().number_, outcome);
    Request(aPath, aKey);
  }

  static constexpr RequestFingerprint kPoison = 7;

  RequestNumber Request(const std::string& aPath,
                        std::optional<KeyNumber> aKey = std::nullopt,
                        RequestFingerprint aFingerprint = kNoFingerprint)
  {
    RoutedRequest request;
    request.number_ = ++lastRequest_;
    request.host_ = "a.example";
    request.path_ = aPath;
    request.key_ = aKey;
    request.timeLeft_ = milliseconds(400);
    request.fingerprint_ = aFingerprint;
    router_.OnRequest(now_, std::move(request));
    return lastRequest_;
  }

  void Permit(const std::string& aServer)
  {
    router_.OnPermit(now_, permits_.permitRequests_.back().number_, aServer);
  }

  // The server of the last send refuses the request and requests a backoff.
  void RefuseWithBackoff(Duration aBackoff)
  {
    AttemptOutcome outcome;
    outcome.end_ = AttemptEnd::NotRun;
    outcome.status_ = 503;
    outcome.backoff_ = aBackoff;
    router_.OnAttemptEnded(now_, actions_.sent_.back().number_, outcome);
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

  RoutingConfiguration configuration_;
  Instant now_ = seconds(100);
  RequestNumber lastRequest_ = 0;
  NullEventSink events_;
  RecordingActions actions_;
  RecordingPermitSource permits_;
  ServerDirectory directory_;
  GatewayRouter router_{ { "hall", { 0.2, 62, seconds(10) }, 1 },
                         directory_,
                         actions_,
                         permits_,
                         events_ };
};

TEST_F(RouterWithADispatcher, RequestArrives_IsSentWithThePermitAndItsEndIsReported)
{
  const auto request = Request("/plain/1");
  ASSERT_EQ(permits_.permitRequests_.size(), 1U);
  EXPECT_TRUE(actions_.sent_.empty());
  Permit("p2");
  ASSERT_EQ(actions_.sent_.size(), 1U);
  EXPECT_EQ(actions_.sent_[0].server_, "p2");
  now_ += milliseconds(30);
  const ServerStatus status{ 1, 0, 4, 2 };
  router_.OnAttemptEnded(
    now_, actions_.sent_[0].number_, { AttemptEnd::Answered, 200, false, status });
  EXPECT_EQ(actions_.delivered_, std::vector<RequestNumber>{ request });
  ASSERT_EQ(permits_.ends_.size(), 1U);
  EXPECT_EQ(
    permits_.ends_[0],
    (SendEnd{
      permits_.permitRequests_[0].number_, SendResult::Answered, milliseconds(30), status }));
  EXPECT_TRUE(permits_.notices_.empty());
}

// Guards against a dispatcher that goes on issuing permits for a former incarnation, whose record
// is listed again after the store was restored, while another one answers at its address.
TEST_F(RouterWithADispatcher, AnotherIncarnationAnswers_ServerIsReportedAsNotReached)
{
  Request("/plain/1");
  Permit("p1");
  router_.OnAttemptEnded(now_, actions_.sent_[0].number_, { AttemptEnd::WrongServer, 421, true });
  ASSERT_EQ(permits_.ends_.size(), 1U);
  EXPECT_EQ(permits_.ends_[0].result_, SendResult::NotReached);
}

TEST_F(RouterWithADispatcher, KeyHasAnOwner_PermitIsRequestedForTheOwner)
{
  Request("/keyed/1", 50);
  ASSERT_EQ(permits_.permitRequests_.size(), 1U);
  EXPECT_EQ(permits_.permitRequests_[0].server_, "k1");
  Request("/keyed/1", 500);
  EXPECT_EQ(permits_.permitRequests_.size(), 1U) << "nobody owns that key";
}

TEST_F(RouterWithADispatcher, OwnerRequestsBackoff_IsReportedToDispatcherAndNoPermitIsRequested)
{
  Request("/keyed/1", 50);
  Permit("k1");
  RefuseWithBackoff(seconds(3));
  ASSERT_EQ(permits_.ends_.size(), 1U);
  EXPECT_EQ(permits_.ends_[0].backoff_, seconds(3));
  const auto request = Request("/keyed/1", 50);
  EXPECT_EQ(permits_.permitRequests_.size(), 1U);
  ASSERT_TRUE(actions_.refused_.contains(request));
  EXPECT_TRUE(actions_.refused_[request].isNotRun_);
  Pass(seconds(3));
  Request("/keyed/1", 50);
  EXPECT_EQ(permits_.permitRequests_.size(), 2U);
}

// Guards against permits from a dispatcher that was not informed of the backoff, such as a new
// one.
TEST_F(RouterWithADispatcher, PermitIsForAServerInBackoff_IsReturnedWithTheRemainingBackoff)
{
  Request("/plain/1");
  Permit("p1");
  RefuseWithBackoff(seconds(3));
  permits_.ends_.clear();
  const auto sent = actions_.sent_.size();
  Permit("p1");
  EXPECT_EQ(actions_.sent_.size(), sent);
  ASSERT_EQ(permits_.ends_.size(), 1U);
  auto givenBack = CancelledSend(permits_.permitRequests_.back().number_);
  givenBack.backoff_ = seconds(3);
  EXPECT_EQ(permits_.ends_[0], givenBack);
  Pass(milliseconds(40));
  Permit("p2");
  ASSERT_EQ(actions_.sent_.size(), sent + 1);
  EXPECT_EQ(actions_.sent_.back().server_, "p2");
}

TEST_F(RouterWithADispatcher, PermitIsForALeavingServer_IsReturnedWithItsIncarnation)
{
  Request("/plain/1");
  directory_.RecordLeaving(now_, "p1", 0);
  router_.OnDirectoryChanged(now_);
  Permit("p1");
  EXPECT_TRUE(actions_.sent_.empty());
  ASSERT_EQ(permits_.ends_.size(), 1U);
  EXPECT_EQ(permits_.ends_[0].leavingIncarnation_, 0U);
}

TEST_F(RouterWithADispatcher, AnswerAnnouncesThatItsServerLeaves_IsReportedToDispatcher)
{
  Request("/plain/1");
  Permit("p1");
  AttemptOutcome outcome;
  outcome.end_ = AttemptEnd::Answered;
  outcome.status_ = 200;
  outcome.isLeaving_ = true;
  router_.OnAttemptEnded(now_, actions_.sent_.back().number_, outcome);
  ASSERT_EQ(permits_.ends_.size(), 1U);
  EXPECT_EQ(permits_.ends_[0].leavingIncarnation_, 0U);
}

TEST_F(RouterWithADispatcher, PermitIsDenied_IsRefusedAtOnceAsNotRun)
{
  const auto request = Request("/plain/1");
  router_.OnPermitDenied(now_, permits_.permitRequests_[0].number_, milliseconds(100));
  ASSERT_TRUE(actions_.refused_.contains(request));
  EXPECT_TRUE(actions_.refused_[request].isNotRun_);
  EXPECT_EQ(actions_.refused_[request].reason_, RefusalReason::NoCapacity);
  EXPECT_GE(actions_.refused_[request].retryAfter_, milliseconds(50));
}

// A router whose routes carry large bodies, so that load management is on. A caller with 500 ms
// left honours a wait of 150 ms.
class RouterUnderLoadManagement : public RouterWithADispatcher
{
protected:
  RouterUnderLoadManagement() { StartWithRoutes(true); }

  // What the client of a request is told whose permit is denied.
  Duration ToldAfterDenial(Duration aWait, bool aIsPromised)
  {
    const auto request = Request("/plain/1");
    router_.OnPermitDenied(now_, permits_.permitRequests_.back().number_, aWait, aIsPromised);
    return actions_.refused_.at(request).retryAfter_;
  }
};

// Guards against callers that miss the reserved moment because of a draw or a minimum.
TEST_F(RouterUnderLoadManagement, ReturnIsPromised_ClientIsToldTheWaitUnchanged)
{
  for (const auto wait : { milliseconds(10), milliseconds(100), milliseconds(140) }) {
    for (int repetition = 0; repetition < 5; ++repetition) {
      EXPECT_EQ(ToldAfterDenial(wait, true), wait);
    }
  }
}

// Guards against callers that are told to return in vain.
TEST_F(RouterUnderLoadManagement, WaitIsLongerThanHonoured_ClientIsToldItRoundedUp)
{
  EXPECT_EQ(ToldAfterDenial(microseconds(700100), false), milliseconds(701));
  EXPECT_EQ(ToldAfterDenial(seconds(3), false), seconds(3));
}

// Guards against unpromised returns that collide.
TEST_F(RouterUnderLoadManagement, WaitIsHonouredAndNotPromised_DrawStays)
{
  std::set<Duration> told;
  for (int repetition = 0; repetition < 10; ++repetition) {
    told.insert(ToldAfterDenial(milliseconds(100), false));
  }
  EXPECT_GT(told.size(), 1U);
  EXPECT_LE(*told.rbegin(), milliseconds(150));
}

// Guards against returns for a moved key that come all at once when it has an owner again.
TEST_F(RouterUnderLoadManagement, KeyHasNoOwner_ReturnsAreSpreadFromTheExpectedMomentOn)
{
  router_.SetOwnership(now_, { "keyed", 3, { { 0, 99, "k1", 2, "k0" } } });
  std::set<RequestNumber> requests;
  for (int index = 0; index < 20; ++index) {
    requests.insert(Request("/keyed/1", 50));
  }
  Pass(milliseconds(600));
  std::set<Duration> told;
  for (const auto request : requests) {
    ASSERT_TRUE(actions_.refused_.contains(request));
    EXPECT_EQ(actions_.refused_.at(request).reason_, RefusalReason::NoOwner);
    told.insert(actions_.refused_.at(request).retryAfter_);
  }
  EXPECT_GT(*told.rbegin() - *told.begin(), milliseconds(300));
  EXPECT_LE(*told.rbegin() - *told.begin(), seconds(1));
  EXPECT_GT(told.size(), 10U);
}

// Guards against a change for deployments that do not ask for load management.
TEST_F(RouterWithADispatcher, WaitIsLongerThanHonoured_ClientIsToldWhatItHonours)
{
  const auto request = Request("/plain/1");
  router_.OnPermitDenied(now_, permits_.permitRequests_[0].number_, seconds(3));
  EXPECT_LE(actions_.refused_.at(request).retryAfter_, milliseconds(150));
}

TEST_F(RouterWithADispatcher, DispatcherDoesNotAnswer_RequestIsSentWithoutPermitAndReported)
{
  Request("/plain/1");
  Pass(milliseconds(50));
  EXPECT_EQ(actions_.sent_.size(), 1U);
  EXPECT_TRUE(permits_.withdrawn_.contains(permits_.permitRequests_[0].number_));
  EXPECT_EQ(permits_.notices_.size(), 1U);
  Request("/plain/2");
  EXPECT_EQ(actions_.sent_.size(), 2U) << "it is not asked while it is silent";
}

TEST_F(RouterWithADispatcher, PermitArrivesTwice_IsUsedOnceAndReturnedOnce)
{
  Request("/plain/1");
  const auto number = permits_.permitRequests_[0].number_;
  router_.OnPermit(now_, number, "p1");
  router_.OnPermit(now_, number, "p2");
  EXPECT_EQ(actions_.sent_.size(), 1U);
  ASSERT_EQ(permits_.ends_.size(), 1U);
  EXPECT_EQ(permits_.ends_[0].result_, SendResult::Cancelled);
}

TEST_F(RouterWithADispatcher, PermitIsForAServerOfADrainedHall_IsReturned)
{
  Request("/plain/1");
  directory_.DrainHall("hall");
  router_.OnDirectoryChanged(now_);
  Permit("p1");
  EXPECT_TRUE(actions_.sent_.empty());
  ASSERT_EQ(permits_.ends_.size(), 1U);
  EXPECT_EQ(permits_.ends_[0].result_, SendResult::Cancelled);
}

TEST_F(RouterWithADispatcher, KeyMovedMeanwhile_PermitForItsFormerOwnerIsReturned)
{
  Request("/keyed/1", 50);
  router_.SetOwnership(now_, { "keyed", 3, { { 0, 99, "k2", 2, "k1" } } });
  Permit("k1");
  EXPECT_TRUE(actions_.sent_.empty());
  EXPECT_EQ(permits_.ends_.size(), 1U);
}

TEST_F(RouterWithADispatcher, AnnouncedPermitNeverArrives_IsRefusedWhenItWouldBeLate)
{
  const auto request = Request("/plain/1");
  router_.OnPermitDelayed(now_, permits_.permitRequests_[0].number_);
  Pass(milliseconds(150));
  EXPECT_FALSE(actions_.refused_.contains(request));
  Pass(milliseconds(150));
  EXPECT_TRUE(actions_.refused_.contains(request));
  EXPECT_TRUE(actions_.refused_[request].isNotRun_);
}

TEST_F(RouterWithADispatcher, ClientDisconnectsWhileItsRequestWaits_PermitRequestIsWithdrawn)
{
  const auto request = Request("/plain/1");
  router_.OnClientGone(now_, request);
  EXPECT_TRUE(permits_.withdrawn_.contains(permits_.permitRequests_[0].number_));
  Permit("p1");
  EXPECT_TRUE(actions_.sent_.empty());
}

TEST_F(RouterWithADispatcher, DispatcherIsGone_PermitIsRequestedAgain)
{
  Request("/plain/1");
  router_.OnPermitRequestLost(now_, permits_.permitRequests_[0].number_);
  ASSERT_EQ(permits_.permitRequests_.size(), 2U);
  Permit("p1");
  EXPECT_EQ(actions_.sent_.size(), 1U);
}

TEST_F(RouterWithADispatcher, ServerDidNotRunIt_AnotherPermitIsRequestedWithTheTriedServers)
{
  Request("/plain/1");
  Permit("p1");
  router_.OnAttemptEnded(
    now_, actions_.sent_[0].number_, { AttemptEnd::NotRun, 503, false, std::nullopt });
  ASSERT_EQ(permits_.permitRequests_.size(), 2U);
  EXPECT_EQ(permits_.permitRequests_[1].tried_, std::vector<std::string>{ "p1" });
}

TEST_F(RouterWithADispatcher, RequestIsQuarantined_IsRefusedAtOnceAsNotRunForThatLong)
{
  permits_.quarantines_[kPoison] = seconds(20);
  const auto request = Request("/plain/1", std::nullopt, kPoison);
  EXPECT_TRUE(permits_.permitRequests_.empty());
  ASSERT_TRUE(actions_.refused_.contains(request));
  EXPECT_EQ(actions_.refused_[request].reason_, RefusalReason::Quarantined);
  EXPECT_TRUE(actions_.refused_[request].isNotRun_);
  EXPECT_EQ(actions_.refused_[request].retryAfter_, seconds(20));
}

TEST_F(RouterWithADispatcher, RequestIsQuarantinedWhileItWaits_IsRefused)
{
  const auto request = Request("/plain/1", std::nullopt, kPoison);
  const auto other = Request("/plain/1", std::nullopt, kPoison + 1);
  permits_.quarantines_[kPoison] = seconds(20);
  router_.OnQuarantine(now_, kPoison);
  ASSERT_TRUE(actions_.refused_.contains(request));
  EXPECT_TRUE(actions_.refused_[request].isNotRun_);
  EXPECT_FALSE(actions_.refused_.contains(other));
  EXPECT_EQ(permits_.withdrawn_.size(), 1U);
}

TEST_F(RouterWithADispatcher, RequestIsQuarantinedWhenItsServerEnds_IsNotRetriedNorCalledNotRun)
{
  const auto request = Request("/plain/1", std::nullopt, kPoison);
  Permit("p1");
  permits_.quarantines_[kPoison] = seconds(20);
  AttemptOutcome outcome;
  outcome.end_ = AttemptEnd::Broken;
  outcome.isConnectionLost_ = true;
  router_.OnAttemptEnded(now_, actions_.sent_.back().number_, outcome);
  EXPECT_EQ(permits_.permitRequests_.size(), 1U);
  ASSERT_TRUE(actions_.refused_.contains(request));
  EXPECT_EQ(actions_.refused_[request].reason_, RefusalReason::OutcomeUnknown);
  EXPECT_FALSE(actions_.refused_[request].isNotRun_);
  EXPECT_TRUE(permits_.ends_.back().isConnectionLost_);
}

// Guards against answers that are late but seem in time, since only sends are counted.
TEST_F(RouterWithADispatcher, DispatcherAnswersTwice_OnlyTheFirstAnswerIsCounted)
{
  Request("/plain/");
  Pass(milliseconds(3));
  router_.OnPermitDelayed(now_, permits_.permitRequests_.back().number_);
  Pass(milliseconds(30));
  Permit("p1");
  const auto& counted = router_.Statistics().Permits().Services().at("plain");
  EXPECT_EQ(counted.firstAnswers_.Sum(), 3000);
  EXPECT_EQ(counted.unanswered_, 0U);
  EXPECT_EQ(counted.sendsWithoutPermit_, 0U);
}

TEST_F(RouterWithADispatcher, DispatcherDoesNotAnswer_RequestAndSendWithoutPermitAreCounted)
{
  Request("/plain/");
  Pass(milliseconds(50));
  const auto& counted = router_.Statistics().Permits().Services().at("plain");
  EXPECT_EQ(counted.firstAnswers_.Sum(), 0);
  EXPECT_EQ(counted.unanswered_, 1U);
  EXPECT_EQ(counted.sendsWithoutPermit_, 1U);
}

// Guards against the instances of a fleet that overload a server together while its dispatcher does
// not answer.
TEST_F(RouterWithADispatcher, LoadManagementWithoutAnAnswer_SendsOnlyWithinTheShareOfTheCapacity)
{
  UseLoadManagement();
  RequestTwiceWithoutPermits("/keyed/", 5);
  Pass(milliseconds(400));
  EXPECT_EQ(actions_.sent_.size(), 1U);
  ASSERT_TRUE(actions_.refused_.contains(lastRequest_));
  EXPECT_EQ(actions_.refused_.at(lastRequest_).reason_, RefusalReason::NoCapacity);
}

TEST_F(RouterWithADispatcher, LoadManagementIsOff_SendsWithoutAnAnswerByItsLearnedLimit)
{
  RequestTwiceWithoutPermits("/keyed/", 5);
  EXPECT_EQ(actions_.sent_.size(), 2U);
}

TEST_F(RouterWithADispatcher, ShareOfOneServerIsUsed_SendsToAnotherOne)
{
  UseLoadManagement();
  RequestTwiceWithoutPermits("/plain/", std::nullopt);
  ASSERT_EQ(actions_.sent_.size(), 2U);
  EXPECT_NE(actions_.sent_[0].server_, actions_.sent_[1].server_);
}

// Guards against a share that limits sends with a permit too.
TEST_F(RouterWithADispatcher, ShareIsUsedAndPermitArrives_IsSent)
{
  UseLoadManagement();
  router_.SetInstances(100);
  permits_.isAvailable_ = false;
  Request("/keyed/", 5);
  ASSERT_EQ(actions_.sent_.size(), 1U);
  permits_.isAvailable_ = true;
  Request("/keyed/", 5);
  Permit("k1");
  EXPECT_EQ(actions_.sent_.size(), 2U);
}

} // namespace

} // namespace latchslip
