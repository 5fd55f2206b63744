#include "DispatcherFixture.h"

namespace latchslip {

namespace {

TEST_F(DispatcherOfAService, ServerIsFree_PermitIsIssuedAtOnce)
{
  Put("s1");
  EXPECT_EQ(PermittedTo(Request()), "s1");
}

TEST_F(DispatcherOfAService, SlotsAreInUse_OneRequestQueuesAtTheServerAndOthersHere)
{
  Put("s1");
  const auto first = Request();
  Request();
  EXPECT_EQ(PermittedTo(Request()), "s1") << "it queues at the server for a slot";
  const auto waiting = Request();
  EXPECT_TRUE(IsAnswered<PermitDelay>(waiting));
  EXPECT_EQ(PermittedTo(waiting), "");
  End(first);
  EXPECT_EQ(PermittedTo(waiting), "s1");
}

TEST_F(DispatcherOfAService, WillNotBeInTime_IsDeniedAtOnceWithExpectedWait)
{
  Put("s1");
  for (int index = 0; index < 3; ++index) {
    Request();
  }
  std::vector<AttemptNumber> requests;
  for (int index = 0; index < 40; ++index) {
    requests.push_back(Request());
  }
  EXPECT_TRUE(IsAnswered<PermitDelay>(requests.front()));
  EXPECT_TRUE(IsAnswered<PermitDenial>(requests.back()));
  const auto* denial = std::get_if<PermitDenial>(&actions_.answers_.back().second);
  ASSERT_NE(denial, nullptr);
  EXPECT_GT(denial->wait_, milliseconds(100));
}

TEST_F(DispatcherOfAService, SeveralAreQueued_ServedByUrgencyThenByDeadline)
{
  Put("s1", "hall", 1);
  const auto first = Request();
  const auto second = Request();
  const auto relaxed = Request("", milliseconds(900), 1);
  const auto pressed = Request("", milliseconds(400), 1);
  const auto urgent = Request("", milliseconds(900), 0);
  End(first);
  EXPECT_EQ(PermittedTo(urgent), "s1");
  EXPECT_EQ(PermittedTo(pressed), "");
  End(second);
  EXPECT_EQ(PermittedTo(pressed), "s1");
  EXPECT_EQ(PermittedTo(relaxed), "");
}

TEST_F(DispatcherOfAService, ServerReportsThatItIsSlow_AnotherIsChosen)
{
  Put("s1", "hall", 8);
  Put("s2", "hall", 8);
  const auto first = Request();
  const auto second = Request();
  const auto slow = PermittedTo(first);
  End(first, SendResult::Answered, milliseconds(150), ServerStatus{ 0, 0, 8, 3 });
  End(second, SendResult::Answered, milliseconds(50), ServerStatus{ 0, 0, 8, 1 });
  for (int index = 0; index < 3; ++index) {
    EXPECT_NE(PermittedTo(Request()), slow);
  }
}

TEST_F(DispatcherOfAService, ServerReportsRequestsOfOthers_TheyUseItsSlots)
{
  Put("s1");
  End(Request(), SendResult::Answered, milliseconds(50), ServerStatus{ 2, 1, 2, 1 });
  const auto request = Request();
  EXPECT_EQ(PermittedTo(request), "");
  Pass(milliseconds(310));
  EXPECT_EQ(PermittedTo(request), "") << "it was denied once it could no longer be in time";
  EXPECT_EQ(PermittedTo(Request()), "s1") << "the report has expired";
}

TEST_F(DispatcherOfAService, ServerReportsIdleButAnswersAreOverdue_GetsNoMoreRequests)
{
  Put("s1");
  End(Request(), SendResult::Answered, milliseconds(50), ServerStatus{ 0, 0, 2, 1 });
  Pass(milliseconds(1));
  Request("", seconds(5));
  Pass(milliseconds(400));
  EXPECT_EQ(PermittedTo(Request()), "");
}

TEST_F(DispatcherOfAService, ServerWantsRestFromOneInstance_OnlyThatOneGetsNoPermitForIt)
{
  constexpr CallerId kOther = 2;
  Put("s1");
  dispatcher_.OnMessage(
    now_,
    kCaller,
    SendEnd{ Request(), SendResult::Shed, milliseconds(4), std::nullopt, seconds(3) });
  Pass(milliseconds(100));
  EXPECT_EQ(PermittedTo(Request()), "");
  const auto request = Request("", milliseconds(300), 1, kOther);
  Pass(milliseconds(10));
  EXPECT_EQ(PermittedTo(request), "s1");
  End(request, SendResult::Answered, milliseconds(50), std::nullopt, kOther);
  Pass(milliseconds(2950));
  EXPECT_EQ(PermittedTo(Request()), "s1");
}

// Guards against a dispatcher that issues more permits than a server's rate limit allows for all
// instances together.
TEST_F(DispatcherOfAService, ServerNamesARateLimit_AllTogetherGetNoMorePermits)
{
  constexpr double kLimit = 8;
  constexpr int kSeconds = 8;
  Put("s1");
  EndWithLimit(Request("s1"), kLimit);
  std::map<AttemptNumber, CallerId> open;
  int permitted = 0;
  for (int index = 0; index < kSeconds * 40; ++index) {
    const CallerId caller = kCaller + index % 2;
    open[Request("s1", milliseconds(300), 1, caller)] = caller;
    Pass(milliseconds(25));
    // Includes permits for requests that were queued.
    for (auto request = open.begin(); request != open.end();) {
      if (PermittedTo(request->first).empty()) {
        ++request;
        continue;
      }
      ++permitted;
      EndWithLimit(request->first, kLimit, request->second);
      request = open.erase(request);
    }
  }
  EXPECT_LE(permitted, kLimit * kSeconds + kLimit);
  EXPECT_GE(permitted, kLimit * (kSeconds - 1));
}

// Guards against requests that are delayed or denied because of one server's rate limit although
// other servers have capacity.
TEST_F(DispatcherOfAService, OneServerNamesARateLimit_OthersGetTheRequestsBeyondIt)
{
  Put("s1");
  Put("s2");
  EndWithLimit(Request("s1"), 1);
  int sentToLimited = 0;
  for (int index = 0; index < 100; ++index) {
    const auto request = Request();
    const auto server = PermittedTo(request);
    ASSERT_NE(server, "");
    sentToLimited += server == "s1" ? 1 : 0;
    EndWithLimit(request, server == "s1" ? 1 : kNoRateLimit);
    Pass(milliseconds(50));
  }
  EXPECT_LE(sentToLimited, 6);
}

// Guards against repeated permits for a leaving server, each of which is returned by an instance
// that already knows that the server is leaving.
TEST_F(DispatcherOfAService, PermitIsReturnedBecauseItsServerLeaves_LeavingIsReported)
{
  Put("s1");
  auto end = CancelledSend(Request());
  end.leavingIncarnation_ = 1700;
  dispatcher_.OnMessage(now_, kCaller, end);
  EXPECT_TRUE(actions_.leaving_.contains({ "s1", 1700 }));
}

TEST_F(DispatcherOfAService, ServerOfTheSameHallIsFree_IsPreferred)
{
  Put("a1", "other-hall");
  Put("b1", "hall");
  // Both get one request first as a probe, irrespective of their halls.
  End(Request());
  End(Request());
  for (int index = 0; index < 2; ++index) {
    EXPECT_EQ(PermittedTo(Request()), "b1");
  }
}

TEST_F(DispatcherOfAService, SameHallIsFull_OtherHallIsUsed)
{
  Put("a1", "other-hall");
  Put("b1", "hall");
  std::map<std::string, int> permits;
  for (int index = 0; index < 6; ++index) {
    ++permits[PermittedTo(Request())];
  }
  EXPECT_EQ(permits["a1"], 3);
  EXPECT_EQ(permits["b1"], 3);
}

TEST_F(DispatcherOfAService, HallIsDrained_QueuedAndNewRequestsAreSentElsewhere)
{
  Put("a1", "hall");
  Put("b1", "other-hall", 1);
  for (int index = 0; index < 5; ++index) {
    EXPECT_NE(PermittedTo(Request()), "");
  }
  const auto waiting = Request();
  directory_.DrainHall("hall");
  dispatcher_.OnDirectoryChanged(now_);
  Pass(milliseconds(10));
  EXPECT_EQ(PermittedTo(waiting), "");
  for (AttemptNumber number = 1; number <= 5; ++number) {
    End(number);
  }
  EXPECT_EQ(PermittedTo(waiting), "b1");
  EXPECT_EQ(PermittedTo(Request()), "b1");
  EXPECT_NE(PermittedTo(Request()), "a1");
}

TEST_F(DispatcherOfAService, ServerStartsSlowly_ItGetsItsRateFromAllTogether)
{
  Put("s1", "hall", 20, seconds(3));
  std::vector<Instant> sends;
  for (int index = 0; index < 3000; ++index) {
    const auto request = Request("", milliseconds(1), 1, 1 + static_cast<CallerId>(index % 7));
    if (!PermittedTo(request).empty()) {
      sends.push_back(now_);
      End(request,
          SendResult::Answered,
          milliseconds(1),
          std::nullopt,
          1 + static_cast<CallerId>(index % 7));
    }
    actions_.answers_.clear();
    Pass(milliseconds(1));
  }
  constexpr std::size_t kMaxSends = 5;
  for (std::size_t first = 0; first + kMaxSends < sends.size(); ++first) {
    EXPECT_GE(sends[first + kMaxSends] - sends[first], seconds(1));
  }
  EXPECT_GE(sends.size(), 15U);
}

TEST_F(DispatcherOfAService, KeyHasAnOwner_OnlyTheOwnerIsUsedAndExcessIsDenied)
{
  Put("s1");
  Put("s2");
  for (int index = 0; index < 3; ++index) {
    EXPECT_EQ(PermittedTo(Request("s1")), "s1");
  }
  std::vector<AttemptNumber> requests;
  for (int index = 0; index < 30; ++index) {
    requests.push_back(Request("s1"));
  }
  EXPECT_TRUE(IsAnswered<PermitDenial>(requests.back()));
  EXPECT_EQ(PermittedTo(Request("s2")), "s2") << "the keys of another owner are not blocked";
  // An unlisted server may be listed by the next directory update.
  const auto unlisted = Request("gone");
  EXPECT_TRUE(IsAnswered<PermitDelay>(unlisted));
  Pass(milliseconds(60));
  EXPECT_TRUE(IsAnswered<PermitDenial>(unlisted));
}

TEST_F(DispatcherOfAService, CallerIsGone_ItsSendsAndRequestsAreDropped)
{
  Put("s1", "hall", 1);
  Request("", milliseconds(300), 1, 7);
  Request("", milliseconds(300), 1, 7);
  Request("", milliseconds(300), 1, 7);
  const auto other = Request("", milliseconds(300), 1, 8);
  EXPECT_EQ(PermittedTo(other), "");
  dispatcher_.OnCallerGone(now_, 7);
  EXPECT_EQ(PermittedTo(other), "s1");
  EXPECT_EQ(dispatcher_.InFlight(), 1U);
  EXPECT_EQ(dispatcher_.Queued(), 0U);
}

TEST_F(DispatcherOfAService, EndIsNotReported_SendExpiresAfterTheClientsDeadline)
{
  Put("s1", "hall", 1);
  Request();
  Request();
  Pass(seconds(2));
  EXPECT_EQ(dispatcher_.InFlight(), 0U);
  EXPECT_EQ(PermittedTo(Request()), "s1");
}

TEST_F(DispatcherOfAService, NewCallerReportsSends_TheyUseSlots)
{
  Put("s1");
  for (AttemptNumber number = 900; number < 903; ++number) {
    dispatcher_.OnMessage(
      now_, 5, SendNotice{ number, "plain", "s1", milliseconds(20), milliseconds(500) });
  }
  const auto request = Request();
  EXPECT_EQ(PermittedTo(request), "");
  End(900, SendResult::Answered, milliseconds(50), std::nullopt, 5);
  EXPECT_EQ(PermittedTo(request), "s1");
}

TEST_F(DispatcherOfAService, MessagesAreRepeatedOrUnexpected_NothingIsCountedTwice)
{
  Put("s1");
  const auto request = Request();
  PermitRequest again;
  again.number_ = request;
  again.service_ = "plain";
  dispatcher_.OnMessage(now_, kCaller, again);
  EXPECT_EQ(dispatcher_.InFlight(), 1U);
  End(request);
  End(request);
  End(12345);
  dispatcher_.OnMessage(now_, kCaller, PermitWithdrawal{ 777 });
  EXPECT_EQ(dispatcher_.InFlight(), 0U);
  EXPECT_EQ(PermittedTo(Request()), "s1");
}

TEST_F(DispatcherOfAService, UnknownService_IsDenied)
{
  PermitRequest request;
  request.number_ = 5;
  request.service_ = "nobody";
  dispatcher_.OnMessage(now_, kCaller, request);
  EXPECT_TRUE(IsAnswered<PermitDenial>(5));
}

TEST_F(DispatcherOfAService, ServerJoins_IsProbedThoughOthersAreFree)
{
  Put("s1", "hall", 8);
  for (int index = 0; index < 10; ++index) {
    End(Request(), SendResult::Answered, milliseconds(1));
  }
  Put("z9", "other-hall", 1);
  EXPECT_EQ(PermittedTo(Request()), "z9");
}

// Guards against refusals of which nobody can tell whether the servers are full or suspended.
TEST_F(DispatcherOfAService, InstanceCannotConnect_SuspensionIsRecordedWithTheInstance)
{
  Put("s1");
  End(Request(), SendResult::NotReached);
  ASSERT_EQ(actions_.suspensions_.size(), 1U);
  EXPECT_EQ(actions_.suspensions_[0], (std::pair<std::string, CallerId>("s1", kCaller)));
}

TEST_F(DispatcherOfAService, LateRequestsAreServedWithSpareCapacity_WaitBoundGrows)
{
  Put("s1", "hall", 1);
  const auto waits = [&] {
    const auto first = Request();
    const auto late = Request("", Duration(-1));
    const bool isWaiting = IsAnswered<PermitDelay>(late);
    Pass(milliseconds(49));
    End(first);
    End(late);
    return isWaiting;
  };
  EXPECT_TRUE(waits());
  for (int index = 0; index < 60; ++index) {
    waits();
  }
  Request();
  const auto late = Request("", Duration(-1));
  Pass(milliseconds(200));
  EXPECT_FALSE(IsAnswered<PermitDenial>(late));
}

} // namespace

} // namespace latchslip
