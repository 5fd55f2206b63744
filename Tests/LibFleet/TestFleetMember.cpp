#include "FleetMemberFixture.h"

#include <algorithm>

namespace latchslip {

namespace {

TEST_F(MemberOfAFleet, ServerRecordCannotBeReadAnyMore_NamesNoServerAndTheOthersHold)
{
  ShowTables();
  Show(FleetTable::Servers, 9, { { "s1", 9, "broken" }, { "s2", 3, "ready" } });
  Pass(seconds(1));
  EXPECT_EQ(member_.Directory().Find("s1"), nullptr);
  EXPECT_NE(member_.Directory().Find("s2"), nullptr);
  Show(FleetTable::Servers, 11, { { "s1", 11, "ready" }, { "s2", 3, "ready" } });
  Pass(seconds(1));
  EXPECT_NE(member_.Directory().Find("s1"), nullptr);
}

// Written late by the former life, or by one whose clock was set back.
TEST_F(MemberOfAFleet, ServerRecordIsOfAnEarlierLife_NamesNoServerBeforeALaterOneIsSeen)
{
  Show(FleetTable::Servers, 6, { { "s1", 6, "200" } });
  Show(FleetTable::Servers, 9, { { "s1", 9, "100" } });
  Pass(seconds(1));
  EXPECT_EQ(member_.Directory().Find("s1"), nullptr);
  Show(FleetTable::Servers, 11, { { "s1", 11, "ready" } });
  Pass(seconds(1));
  EXPECT_EQ(member_.Directory().Find("s1"), nullptr);
  Show(FleetTable::Servers, 12, { { "s1", 12, "200" } });
  ASSERT_NE(member_.Directory().Find("s1"), nullptr);
  Show(FleetTable::Servers, 13, { { "s1", 13, "300" } });
  EXPECT_EQ(member_.Directory().Find("s1")->life_, 300U);
}

TEST_F(MemberOfAFleet, AnswersSayThatAServerLeaves_IsLoggedOnceALife)
{
  Show(FleetTable::Servers, 6, { { "s1", 6, "100" } });
  member_.OnToldLeaving(now_, "s1", 100);
  member_.OnToldLeaving(now_, "s1", 100);
  member_.OnToldLeaving(now_, "unlisted", 0);
  EXPECT_EQ(events_.CountOf(Event::ServerToldLeaving), 1);
  Show(FleetTable::Servers, 9, { { "s1", 9, "200" } });
  member_.OnToldLeaving(now_, "s1", 100);
  EXPECT_EQ(events_.CountOf(Event::ServerToldLeaving), 1);
  member_.OnToldLeaving(now_, "s1", 200);
  EXPECT_EQ(events_.CountOf(Event::ServerToldLeaving), 2);
}

// Without its moves, the keys of such a server would have no owner to the end.
TEST_F(MemberOfAFleet, PlacerIsToldByAnAnswerThatAServerLeaves_GivesItsKeysToOthers)
{
  BecomePlacer();
  Pass(seconds(2));
  ASSERT_EQ(fleet_.transactions_.size(), 2U);
  Done(11);
  const auto changes = fleet_.directoryChanges_;
  member_.OnToldLeaving(now_, "s1", 0);
  EXPECT_EQ(fleet_.directoryChanges_, changes + 1);
  Pass(seconds(1));
  ASSERT_EQ(fleet_.transactions_.size(), 3U);
  const auto written = ParseOwnership(fleet_.transactions_.back().writes_.front().value_);
  ASSERT_TRUE(written) << "no owners are written";
  for (const auto& range : written.value().ranges_) {
    EXPECT_EQ(range.owner_, "s2");
  }
}

// Guards against an owner that takes few requests a second and keeps as many keys as others.
// The pattern: all keys are asked for alike, and both owners could work equally fast.
TEST_F(MemberOfAFleet, OwnerNamesARateLimit_PlacerPassesMostOfItsKeysToOthers)
{
  BecomePlacer();
  Pass(seconds(2));
  Done(11);
  auto report = ReportOf("i2", kOther);
  for (KeyNumber key = 0; key < kLastKey; key += 256) {
    report.keyCounts_["rates"].push_back({ key, 1 });
  }
  report.work_["s1"] = { 40, milliseconds(800), 5 };
  report.work_["s2"] = { 40, milliseconds(800) };
  RowVersion version = 12;
  for (int round = 0; round < 10; ++round) {
    member_.OnReport(now_, report);
    for (int step = 0; step < 16; ++step) {
      const auto written = fleet_.transactions_.size();
      fleet_.orders_.clear();
      Pass(milliseconds(50));
      if (fleet_.transactions_.size() > written) {
        Done(version++);
      }
      const auto orders = fleet_.orders_;
      for (const auto& order : orders) {
        member_.OnOrderEnded(now_, "rates", order.number_, { OrderEnd::Done });
      }
    }
  }
  const auto written = ParseOwnership(fleet_.transactions_.back().writes_.front().value_);
  ASSERT_TRUE(written) << "no owners are written";
  KeyNumber kept = 0;
  for (const auto& range : written.value().ranges_) {
    kept += range.owner_ == "s1" ? range.last_ - range.first_ + 1 : 0;
  }
  EXPECT_LT(kept, (kLastKey + 1) / 4);
}

TEST_F(MemberOfAFleet, TablesAreKnown_IsReady)
{
  EXPECT_FALSE(member_.IsReady());
  ShowTables();
  EXPECT_TRUE(member_.IsReady());
}

TEST_F(MemberOfAFleet, OlderConfigurationComes_IsNotTaken)
{
  ShowTables();
  Show(FleetTable::Configuration, 8, { { "config", 8, "3" } });
  Show(FleetTable::Configuration, 9, { { "config", 9, "2" } });
  EXPECT_EQ(fleet_.versions_, (std::vector<std::uint64_t>{ 1, 3 }));
}

TEST_F(MemberOfAFleet, ConfigurationCannotBeRead_LastGoodOneStays)
{
  ShowTables();
  Show(FleetTable::Configuration, 8, { { "config", 8, "broken" } });
  EXPECT_EQ(fleet_.versions_, std::vector<std::uint64_t>{ 1 });
  EXPECT_TRUE(member_.IsReady());
}

TEST_F(MemberOfAFleet, NoPlacer_ClaimsOnConditionThatThereIsNone)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, {});
  Pass(milliseconds(600));
  ASSERT_EQ(fleet_.transactions_.size(), 1U);
  EXPECT_EQ(fleet_.transactions_[0].conditions_,
            (std::vector<RowStamp>{ { "placer", 0 }, { "ownership/rates", 0 } }));
}

TEST_F(MemberOfAFleet, ClaimIsLost_TheWinnerIsThePlacer)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, {});
  Pass(milliseconds(600));
  member_.OnTransactEnded(now_,
                          { StoreStatus::Conflict, { { "placer", 9, Placer("i2", kOther) } } });
  Pass(milliseconds(500));
  EXPECT_FALSE(member_.IsPlacer());
  EXPECT_EQ(fleet_.transactions_.size(), 1U);
  EXPECT_EQ(fleet_.reports_.back(), kOther);
}

TEST_F(MemberOfAFleet, AnswerToAClaimIsLost_SameClaimIsSentAgainAndRecognised)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, {});
  Pass(milliseconds(600));
  member_.OnTransactEnded(now_, { StoreStatus::Unsure, {} });
  Pass(milliseconds(300));
  ASSERT_EQ(fleet_.transactions_.size(), 2U);
  const auto& write = fleet_.transactions_[1].writes_.front();
  EXPECT_EQ(write.value_, fleet_.transactions_[0].writes_.front().value_);
  member_.OnTransactEnded(now_, { StoreStatus::Conflict, { { write.key_, 9, write.value_ } } });
  EXPECT_TRUE(member_.IsPlacer());
}

TEST_F(MemberOfAFleet, IsPlacer_FollowsCloselyAndWritesOwnersBeforeAnyGrant)
{
  BecomePlacer();
  Pass(seconds(3));
  EXPECT_EQ(fleet_.following_, Following::Closely);
  ASSERT_EQ(fleet_.transactions_.size(), 2U);
  EXPECT_TRUE(fleet_.orders_.empty());
  EXPECT_EQ(fleet_.transactions_[1].conditions_,
            (std::vector<RowStamp>{ { "placer", 10 }, { "ownership/rates", 0 } }));
  Done(11);
  Pass(milliseconds(100));
  EXPECT_FALSE(fleet_.orders_.empty());
  EXPECT_TRUE(fleet_.ownership_);
}

TEST_F(MemberOfAFleet, PlacerLearnsOfAChange_ItTellsThoseThatReport)
{
  BecomePlacer();
  member_.OnReport(now_, ReportOf("i2", kOther));
  member_.OnView(now_,
                 { FleetTable::Servers, 20, false, 6, { { { "s1", 20, "leaving" }, false } } });
  ASSERT_FALSE(fleet_.news_.empty());
  EXPECT_EQ(fleet_.news_.back().first, kOther);
  EXPECT_EQ(fleet_.news_.back().second.views_.front().version_, 20U);
}

TEST_F(MemberOfAFleet, PlacerLearnsOfAChangeAfterAQuietTime_ItTellsFromTheLastChangeOn)
{
  BecomePlacer();
  member_.OnReport(now_, ReportOf("i2", kOther));
  member_.OnView(now_, { FleetTable::Servers, 50, false, 6, {} });
  member_.OnView(now_,
                 { FleetTable::Servers, 60, false, 50, { { { "s1", 60, "leaving" }, false } } });
  ASSERT_FALSE(fleet_.news_.empty());
  EXPECT_EQ(fleet_.news_.back().second.views_.front().base_, 3U);
}

TEST_F(MemberOfAFleet, PlacerReadsItsWriteBeforeTheAnswer_NewsFollowOnWhatTheOthersHave)
{
  BecomePlacer();
  member_.OnReport(now_, ReportOf("i2", kOther));
  Pass(seconds(3));
  const auto write = fleet_.transactions_.back().writes_.front();
  Show(FleetTable::Fleet, 11, { { write.key_, 11, write.value_ } });
  Done(11);
  ASSERT_FALSE(fleet_.news_.empty());
  const auto& owners = fleet_.news_.back().second.owners_;
  ASSERT_EQ(owners.size(), 1U);
  EXPECT_EQ(owners.front().base_, 0U);
  EXPECT_EQ(owners.front().version_, 11U);
  EXPECT_FALSE(owners.front().ownership_.ranges_.empty());
}

TEST_F(MemberOfAFleet, PlacerLosesTheStore_ItSaysSoAtOnceAndToEveryReport)
{
  BecomePlacer();
  member_.OnReport(now_, ReportOf("i2", kOther));
  member_.OnStoreLost(now_);
  EXPECT_TRUE(fleet_.news_.back().second.isLastForNow_);
  EXPECT_FALSE(member_.OnReport(now_, ReportOf("i2", kOther)).isWorking_);
}

TEST_F(MemberOfAFleet, AnotherClaimsItsPlace_ItGivesNoMoreOrders)
{
  BecomePlacer();
  Pass(seconds(3));
  Done(11);
  Pass(milliseconds(100));
  FleetNews news;
  news.placer_ = Row{ "placer", 30, Placer("i2", kOther) };
  member_.OnNews(now_, news);
  const auto orders = fleet_.orders_.size();
  Pass(seconds(10));
  EXPECT_FALSE(member_.IsPlacer());
  EXPECT_EQ(fleet_.orders_.size(), orders);
}

TEST_F(MemberOfAFleet, PlacerHearsNobodyAndItsOrdersAreAnswered_ItStopsInTime)
{
  BecomePlacer();
  Pass(seconds(3));
  Done(11);
  member_.OnReport(now_, ReportOf("i2", kOther));
  Pass(seconds(1));
  member_.OnStoreLost(now_);
  std::size_t answered = 0;
  const auto answerOrders = [&](Duration aTime) {
    const auto end = now_ + aTime;
    while (now_ < end) {
      Pass(milliseconds(50));
      for (; answered < fleet_.orders_.size(); ++answered) {
        member_.OnOrderEnded(
          now_, "rates", fleet_.orders_[answered].number_, { OrderEnd::Done, "" });
      }
    }
  };
  answerOrders(seconds(7));
  const auto orders = fleet_.orders_.size();
  EXPECT_GT(orders, 64U);
  answerOrders(seconds(20));
  EXPECT_EQ(fleet_.orders_.size(), orders);
}

TEST_F(MemberOfAFleet, PlacerLosesTheStoreButMostReport_ItGoesOn)
{
  BecomePlacer();
  Pass(seconds(3));
  Done(11);
  member_.OnStoreLost(now_);
  std::size_t answered = 0;
  for (int round = 0; round < 400; ++round) {
    member_.OnReport(now_, ReportOf("i2", kOther));
    Pass(milliseconds(50));
    for (; answered < fleet_.orders_.size(); ++answered) {
      member_.OnOrderEnded(now_, "rates", fleet_.orders_[answered].number_, { OrderEnd::Done, "" });
    }
  }
  // Sixty-four ranges, renewed every five thirds of a second for twenty.
  EXPECT_GT(fleet_.orders_.size(), 600U);
}

TEST_F(MemberOfAFleet, AnswerToAWriteComesAfterTheClaimWasLost_IsNotTakenForALaterOne)
{
  BecomePlacer();
  Pass(seconds(3));
  ASSERT_EQ(fleet_.transactions_.size(), 2U);
  FleetNews news;
  news.placer_ = Row{ "placer", 30, Placer("i2", kOther) };
  member_.OnNews(now_, news);
  Pass(seconds(4));
  // The other is silent, but nothing is claimed before the answer to that write.
  EXPECT_EQ(fleet_.transactions_.size(), 2U);
  member_.OnTransactEnded(now_, { StoreStatus::Done, { { "ownership/rates", 31, "" } } });
  EXPECT_FALSE(member_.IsPlacer());
  Pass(seconds(1));
  EXPECT_EQ(fleet_.transactions_.size(), 3U);
}

TEST_F(MemberOfAFleet, PlacerHearsNeitherStoreNorInstances_ItGivesNoMoreOrders)
{
  BecomePlacer();
  member_.OnReport(now_, ReportOf("i2", kOther));
  member_.OnReport(now_, ReportOf("i3", "10.0.0.3:9"));
  Pass(seconds(3));
  Done(11);
  member_.OnStoreLost(now_);
  Pass(seconds(7));
  const auto orders = fleet_.orders_.size();
  Pass(seconds(5));
  EXPECT_EQ(fleet_.orders_.size(), orders);
}

TEST_F(MemberOfAFleet, PlacerAnswersReports_StoreIsNotFollowed)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 6, 7 });
  EXPECT_EQ(fleet_.following_, Following::Relayed);
  EXPECT_EQ(fleet_.instances_, 2U);
}

TEST_F(MemberOfAFleet, PlacerKnowsMoreFromTheStart_StoreIsFollowed)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 9, 7 });
  EXPECT_EQ(fleet_.following_, Following::Alone);
}

TEST_F(MemberOfAFleet, ConfigurationChangesAndIsNotHeardOf_StoreIsAskedForIt)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 6, 7 });
  ASSERT_EQ(fleet_.following_, Following::Relayed);
  member_.OnReportAnswered(now_, ReportAnswer{ true, kBoth, { 30, 6, 7 } });
  Pass(milliseconds(600));
  EXPECT_EQ(fleet_.following_, Following::Alone);
  EXPECT_EQ(fleet_.followFrom_, (TableVersions{ 5, 6, 7 }));
}

TEST_F(MemberOfAFleet, PlacerSeesAConfiguration_ItSendsNothingAndNamesTheChangeInAnswers)
{
  BecomePlacer();
  member_.OnReport(now_, ReportOf("i2", kOther));
  const auto sent = fleet_.news_.size();
  Show(FleetTable::Configuration, 30, { { "config", 29, "2" } });
  EXPECT_EQ(fleet_.news_.size(), sent);
  EXPECT_EQ(member_.OnReport(now_, ReportOf("i2", kOther)).lastChanges_.front(), 29U);
}

TEST_F(MemberOfAFleet, PlacerFallsSilent_StoreIsFollowedFromWhatIsKnownAndThenClaimed)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 6, 7 });
  member_.OnReportAnswered(now_, std::nullopt);
  Pass(milliseconds(50));
  EXPECT_EQ(fleet_.following_, Following::Alone);
  EXPECT_EQ(fleet_.followFrom_, (TableVersions{ 5, 6, 7 }));
  Pass(seconds(3));
  EXPECT_EQ(fleet_.transactions_.size(), 1U);
}

TEST_F(MemberOfAFleet, PlacerToldOfAMuchStrongerOneAndFallsSilent_ThatOneMayClaimFirst)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 6, 7 });
  member_.OnReportAnswered(now_, ReportAnswer{ true, kBoth, { 5, 6, 7 }, 10 });
  // Later than an equal one would by more than the time between two reports.
  Pass(milliseconds(2550));
  EXPECT_TRUE(fleet_.transactions_.empty());
  Pass(milliseconds(400));
  EXPECT_EQ(fleet_.transactions_.size(), 1U);
}

TEST_F(MemberOfAFleet, StoreReturnsAfterAnOutageOfAll_LivingPlacerIsNotReplaced)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 6, 7 });
  member_.OnStoreLost(now_);
  for (int round = 0; round < 100; ++round) {
    Pass(milliseconds(50));
    member_.OnReportAnswered(now_, ReportAnswer{ false, kBoth, {} });
  }
  member_.OnStoreRegained(now_);
  Pass(seconds(1));
  EXPECT_TRUE(fleet_.transactions_.empty());
}

TEST_F(MemberOfAFleet, StoreIsLostButThePlacerAnswersSlowly_NewsAreNotStale)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  member_.OnStoreLost(now_);
  for (int round = 0; round < 60; ++round) {
    Pass(milliseconds(50));
    member_.OnReportAnswered(now_, ReportAnswer{ true, kBoth, { 5, 6, 7 } }, milliseconds(250));
  }
  EXPECT_FALSE(fleet_.isStale_);
  Pass(seconds(3));
  EXPECT_TRUE(fleet_.isStale_);
}

TEST_F(MemberOfAFleet, PlacerAloneLosesTheStore_IsReplaced)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 6, 7 });
  for (int round = 0; round < 60; ++round) {
    Pass(milliseconds(50));
    member_.OnReportAnswered(now_, ReportAnswer{ false, kBoth, {} });
  }
  EXPECT_EQ(fleet_.transactions_.size(), 1U);
}

TEST_F(MemberOfAFleet, PlacerAnswersSlowly_StoreIsFollowedButThePlacerStays)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 6, 7 });
  ASSERT_EQ(fleet_.following_, Following::Relayed);
  for (int round = 0; round < 100; ++round) {
    Pass(milliseconds(50));
    member_.OnReportAnswered(now_, ReportAnswer{ true, kBoth, { 5, 6, 7 } }, milliseconds(250));
  }
  EXPECT_EQ(fleet_.following_, Following::Alone);
  EXPECT_TRUE(fleet_.transactions_.empty());
}

TEST_F(MemberOfAFleet, PlacerSaysItLostTheStore_StoreIsFollowedAtOnce)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 6, 7 });
  FleetNews news;
  news.isLastForNow_ = true;
  member_.OnNews(now_, news);
  EXPECT_EQ(fleet_.following_, Following::Alone);
}

TEST_F(MemberOfAFleet, NewsBeginLaterThanWhatIsKnown_StoreIsFollowed)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 6, 7 });
  FleetNews news;
  news.views_.push_back({ FleetTable::Servers, 20, false, 15, {} });
  member_.OnNews(now_, news);
  EXPECT_EQ(fleet_.following_, Following::Alone);
}

TEST_F(MemberOfAFleet, HasJustStarted_OnlyTheFleetsRowsAreReadUntilThePlacerTells)
{
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  Pass(milliseconds(50));
  ASSERT_EQ(fleet_.reports_.size(), 1U);
  EXPECT_TRUE(fleet_.lastReport_.lacksTables_);
  member_.OnReportAnswered(now_, ReportAnswer{ true, kBoth, { 5, 6, 7 } });
  Pass(milliseconds(1000));
  EXPECT_FALSE(fleet_.hasFollowed_);
  FleetNews news;
  news.views_.push_back(
    { FleetTable::Configuration, 5, true, 0, { { { "config", 5, "1" }, false } } });
  news.views_.push_back({ FleetTable::Servers, 6, true, 0, { { { "s1", 2, "ready" }, false } } });
  member_.OnNews(now_, news);
  member_.OnReportAnswered(now_, ReportAnswer{ true, kBoth, { 5, 6, 7 } });
  Pass(milliseconds(50));
  EXPECT_TRUE(member_.IsReady());
  EXPECT_EQ(fleet_.following_, Following::Told);
}

TEST_F(MemberOfAFleet, HasJustStartedInASmallFleet_TablesAreReadAtOnce)
{
  Show(FleetTable::Fleet, 8, { { "placer", 7, Placer("i2", kOther) }, { "size", 8, "small" } });
  EXPECT_EQ(fleet_.following_, Following::Alone);
  EXPECT_TRUE(fleet_.hasFollowed_);
}

TEST_F(MemberOfAFleet, HasJustStartedInALargeFleet_TablesAreWaitedFor)
{
  Show(FleetTable::Fleet, 8, { { "placer", 7, Placer("i2", kOther) }, { "size", 8, "large" } });
  Pass(milliseconds(100));
  EXPECT_FALSE(fleet_.hasFollowed_);
}

TEST_F(MemberOfAFleet, FleetIsSmall_PlacerWritesItDownOnce)
{
  BecomePlacer();
  Pass(seconds(3));
  const auto isSize = [](const Transaction& aTransaction) {
    return aTransaction.writes_.front().key_ == "size";
  };
  ASSERT_EQ(fleet_.transactions_.back().writes_.front().key_, "ownership/rates");
  Done(11);
  Pass(milliseconds(100));
  ASSERT_TRUE(isSize(fleet_.transactions_.back()));
  EXPECT_EQ(fleet_.transactions_.back().writes_.front().value_, "small");
  EXPECT_EQ(fleet_.transactions_.back().conditions_,
            (std::vector<RowStamp>{ { "placer", 10 }, { "size", 0 } }));
  Done(12);
  Pass(seconds(3));
  EXPECT_EQ(std::count_if(fleet_.transactions_.begin(), fleet_.transactions_.end(), isSize), 1);
  EXPECT_TRUE(member_.IsPlacer());
}

TEST_F(MemberOfAFleet, HasJustStartedAndThePlacerIsGone_TablesAreRead)
{
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  Pass(milliseconds(350));
  EXPECT_FALSE(fleet_.hasFollowed_);
  Pass(milliseconds(100));
  EXPECT_EQ(fleet_.following_, Following::Alone);
}

TEST_F(MemberOfAFleet, HasJustStartedAndItsPlacerIsNotOneYet_ItIsAskedAgainSoon)
{
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  Pass(milliseconds(50));
  member_.OnReportAnswered(now_, ReportAnswer{ false, {}, {} });
  Pass(milliseconds(100));
  EXPECT_EQ(fleet_.reports_.size(), 2U);
}

TEST_F(MemberOfAFleet, InstancesHaveStarted_PlacerTellsThemTheTablesOnce)
{
  BecomePlacer();
  auto report = ReportOf("i2", kOther);
  report.lacksTables_ = true;
  member_.OnReport(now_, report);
  const auto sent = fleet_.news_.size();
  Pass(milliseconds(50));
  ASSERT_EQ(fleet_.news_.size(), sent + 1);
  EXPECT_EQ(fleet_.news_.back().first, kOther);
  ASSERT_EQ(fleet_.news_.back().second.views_.size(), 2U);
  EXPECT_TRUE(fleet_.news_.back().second.views_[1].isWhole_);
  member_.OnReport(now_, report);
  Pass(milliseconds(200));
  EXPECT_EQ(fleet_.news_.size(), sent + 1);
}

TEST_F(MemberOfAFleet, NoConfigurationYet_ThePlacerIsFoundAlready)
{
  Show(FleetTable::Fleet, 7, {});
  Pass(milliseconds(600));
  ASSERT_EQ(fleet_.transactions_.size(), 1U);
  Done(10);
  EXPECT_TRUE(member_.IsPlacer());
  Pass(milliseconds(50));
  EXPECT_EQ(fleet_.following_, Following::Closely);
}

TEST_F(MemberOfAFleet, StartsWithoutTheStore_LearnsFromASeed)
{
  member_.OnStoreLost(now_);
  Pass(milliseconds(100));
  EXPECT_EQ(fleet_.fetches_, std::vector<std::string>{ "10.0.0.3:9" });
  FleetNews news;
  news.views_.push_back(
    { FleetTable::Configuration, 5, true, 0, { { { "config", 5, "1" }, false } } });
  news.views_.push_back({ FleetTable::Servers, 6, true, 0, { { { "s1", 2, "ready" }, false } } });
  news.placer_ = Row{ "placer", 7, Placer("i2", kOther) };
  member_.OnNews(now_, news);
  EXPECT_TRUE(member_.IsReady());
  EXPECT_NE(member_.Directory().Find("s1"), nullptr);
}

TEST_F(MemberOfAFleet, HallIsDrainedAndRestored_ItsServersTakeNoWorkMeanwhile)
{
  ShowTables();
  Show(FleetTable::Configuration, 8, { { "config", 5, "1" }, { "drain/hall", 8, "" } });
  EXPECT_FALSE(member_.Directory().Find("s1")->AcceptsWork());
  const auto changes = fleet_.directoryChanges_;
  Show(FleetTable::Configuration, 9, { { "config", 5, "1" } });
  EXPECT_TRUE(member_.Directory().Find("s1")->AcceptsWork());
  EXPECT_EQ(fleet_.directoryChanges_, changes + 1);
}

TEST_F(MemberOfAFleet, StartsWhileAHallIsDrained_ItsServersTakeNoWork)
{
  Show(FleetTable::Configuration, 5, { { "config", 5, "1" }, { "drain/hall", 4, "" } });
  Show(FleetTable::Servers, 6, { { "s1", 2, "ready" } });
  EXPECT_FALSE(member_.Directory().Find("s1")->AcceptsWork());
}

} // namespace

} // namespace latchslip
