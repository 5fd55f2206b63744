#include "DispatcherFixture.h"

namespace latchslip {

namespace {

TEST_F(DispatcherOfAService, ServerIsFree_PermitComesAtOnce)
{
  Put("s1");
  EXPECT_EQ(PermittedTo(Ask()), "s1");
}

TEST_F(DispatcherOfAService, SlotsAreTaken_OneMayWaitThereAndOthersWaitHere)
{
  Put("s1");
  const auto first = Ask();
  Ask();
  EXPECT_EQ(PermittedTo(Ask()), "s1") << "it waits at the server for a slot";
  const auto waiting = Ask();
  EXPECT_TRUE(IsAnswered<PermitDelay>(waiting));
  EXPECT_EQ(PermittedTo(waiting), "");
  End(first);
  EXPECT_EQ(PermittedTo(waiting), "s1");
}

TEST_F(DispatcherOfAService, WillNotBeInTime_IsDeniedAtOnceWithTheTimeUntilThereIsRoom)
{
  Put("s1");
  for (int index = 0; index < 3; ++index) {
    Ask();
  }
  std::vector<AttemptNumber> asks;
  for (int index = 0; index < 40; ++index) {
    asks.push_back(Ask());
  }
  EXPECT_TRUE(IsAnswered<PermitDelay>(asks.front()));
  EXPECT_TRUE(IsAnswered<PermitDenial>(asks.back()));
  const auto* denial = std::get_if<PermitDenial>(&actions_.answers_.back().second);
  ASSERT_NE(denial, nullptr);
  EXPECT_GT(denial->wait_, milliseconds(100));
}

TEST_F(DispatcherOfAService, SeveralWait_TheMostUrgentGoesFirstThenTheOneWithLeastTime)
{
  Put("s1", "hall", 1);
  const auto first = Ask();
  const auto second = Ask();
  const auto relaxed = Ask("", milliseconds(900), 1);
  const auto pressed = Ask("", milliseconds(400), 1);
  const auto urgent = Ask("", milliseconds(900), 0);
  End(first);
  EXPECT_EQ(PermittedTo(urgent), "s1");
  EXPECT_EQ(PermittedTo(pressed), "");
  End(second);
  EXPECT_EQ(PermittedTo(pressed), "s1");
  EXPECT_EQ(PermittedTo(relaxed), "");
}

TEST_F(DispatcherOfAService, ServerTellsThatItIsSlowNow_AnotherIsChosen)
{
  Put("s1", "hall", 8);
  Put("s2", "hall", 8);
  const auto first = Ask();
  const auto second = Ask();
  const auto slow = PermittedTo(first);
  End(first, SendResult::Answered, milliseconds(150), ServerStatus{ 0, 0, 8, 3 });
  End(second, SendResult::Answered, milliseconds(50), ServerStatus{ 0, 0, 8, 1 });
  for (int index = 0; index < 3; ++index) {
    EXPECT_NE(PermittedTo(Ask()), slow);
  }
}

TEST_F(DispatcherOfAService, ServerTellsOfOthersRequests_TheyTakeItsPlaces)
{
  Put("s1");
  End(Ask(), SendResult::Answered, milliseconds(50), ServerStatus{ 2, 1, 2, 1 });
  const auto ask = Ask();
  EXPECT_EQ(PermittedTo(ask), "");
  Pass(milliseconds(310));
  EXPECT_EQ(PermittedTo(ask), "") << "it was denied when it could not be in time any more";
  EXPECT_EQ(PermittedTo(Ask()), "s1") << "what was told so long ago holds no more";
}

TEST_F(DispatcherOfAService, ServerClaimsToBeIdleWhileItsAnswersAreOverdue_ItGetsNoMore)
{
  Put("s1");
  End(Ask(), SendResult::Answered, milliseconds(50), ServerStatus{ 0, 0, 2, 1 });
  Pass(milliseconds(1));
  Ask("", seconds(5));
  Pass(milliseconds(400));
  EXPECT_EQ(PermittedTo(Ask()), "");
}

TEST_F(DispatcherOfAService, ServerWantsRestFromOneInstance_OnlyThatOneGetsNoPermitForIt)
{
  constexpr CallerId kOther = 2;
  Put("s1");
  dispatcher_.OnMessage(
    now_, kCaller, SendEnd{ Ask(), SendResult::Shed, milliseconds(4), std::nullopt, seconds(3) });
  Pass(milliseconds(100));
  EXPECT_EQ(PermittedTo(Ask()), "");
  const auto ask = Ask("", milliseconds(300), 1, kOther);
  Pass(milliseconds(10));
  EXPECT_EQ(PermittedTo(ask), "s1");
  End(ask, SendResult::Answered, milliseconds(50), std::nullopt, kOther);
  Pass(milliseconds(2950));
  EXPECT_EQ(PermittedTo(Ask()), "s1");
}

// Guards against a dispatcher that permits more than a server takes from all instances.
TEST_F(DispatcherOfAService, ServerNamesARateLimit_AllTogetherGetNoMorePermits)
{
  constexpr double kLimit = 8;
  constexpr int kSeconds = 8;
  Put("s1");
  EndWithLimit(Ask("s1"), kLimit);
  std::map<AttemptNumber, CallerId> open;
  int permitted = 0;
  for (int index = 0; index < kSeconds * 40; ++index) {
    const CallerId caller = kCaller + index % 2;
    open[Ask("s1", milliseconds(300), 1, caller)] = caller;
    Pass(milliseconds(25));
    // Also those that waited.
    for (auto ask = open.begin(); ask != open.end();) {
      if (PermittedTo(ask->first).empty()) {
        ++ask;
        continue;
      }
      ++permitted;
      EndWithLimit(ask->first, kLimit, ask->second);
      ask = open.erase(ask);
    }
  }
  EXPECT_LE(permitted, kLimit * kSeconds + kLimit);
  EXPECT_GE(permitted, kLimit * (kSeconds - 1));
}

// Guards against requests that are held or refused for a server which takes few, though
// others take them.
TEST_F(DispatcherOfAService, OneServerNamesARateLimit_OthersGetTheRequestsBeyondIt)
{
  Put("s1");
  Put("s2");
  EndWithLimit(Ask("s1"), 1);
  int atLimited = 0;
  for (int index = 0; index < 100; ++index) {
    const auto ask = Ask();
    const auto server = PermittedTo(ask);
    ASSERT_NE(server, "");
    atLimited += server == "s1" ? 1 : 0;
    EndWithLimit(ask, server == "s1" ? 1 : kNoRateLimit);
    Pass(milliseconds(50));
  }
  EXPECT_LE(atLimited, 6);
}

// Guards against permits for a leaving server that each instance which knows it gives back.
TEST_F(DispatcherOfAService, PermitIsGivenBackSinceItsServerLeaves_TheFleetIsTold)
{
  Put("s1");
  auto end = CancelledSend(Ask());
  end.leavingLife_ = 1700;
  dispatcher_.OnMessage(now_, kCaller, end);
  EXPECT_TRUE(actions_.leaving_.contains({ "s1", 1700 }));
}

TEST_F(DispatcherOfAService, ServerOfTheOwnHallIsFree_ItIsPreferred)
{
  Put("a1", "other-hall");
  Put("b1", "hall");
  // Both are tried once, whatever their halls.
  End(Ask());
  End(Ask());
  for (int index = 0; index < 2; ++index) {
    EXPECT_EQ(PermittedTo(Ask()), "b1");
  }
}

TEST_F(DispatcherOfAService, OwnHallIsFullAndTheOtherIsNot_TheOtherServes)
{
  Put("a1", "other-hall");
  Put("b1", "hall");
  std::map<std::string, int> permits;
  for (int index = 0; index < 6; ++index) {
    ++permits[PermittedTo(Ask())];
  }
  EXPECT_EQ(permits["a1"], 3);
  EXPECT_EQ(permits["b1"], 3);
}

TEST_F(DispatcherOfAService, HallIsDrained_WhatWaitsAndWhatComesGoesElsewhere)
{
  Put("a1", "hall");
  Put("b1", "other-hall", 1);
  for (int index = 0; index < 5; ++index) {
    EXPECT_NE(PermittedTo(Ask()), "");
  }
  const auto waiting = Ask();
  directory_.DrainHall("hall");
  dispatcher_.OnDirectoryChanged(now_);
  Pass(milliseconds(10));
  EXPECT_EQ(PermittedTo(waiting), "");
  for (AttemptNumber number = 1; number <= 5; ++number) {
    End(number);
  }
  EXPECT_EQ(PermittedTo(waiting), "b1");
  EXPECT_EQ(PermittedTo(Ask()), "b1");
  EXPECT_NE(PermittedTo(Ask()), "a1");
}

TEST_F(DispatcherOfAService, ServerStartsSlowly_ItGetsItsRateFromAllTogether)
{
  Put("s1", "hall", 20, seconds(3));
  std::vector<Instant> sends;
  for (int index = 0; index < 3000; ++index) {
    const auto ask = Ask("", milliseconds(1), 1, 1 + static_cast<CallerId>(index % 7));
    if (!PermittedTo(ask).empty()) {
      sends.push_back(now_);
      End(ask,
          SendResult::Answered,
          milliseconds(1),
          std::nullopt,
          1 + static_cast<CallerId>(index % 7));
    }
    actions_.answers_.clear();
    Pass(milliseconds(1));
  }
  constexpr std::size_t kMost = 5;
  for (std::size_t first = 0; first + kMost < sends.size(); ++first) {
    EXPECT_GE(sends[first + kMost] - sends[first], seconds(1));
  }
  EXPECT_GE(sends.size(), 15U);
}

TEST_F(DispatcherOfAService, KeyHasAnOwner_OnlyTheOwnerIsPermittedAndHotOnesAreDenied)
{
  Put("s1");
  Put("s2");
  for (int index = 0; index < 3; ++index) {
    EXPECT_EQ(PermittedTo(Ask("s1")), "s1");
  }
  std::vector<AttemptNumber> asks;
  for (int index = 0; index < 30; ++index) {
    asks.push_back(Ask("s1"));
  }
  EXPECT_TRUE(IsAnswered<PermitDenial>(asks.back()));
  EXPECT_EQ(PermittedTo(Ask("s2")), "s2") << "another owner's keys do not wait for it";
  // A server that is not listed here may be by the time that its news come.
  const auto unlisted = Ask("gone");
  EXPECT_TRUE(IsAnswered<PermitDelay>(unlisted));
  Pass(milliseconds(60));
  EXPECT_TRUE(IsAnswered<PermitDenial>(unlisted));
}

TEST_F(DispatcherOfAService, CallerIsGone_ItsPlacesAreFreeAndItsAsksForgotten)
{
  Put("s1", "hall", 1);
  Ask("", milliseconds(300), 1, 7);
  Ask("", milliseconds(300), 1, 7);
  Ask("", milliseconds(300), 1, 7);
  const auto other = Ask("", milliseconds(300), 1, 8);
  EXPECT_EQ(PermittedTo(other), "");
  dispatcher_.OnCallerGone(now_, 7);
  EXPECT_EQ(PermittedTo(other), "s1");
  EXPECT_EQ(dispatcher_.InFlight(), 1U);
  EXPECT_EQ(dispatcher_.Waiting(), 0U);
}

TEST_F(DispatcherOfAService, EndIsNeverTold_ThePlaceIsFreeSomeTimeAfterTheClientsTime)
{
  Put("s1", "hall", 1);
  Ask();
  Ask();
  Pass(seconds(2));
  EXPECT_EQ(dispatcher_.InFlight(), 0U);
  EXPECT_EQ(PermittedTo(Ask()), "s1");
}

TEST_F(DispatcherOfAService, IsToldOfSendsByANewCaller_TheyTakeTheirPlaces)
{
  Put("s1");
  for (AttemptNumber number = 900; number < 903; ++number) {
    dispatcher_.OnMessage(
      now_, 5, SendNotice{ number, "plain", "s1", milliseconds(20), milliseconds(500) });
  }
  const auto ask = Ask();
  EXPECT_EQ(PermittedTo(ask), "");
  End(900, SendResult::Answered, milliseconds(50), std::nullopt, 5);
  EXPECT_EQ(PermittedTo(ask), "s1");
}

TEST_F(DispatcherOfAService, SameMessageComesTwiceOrOutOfTurn_NothingIsCountedTwice)
{
  Put("s1");
  const auto ask = Ask();
  PermitAsk again;
  again.number_ = ask;
  again.service_ = "plain";
  dispatcher_.OnMessage(now_, kCaller, again);
  EXPECT_EQ(dispatcher_.InFlight(), 1U);
  End(ask);
  End(ask);
  End(12345);
  dispatcher_.OnMessage(now_, kCaller, PermitWithdrawal{ 777 });
  EXPECT_EQ(dispatcher_.InFlight(), 0U);
  EXPECT_EQ(PermittedTo(Ask()), "s1");
}

TEST_F(DispatcherOfAService, ServiceIsNotKnown_IsDenied)
{
  PermitAsk ask;
  ask.number_ = 5;
  ask.service_ = "nobody";
  dispatcher_.OnMessage(now_, kCaller, ask);
  EXPECT_TRUE(IsAnswered<PermitDenial>(5));
}

TEST_F(DispatcherOfAService, ServerThatJoins_GetsARequestSoonThoughOthersAreFree)
{
  Put("s1", "hall", 8);
  for (int index = 0; index < 10; ++index) {
    End(Ask(), SendResult::Answered, milliseconds(1));
  }
  Put("z9", "other-hall", 1);
  EXPECT_EQ(PermittedTo(Ask()), "z9");
}

TEST_F(DispatcherOfAService, LateRequestsAreServedWithWhatIsLeft_TheyWaitLonger)
{
  Put("s1", "hall", 1);
  const auto waits = [&] {
    const auto first = Ask();
    const auto late = Ask("", Duration(-1));
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
  Ask();
  const auto late = Ask("", Duration(-1));
  Pass(milliseconds(200));
  EXPECT_FALSE(IsAnswered<PermitDenial>(late));
}

} // namespace

} // namespace latchslip
