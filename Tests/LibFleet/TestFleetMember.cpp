#include "FleetMemberFixture.h"

#include <algorithm>
#include <set>

namespace latchslip {

namespace {

TEST_F(FleetMemberTest, ServerRecordCannotBeDecoded_IsDroppedAndTheOthersStay)
{
  ShowTables();
  Show(FleetTable::Servers, 9, { { "s1", 9, "broken" }, { "s2", 3, "ready" } });
  Advance(seconds(1));
  EXPECT_EQ(member_.Directory().Find("s1"), nullptr);
  EXPECT_NE(member_.Directory().Find("s2"), nullptr);
  Show(FleetTable::Servers, 11, { { "s1", 11, "ready" }, { "s2", 3, "ready" } });
  Advance(seconds(1));
  EXPECT_NE(member_.Directory().Find("s1"), nullptr);
}

// Such a record was written late by the former incarnation, or by one whose clock was set back.
TEST_F(FleetMemberTest, ServerRecordIsOfAnEarlierIncarnation_IsIgnoredUntilALaterOneArrives)
{
  Show(FleetTable::Servers, 6, { { "s1", 6, "200" } });
  Show(FleetTable::Servers, 9, { { "s1", 9, "100" } });
  Advance(seconds(1));
  EXPECT_EQ(member_.Directory().Find("s1"), nullptr);
  Show(FleetTable::Servers, 11, { { "s1", 11, "ready" } });
  Advance(seconds(1));
  EXPECT_EQ(member_.Directory().Find("s1"), nullptr);
  Show(FleetTable::Servers, 12, { { "s1", 12, "200" } });
  ASSERT_NE(member_.Directory().Find("s1"), nullptr);
  Show(FleetTable::Servers, 13, { { "s1", 13, "300" } });
  EXPECT_EQ(member_.Directory().Find("s1")->incarnation_, 300U);
}

TEST_F(FleetMemberTest, AnswersAnnounceThatAServerLeaves_IsLoggedOncePerIncarnation)
{
  Show(FleetTable::Servers, 6, { { "s1", 6, "100" } });
  member_.OnServerReportedLeaving(now_, "s1", 100);
  member_.OnServerReportedLeaving(now_, "s1", 100);
  member_.OnServerReportedLeaving(now_, "unlisted", 0);
  EXPECT_EQ(events_.CountOf(Event::ServerToldLeaving), 1);
  Show(FleetTable::Servers, 9, { { "s1", 9, "200" } });
  member_.OnServerReportedLeaving(now_, "s1", 100);
  EXPECT_EQ(events_.CountOf(Event::ServerToldLeaving), 1);
  member_.OnServerReportedLeaving(now_, "s1", 200);
  EXPECT_EQ(events_.CountOf(Event::ServerToldLeaving), 2);
}

// Guards against a write of a server that has ended, carried out late, which made the server that
// lives at its address count as ended: its keys passed to others while it held them.
TEST_F(FleetMemberTest, FormerServerWritesItsRecordLate_PlacerLeavesTheKeysOfTheLivingOne)
{
  BecomePlacer();
  Advance(seconds(13));
  RowVersion version = 20;
  const auto answer = [&](const std::string& aEnded) {
    Acknowledge(version++);
    for (const auto& command : std::exchange(fleet_.commands_, {})) {
      const auto end =
        command.server_ == aEnded ? CommandStatus::OtherIncarnation : CommandStatus::Done;
      member_.OnCommandEnded(now_, "rates", command.number_, EndedAs(end));
    }
    Advance(milliseconds(300));
  };
  answer("");
  Show(FleetTable::Servers,
       7,
       { { "s1", 2, "ready" }, { "s2", 3, "ready" }, { "s3", 7, "at:s1:80" } });
  for (int round = 0; round < 10; ++round) {
    answer("s1");
  }
  const auto owners = *fleet_.ownership_;
  ASSERT_TRUE(std::any_of(owners.ranges_.begin(), owners.ranges_.end(), [](const KeyRange& aRange) {
    return aRange.owner_ == "s3";
  }));
  const auto cleared = events_.CountOf(Event::KeysCleared);
  Show(FleetTable::Servers,
       8,
       { { "s1", 8, "ready" }, { "s2", 3, "ready" }, { "s3", 7, "at:s1:80" } });
  for (int round = 0; round < 4; ++round) {
    answer("s1");
  }
  EXPECT_EQ(fleet_.ownership_, owners);
  EXPECT_EQ(events_.CountOf(Event::KeysCleared), cleared);
}

// Guards against two holders of a key: a record of a former server that this member never saw is
// taken for that of a successor, but proves nothing.
TEST_F(FleetMemberTest, UnknownFormerServerIsListedLate_LivingOneReleasesItsKeysFirst)
{
  BecomePlacer();
  Advance(seconds(13));
  RowVersion version = 20;
  KeyOwnership before;
  // The first key of each range that s1 has released.
  std::set<KeyNumber> released;
  const auto answer = [&] {
    Acknowledge(version++);
    for (const auto& command : std::exchange(fleet_.commands_, {})) {
      const auto* former = before.Find(command.first_);
      if (command.isRelease_ && command.server_ == "s1") {
        released.insert(command.first_);
      } else if (former != nullptr && former->owner_ == "s1" && command.server_ != "s1") {
        EXPECT_TRUE(released.contains(command.first_)) << command.server_;
      }
      const auto end =
        command.server_ == "s0" ? CommandStatus::OtherIncarnation : CommandStatus::Done;
      member_.OnCommandEnded(now_, "rates", command.number_, EndedAs(end));
    }
    Advance(milliseconds(300));
  };
  answer();
  answer();
  before = *fleet_.ownership_;
  Show(FleetTable::Servers,
       7,
       { { "s1", 2, "ready" }, { "s2", 3, "ready" }, { "s0", 7, "at:s1:80" } });
  for (int round = 0; round < 10; ++round) {
    answer();
  }
  EXPECT_FALSE(released.empty());
  EXPECT_EQ(events_.CountOf(Event::ServerEndProven), 1);
}

// A new placer that takes over the keys of s1, which is lost, and of s2 before it knows the
// servers.
class PlacerWithoutServers : public FleetMemberTest
{
protected:
  static constexpr const char* kFormer = "i2";

  // The former placer's row tells whether all placers before it have stopped.
  void TakeOver(const std::string& aFormer,
                const std::string& aFormerAddress,
                bool aHasShortIsolation = true,
                RowVersion aOwnershipVersion = 8)
  {
    decoder_.hasLargeBodies_ = usesLoadManagement_;
    const KeyOwnership ownership{ "rates",
                                  2,
                                  { { 0, 32767, "s1", 1, "" }, { 32768, kLastKey, "s2", 2, "" } },
                                  0,
                                  aHasShortIsolation };
    Show(FleetTable::Configuration, 5, { { "config", 5, "1" } });
    Show(FleetTable::Fleet,
         8,
         { { "placer", 7, Placer(aFormer, aFormerAddress) },
           { "ownership/rates", aOwnershipVersion, SerializeOwnership(ownership) } });
    for (int step = 0; step < 200 && fleet_.transactions_.empty(); ++step) {
      Advance(milliseconds(50));
    }
    ASSERT_EQ(fleet_.transactions_.size(), 1U);
    Acknowledge(version_++);
    ASSERT_TRUE(member_.IsPlacer());
  }

  void ShowServers() { Show(FleetTable::Servers, 8, { { "s2", 3, "ready" } }); }

  // Answers all commands and writes. Writes also keep the contact with the store.
  void Run(Duration aTime)
  {
    const auto end = now_ + aTime;
    while (now_ < end) {
      Advance(milliseconds(50));
      member_.OnReport(now_, ReportOf("i3", "10.0.0.3:9"));
      for (; acknowledged_ < fleet_.transactions_.size(); ++acknowledged_) {
        Acknowledge(version_++);
      }
      for (const auto& command : std::exchange(fleet_.commands_, {})) {
        member_.OnCommandEnded(now_, "rates", command.number_, EndedAs(CommandStatus::Done));
      }
    }
  }

  // As Run, while the former placer reports.
  void RunBesideFormer(Duration aTime)
  {
    const auto end = now_ + aTime;
    while (now_ < end) {
      member_.OnReport(now_, ReportOf(kFormer, kOther));
      Run(milliseconds(500));
    }
  }

  bool AreKeysCleared() const { return events_.CountOf(Event::KeysCleared) > 0; }

  RowVersion version_ = 20;
  bool usesLoadManagement_ = true;

private:
  std::size_t acknowledged_ = 1;
};

// Guards against forgetting the report of the former placer: the keys of a lost server then have no
// owner for 11.1 s instead of 5.1 s.
TEST_F(PlacerWithoutServers, FormerPlacerReports_KeysOfALostServerWaitOneLease)
{
  TakeOver(kFormer, kOther);
  member_.OnReport(now_, ReportOf(kFormer, kOther));
  Run(milliseconds(500));
  ShowServers();
  Run(milliseconds(4500));
  EXPECT_FALSE(AreKeysCleared());
  Run(milliseconds(400));
  EXPECT_TRUE(AreKeysCleared());
}

// The former placer was an earlier run of this instance, whose own report comes before the servers.
TEST_F(PlacerWithoutServers, FormerPlacerIsThisInstance_KeysOfALostServerWaitOneLease)
{
  TakeOver("i1", kSelf);
  Run(milliseconds(1000));
  ShowServers();
  Run(milliseconds(5500));
  EXPECT_TRUE(AreKeysCleared());
}

// Guards against two owners of a key: a placer before the former one, which has been the placer for
// a short time only, may still renew grants.
TEST_F(PlacerWithoutServers, FormerPlacerReportsButAnEarlierOneMayRun_KeysWaitForTheEarlierOne)
{
  TakeOver(kFormer, kOther, false);
  member_.OnReport(now_, ReportOf(kFormer, kOther));
  Run(milliseconds(500));
  ShowServers();
  Run(milliseconds(10800));
  EXPECT_FALSE(AreKeysCleared());
  Run(milliseconds(800));
  EXPECT_TRUE(AreKeysCleared());
}

// Guards against two owners of a key: the row was written by a placer before the former one, which
// may still renew grants.
TEST_F(PlacerWithoutServers, FormerPlacerReportsButHasWrittenNothing_KeysWaitForTheEarlierOne)
{
  TakeOver(kFormer, kOther, true, 6);
  member_.OnReport(now_, ReportOf(kFormer, kOther));
  Run(milliseconds(500));
  ShowServers();
  Run(milliseconds(10800));
  EXPECT_FALSE(AreKeysCleared());
  Run(milliseconds(800));
  EXPECT_TRUE(AreKeysCleared());
}

// Guards against two owners of a key: the former placer, which has been the placer for some two
// seconds, reports, and a placer before it may still renew grants.
TEST_F(PlacerWithoutServers, FormerPlacerReportsWithoutLoadManagement_KeysWaitForTheEarlierOne)
{
  usesLoadManagement_ = false;
  TakeOver(kFormer, kOther, false);
  ShowServers();
  Run(milliseconds(300));
  RunBesideFormer(milliseconds(7500));
  EXPECT_FALSE(AreKeysCleared());
  RunBesideFormer(milliseconds(2000));
  EXPECT_TRUE(AreKeysCleared());
}

// Guards against counting any report as that of the former placer.
TEST_F(PlacerWithoutServers, OnlyAnotherInstanceReports_KeysOfALostServerWaitForTheFormerPlacer)
{
  TakeOver(kFormer, kOther);
  Run(milliseconds(500));
  ShowServers();
  Run(milliseconds(7800));
  EXPECT_FALSE(AreKeysCleared());
  Run(milliseconds(800));
  EXPECT_TRUE(AreKeysCleared());
}

// Guards against using the report of a former placer in a later claim: another instance has been
// the placer since, and it has not reported.
TEST_F(PlacerWithoutServers, AnotherPlacerFollowedTheReport_KeysOfALostServerWaitForThatPlacer)
{
  TakeOver(kFormer, kOther);
  member_.OnReport(now_, ReportOf(kFormer, kOther));
  FleetUpdate update;
  update.placer_ = Row{ "placer", 30, Placer("i4", "10.0.0.4:9") };
  member_.OnUpdate(now_, update);
  ASSERT_FALSE(member_.IsPlacer());
  const auto sent = fleet_.transactions_.size();
  for (int step = 0; step < 200 && fleet_.transactions_.size() == sent; ++step) {
    Advance(milliseconds(50));
  }
  ASSERT_GT(fleet_.transactions_.size(), sent);
  version_ = 40;
  Acknowledge(version_++);
  ASSERT_TRUE(member_.IsPlacer());
  ShowServers();
  Run(milliseconds(10800));
  EXPECT_FALSE(AreKeysCleared());
  Run(milliseconds(800));
  EXPECT_TRUE(AreKeysCleared());
}

// Unless its keys are moved, they have no owner until the server has shut down.
TEST_F(FleetMemberTest, AnswerAnnouncesThatAServerLeaves_PlacerMovesItsKeys)
{
  BecomePlacer();
  Advance(seconds(2));
  ASSERT_EQ(fleet_.transactions_.size(), 2U);
  Acknowledge(11);
  const auto changes = fleet_.directoryChanges_;
  member_.OnServerReportedLeaving(now_, "s1", 0);
  EXPECT_EQ(fleet_.directoryChanges_, changes + 1);
  Advance(seconds(1));
  ASSERT_EQ(fleet_.transactions_.size(), 3U);
  const auto written = ParseOwnership(fleet_.transactions_.back().writes_.front().value_);
  ASSERT_TRUE(written) << "no owners are written";
  for (const auto& range : written.value().ranges_) {
    EXPECT_EQ(range.owner_, "s2");
  }
}

// Guards against an owner with a low rate limit that keeps as many keys as others. All keys are
// requested equally often, and both owners are equally fast.
TEST_F(FleetMemberTest, OwnerStatesARateLimit_PlacerMovesMostOfItsKeys)
{
  BecomePlacer();
  Advance(seconds(2));
  Acknowledge(11);
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
      fleet_.commands_.clear();
      Advance(milliseconds(50));
      if (fleet_.transactions_.size() > written) {
        Acknowledge(version++);
      }
      const auto commands = fleet_.commands_;
      for (const auto& command : commands) {
        member_.OnCommandEnded(now_, "rates", command.number_, EndedAs(CommandStatus::Done));
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

TEST_F(FleetMemberTest, TablesAreKnown_IsReady)
{
  EXPECT_FALSE(member_.IsReady());
  ShowTables();
  EXPECT_TRUE(member_.IsReady());
}

TEST_F(FleetMemberTest, OlderConfigurationArrives_IsIgnored)
{
  ShowTables();
  Show(FleetTable::Configuration, 8, { { "config", 8, "3" } });
  Show(FleetTable::Configuration, 9, { { "config", 9, "2" } });
  EXPECT_EQ(fleet_.versions_, (std::vector<std::uint64_t>{ 1, 3 }));
}

TEST_F(FleetMemberTest, ConfigurationCannotBeDecoded_LastGoodOneStays)
{
  ShowTables();
  Show(FleetTable::Configuration, 8, { { "config", 8, "broken" } });
  EXPECT_EQ(fleet_.versions_, std::vector<std::uint64_t>{ 1 });
  EXPECT_TRUE(member_.IsReady());
}

TEST_F(FleetMemberTest, NoPlacer_ClaimIsConditionalOnTheMissingRow)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, {});
  Advance(milliseconds(600));
  ASSERT_EQ(fleet_.transactions_.size(), 1U);
  EXPECT_EQ(fleet_.transactions_[0].conditions_,
            (std::vector<RowStamp>{ { "placer", 0 }, { "ownership/rates", 0 } }));
}

TEST_F(FleetMemberTest, ClaimFails_ReportsToTheWinner)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, {});
  Advance(milliseconds(600));
  member_.OnTransactEnded(now_,
                          { StoreStatus::Conflict, { { "placer", 9, Placer("i2", kOther) } } });
  Advance(milliseconds(500));
  EXPECT_FALSE(member_.IsPlacer());
  EXPECT_EQ(fleet_.transactions_.size(), 1U);
  EXPECT_EQ(fleet_.reports_.back(), kOther);
}

TEST_F(FleetMemberTest, AnswerToAClaimIsLost_RetryRecognisesItsOwnRow)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, {});
  Advance(milliseconds(600));
  member_.OnTransactEnded(now_, { StoreStatus::Indeterminate, {} });
  Advance(milliseconds(300));
  ASSERT_EQ(fleet_.transactions_.size(), 2U);
  const auto& write = fleet_.transactions_[1].writes_.front();
  EXPECT_EQ(write.value_, fleet_.transactions_[0].writes_.front().value_);
  member_.OnTransactEnded(now_, { StoreStatus::Conflict, { { write.key_, 9, write.value_ } } });
  EXPECT_TRUE(member_.IsPlacer());
}

TEST_F(FleetMemberTest, IsPlacer_PollsWithShortWaitsAndWritesOwnersBeforeAnyGrant)
{
  BecomePlacer();
  Advance(seconds(3));
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::ShortWaits);
  ASSERT_EQ(fleet_.transactions_.size(), 2U);
  EXPECT_TRUE(fleet_.commands_.empty());
  EXPECT_EQ(fleet_.transactions_[1].conditions_,
            (std::vector<RowStamp>{ { "placer", 10 }, { "ownership/rates", 0 } }));
  Acknowledge(11);
  Advance(milliseconds(100));
  EXPECT_FALSE(fleet_.commands_.empty());
  EXPECT_TRUE(fleet_.ownership_);
}

TEST_F(FleetMemberTest, PlacerReadsAChange_SendsItToReportingInstances)
{
  BecomePlacer();
  member_.OnReport(now_, ReportOf("i2", kOther));
  member_.OnView(now_,
                 { FleetTable::Servers, 20, false, 6, { { { "s1", 20, "leaving" }, false } } });
  ASSERT_FALSE(fleet_.updates_.empty());
  EXPECT_EQ(fleet_.updates_.back().first, kOther);
  EXPECT_EQ(fleet_.updates_.back().second.views_.front().version_, 20U);
}

TEST_F(FleetMemberTest, PlacerReadsAChangeAfterAQuietTime_UpdateStartsAtTheLastChange)
{
  BecomePlacer();
  member_.OnReport(now_, ReportOf("i2", kOther));
  member_.OnView(now_, { FleetTable::Servers, 50, false, 6, {} });
  member_.OnView(now_,
                 { FleetTable::Servers, 60, false, 50, { { { "s1", 60, "leaving" }, false } } });
  ASSERT_FALSE(fleet_.updates_.empty());
  EXPECT_EQ(fleet_.updates_.back().second.views_.front().base_, 3U);
}

TEST_F(FleetMemberTest, PlacerReadsItsWriteBeforeTheAnswer_UpdateStartsAtTheOthersVersion)
{
  BecomePlacer();
  member_.OnReport(now_, ReportOf("i2", kOther));
  Advance(seconds(3));
  const auto write = fleet_.transactions_.back().writes_.front();
  Show(FleetTable::Fleet, 11, { { write.key_, 11, write.value_ } });
  Acknowledge(11);
  ASSERT_FALSE(fleet_.updates_.empty());
  const auto& owners = fleet_.updates_.back().second.owners_;
  ASSERT_EQ(owners.size(), 1U);
  EXPECT_EQ(owners.front().base_, 0U);
  EXPECT_EQ(owners.front().version_, 11U);
  EXPECT_FALSE(owners.front().ownership_.ranges_.empty());
}

TEST_F(FleetMemberTest, PlacerLosesTheStore_PausesUpdatesAndAnswersThatItIsNotWorking)
{
  BecomePlacer();
  member_.OnReport(now_, ReportOf("i2", kOther));
  member_.OnStoreLost(now_);
  EXPECT_TRUE(fleet_.updates_.back().second.pausesUpdates_);
  EXPECT_FALSE(member_.OnReport(now_, ReportOf("i2", kOther)).isWorking_);
}

// Guards against a placer that vouches, after it was suspended, for tables that it last heard of
// before that.
TEST_F(FleetMemberTest, PlacerWasSuspended_ItIsNotWorkingBeforeTheStoreAnswers)
{
  BecomePlacer();
  ASSERT_TRUE(member_.OnReport(now_, ReportOf("i2", kOther)).isWorking_);
  now_ += seconds(4);
  EXPECT_FALSE(member_.OnReport(now_, ReportOf("i2", kOther)).isWorking_);
  ShowTables();
  EXPECT_TRUE(member_.OnReport(now_, ReportOf("i2", kOther)).isWorking_);
}

TEST_F(FleetMemberTest, AnotherInstanceClaimsTheRole_SendsNoMoreCommands)
{
  BecomePlacer();
  Advance(seconds(3));
  Acknowledge(11);
  Advance(milliseconds(100));
  FleetUpdate update;
  update.placer_ = Row{ "placer", 30, Placer("i2", kOther) };
  member_.OnUpdate(now_, update);
  const auto commands = fleet_.commands_.size();
  Advance(seconds(10));
  EXPECT_FALSE(member_.IsPlacer());
  EXPECT_EQ(fleet_.commands_.size(), commands);
}

TEST_F(FleetMemberTest, PlacerIsIsolatedAndItsCommandsAreAnswered_StopsInTime)
{
  BecomePlacer();
  Advance(seconds(3));
  Acknowledge(11);
  member_.OnReport(now_, ReportOf("i2", kOther));
  Advance(seconds(1));
  member_.OnStoreLost(now_);
  std::size_t answered = 0;
  const auto answerCommands = [&](Duration aTime) {
    const auto end = now_ + aTime;
    while (now_ < end) {
      Advance(milliseconds(50));
      for (; answered < fleet_.commands_.size(); ++answered) {
        member_.OnCommandEnded(
          now_, "rates", fleet_.commands_[answered].number_, EndedAs(CommandStatus::Done));
      }
    }
  };
  answerCommands(seconds(7));
  const auto commands = fleet_.commands_.size();
  EXPECT_GT(commands, 64U);
  answerCommands(seconds(20));
  EXPECT_EQ(fleet_.commands_.size(), commands);
}

// A placer with load management whose ownership row has the short isolation bound.
class PlacerWithLoadManagement : public FleetMemberTest
{
protected:
  void BecomePlacerWithShortIsolation()
  {
    decoder_.hasLargeBodies_ = true;
    BecomePlacer();
    // Until the row may state that no earlier placer still runs.
    Advance(seconds(6));
    for (RowVersion version = 11; version < 16; ++version) {
      Acknowledge(version);
      Advance(milliseconds(250));
    }
    ASSERT_TRUE(fleet_.ownership_ && fleet_.ownership_->hasShortIsolation_);
    Acknowledge(16);
  }
};

// Guards against an isolated placer that goes on while its successor counts on the short bound.
TEST_F(PlacerWithLoadManagement, IsIsolated_StopsAfter3S)
{
  BecomePlacerWithShortIsolation();
  const auto isolatedAt = now_;
  member_.OnReport(now_, ReportOf("i2", kOther));
  member_.OnStoreLost(now_);
  auto lastCommandAt = now_;
  for (int step = 0; step < 400; ++step) {
    Advance(milliseconds(50));
    for (const auto& command : std::exchange(fleet_.commands_, {})) {
      lastCommandAt = now_;
      member_.OnCommandEnded(now_, "rates", command.number_, EndedAs(CommandStatus::Done));
    }
  }
  EXPECT_GT(lastCommandAt, isolatedAt + seconds(1));
  EXPECT_LT(lastCommandAt, isolatedAt + seconds(3));
}

// Guards against leases that run out while only the store is lost.
TEST_F(PlacerWithLoadManagement, LosesTheStoreButMostInstancesReport_Continues)
{
  BecomePlacerWithShortIsolation();
  member_.OnStoreLost(now_);
  std::size_t commands = 0;
  for (int round = 0; round < 25; ++round) {
    member_.OnReport(now_, ReportOf("i2", kOther));
    for (int step = 0; step < 16; ++step) {
      Advance(milliseconds(50));
      for (const auto& command : std::exchange(fleet_.commands_, {})) {
        ++commands;
        member_.OnCommandEnded(now_, "rates", command.number_, EndedAs(CommandStatus::Done));
      }
    }
  }
  // Sixty-four ranges, renewed every five thirds of a second for twenty seconds.
  EXPECT_GT(commands, 600U);
}

TEST_F(FleetMemberTest, PlacerLosesTheStoreButMostInstancesReport_Continues)
{
  BecomePlacer();
  Advance(seconds(3));
  Acknowledge(11);
  member_.OnStoreLost(now_);
  std::size_t answered = 0;
  for (int round = 0; round < 400; ++round) {
    member_.OnReport(now_, ReportOf("i2", kOther));
    Advance(milliseconds(50));
    for (; answered < fleet_.commands_.size(); ++answered) {
      member_.OnCommandEnded(
        now_, "rates", fleet_.commands_[answered].number_, EndedAs(CommandStatus::Done));
    }
  }
  // Sixty-four ranges, renewed every five thirds of a second for twenty seconds.
  EXPECT_GT(fleet_.commands_.size(), 600U);
}

TEST_F(FleetMemberTest, WriteIsAnsweredAfterTheClaimWasLost_IsNotTakenForALaterWrite)
{
  BecomePlacer();
  Advance(seconds(3));
  ASSERT_EQ(fleet_.transactions_.size(), 2U);
  FleetUpdate update;
  update.placer_ = Row{ "placer", 30, Placer("i2", kOther) };
  member_.OnUpdate(now_, update);
  Advance(seconds(4));
  // The other placer is silent, but no claim is sent before the result of the pending write.
  EXPECT_EQ(fleet_.transactions_.size(), 2U);
  member_.OnTransactEnded(now_, { StoreStatus::Done, { { "ownership/rates", 31, "" } } });
  EXPECT_FALSE(member_.IsPlacer());
  Advance(seconds(1));
  EXPECT_EQ(fleet_.transactions_.size(), 3U);
}

TEST_F(FleetMemberTest, PlacerReachesNeitherStoreNorInstances_SendsNoMoreCommands)
{
  BecomePlacer();
  member_.OnReport(now_, ReportOf("i2", kOther));
  member_.OnReport(now_, ReportOf("i3", "10.0.0.3:9"));
  Advance(seconds(3));
  Acknowledge(11);
  member_.OnStoreLost(now_);
  Advance(seconds(7));
  const auto commands = fleet_.commands_.size();
  Advance(seconds(5));
  EXPECT_EQ(fleet_.commands_.size(), commands);
}

TEST_F(FleetMemberTest, PlacerAnswersReports_PollsOnlyTheConfiguration)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 6, 7 });
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::ConfigurationOnly);
  EXPECT_EQ(fleet_.instances_, 2U);
}

TEST_F(FleetMemberTest, PlacerHasLaterChangesFromTheStart_PollsTheStore)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 9, 7 });
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::LongWaits);
}

TEST_F(FleetMemberTest, ConfigurationUpdateIsMissed_PollsTheStore)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 6, 7 });
  ASSERT_EQ(fleet_.pollMode_, StorePollMode::ConfigurationOnly);
  member_.OnReportAnswered(now_, ReportAnswer{ true, kBoth, { 30, 6, 7 } });
  Advance(milliseconds(600));
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::LongWaits);
  EXPECT_EQ(fleet_.pollFrom_, (TableVersions{ 5, 6, 7 }));
}

TEST_F(FleetMemberTest, PlacerReadsAConfiguration_OnlyAnswersReferToIt)
{
  BecomePlacer();
  member_.OnReport(now_, ReportOf("i2", kOther));
  const auto sent = fleet_.updates_.size();
  Show(FleetTable::Configuration, 30, { { "config", 29, "2" } });
  EXPECT_EQ(fleet_.updates_.size(), sent);
  EXPECT_EQ(member_.OnReport(now_, ReportOf("i2", kOther)).lastChanges_.front(), 29U);
}

TEST_F(FleetMemberTest, PlacerFallsSilent_PollsTheStoreFromKnownVersionsAndThenClaims)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 6, 7 });
  member_.OnReportAnswered(now_, std::nullopt);
  Advance(milliseconds(50));
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::LongWaits);
  EXPECT_EQ(fleet_.pollFrom_, (TableVersions{ 5, 6, 7 }));
  Advance(seconds(3));
  EXPECT_EQ(fleet_.transactions_.size(), 1U);
}

TEST_F(FleetMemberTest, PlacerFallsSilent_MuchStrongerInstanceClaimsFirst)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 6, 7 });
  member_.OnReportAnswered(now_, ReportAnswer{ true, kBoth, { 5, 6, 7 }, 10 });
  // An instance with an equal share would claim earlier by more than a report interval.
  Advance(milliseconds(2550));
  EXPECT_TRUE(fleet_.transactions_.empty());
  Advance(milliseconds(400));
  EXPECT_EQ(fleet_.transactions_.size(), 1U);
}

TEST_F(FleetMemberTest, StoreReturnsAfterAnOutage_LivingPlacerIsNotReplaced)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 6, 7 });
  member_.OnStoreLost(now_);
  for (int round = 0; round < 100; ++round) {
    Advance(milliseconds(50));
    member_.OnReportAnswered(now_, ReportAnswer{ false, kBoth, {} });
  }
  member_.OnStoreRegained(now_);
  Advance(seconds(1));
  EXPECT_TRUE(fleet_.transactions_.empty());
}

TEST_F(FleetMemberTest, StoreIsLostButThePlacerAnswersSlowly_IsNotStale)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  member_.OnStoreLost(now_);
  for (int round = 0; round < 60; ++round) {
    Advance(milliseconds(50));
    member_.OnReportAnswered(now_, ReportAnswer{ true, kBoth, { 5, 6, 7 } }, milliseconds(250));
  }
  EXPECT_FALSE(fleet_.isStale_);
  Advance(seconds(3));
  EXPECT_TRUE(fleet_.isStale_);
}

TEST_F(FleetMemberTest, OnlyThePlacerLosesTheStore_IsReplaced)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 6, 7 });
  for (int round = 0; round < 60; ++round) {
    Advance(milliseconds(50));
    member_.OnReportAnswered(now_, ReportAnswer{ false, kBoth, {} });
  }
  EXPECT_EQ(fleet_.transactions_.size(), 1U);
}

TEST_F(FleetMemberTest, PlacerAnswersSlowly_PollsTheStoreButKeepsThePlacer)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 6, 7 });
  ASSERT_EQ(fleet_.pollMode_, StorePollMode::ConfigurationOnly);
  for (int round = 0; round < 100; ++round) {
    Advance(milliseconds(50));
    member_.OnReportAnswered(now_, ReportAnswer{ true, kBoth, { 5, 6, 7 } }, milliseconds(250));
  }
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::LongWaits);
  EXPECT_TRUE(fleet_.transactions_.empty());
}

TEST_F(FleetMemberTest, PlacerPausesUpdates_PollsTheStoreAtOnce)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 6, 7 });
  FleetUpdate update;
  update.pausesUpdates_ = true;
  member_.OnUpdate(now_, update);
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::LongWaits);
}

TEST_F(FleetMemberTest, UpdateStartsAfterTheKnownVersion_PollsTheStore)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  AnswerReports(seconds(2), { 5, 6, 7 });
  FleetUpdate update;
  update.views_.push_back({ FleetTable::Servers, 20, false, 15, {} });
  member_.OnUpdate(now_, update);
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::LongWaits);
}

TEST_F(FleetMemberTest, HasJustStarted_ReadsOnlyTheFleetTableUntilThePlacerSendsTheOthers)
{
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  Advance(milliseconds(50));
  ASSERT_EQ(fleet_.reports_.size(), 1U);
  EXPECT_TRUE(fleet_.lastReport_.lacksTables_);
  member_.OnReportAnswered(now_, ReportAnswer{ true, kBoth, { 5, 6, 7 } });
  Advance(milliseconds(1000));
  EXPECT_FALSE(fleet_.hasSetPollMode_);
  FleetUpdate update;
  update.views_.push_back(
    { FleetTable::Configuration, 5, true, 0, { { { "config", 5, "1" }, false } } });
  update.views_.push_back({ FleetTable::Servers, 6, true, 0, { { { "s1", 2, "ready" }, false } } });
  member_.OnUpdate(now_, update);
  member_.OnReportAnswered(now_, ReportAnswer{ true, kBoth, { 5, 6, 7 } });
  Advance(milliseconds(50));
  EXPECT_TRUE(member_.IsReady());
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::Off);
}

TEST_F(FleetMemberTest, HasJustStartedInASmallFleet_ReadsTheTablesAtOnce)
{
  Show(FleetTable::Fleet, 8, { { "placer", 7, Placer("i2", kOther) }, { "size", 8, "small" } });
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::LongWaits);
  EXPECT_TRUE(fleet_.hasSetPollMode_);
}

TEST_F(FleetMemberTest, HasJustStartedInALargeFleet_WaitsForTheTables)
{
  Show(FleetTable::Fleet, 8, { { "placer", 7, Placer("i2", kOther) }, { "size", 8, "large" } });
  Advance(milliseconds(100));
  EXPECT_FALSE(fleet_.hasSetPollMode_);
}

TEST_F(FleetMemberTest, FleetIsSmall_PlacerStoresTheSizeOnce)
{
  BecomePlacer();
  Advance(seconds(3));
  const auto isSize = [](const Transaction& aTransaction) {
    return aTransaction.writes_.front().key_ == "size";
  };
  ASSERT_EQ(fleet_.transactions_.back().writes_.front().key_, "ownership/rates");
  Acknowledge(11);
  Advance(milliseconds(100));
  ASSERT_TRUE(isSize(fleet_.transactions_.back()));
  EXPECT_EQ(fleet_.transactions_.back().writes_.front().value_, "small");
  EXPECT_EQ(fleet_.transactions_.back().conditions_,
            (std::vector<RowStamp>{ { "placer", 10 }, { "size", 0 } }));
  Acknowledge(12);
  Advance(seconds(3));
  EXPECT_EQ(std::count_if(fleet_.transactions_.begin(), fleet_.transactions_.end(), isSize), 1);
  EXPECT_TRUE(member_.IsPlacer());
}

TEST_F(FleetMemberTest, HasJustStartedWithoutALivingPlacer_ReadsTheTables)
{
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  Advance(milliseconds(350));
  EXPECT_FALSE(fleet_.hasSetPollMode_);
  Advance(milliseconds(100));
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::LongWaits);
}

TEST_F(FleetMemberTest, HasJustStartedAndThePlacerIsNotWorkingYet_ReportsAgainSoon)
{
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  Advance(milliseconds(50));
  member_.OnReportAnswered(now_, ReportAnswer{ false, {}, {} });
  Advance(milliseconds(100));
  EXPECT_EQ(fleet_.reports_.size(), 2U);
}

TEST_F(FleetMemberTest, InstancesHaveStarted_PlacerSendsThemTheTablesOnce)
{
  BecomePlacer();
  auto report = ReportOf("i2", kOther);
  report.lacksTables_ = true;
  member_.OnReport(now_, report);
  const auto sent = fleet_.updates_.size();
  Advance(milliseconds(50));
  ASSERT_EQ(fleet_.updates_.size(), sent + 1);
  EXPECT_EQ(fleet_.updates_.back().first, kOther);
  ASSERT_EQ(fleet_.updates_.back().second.views_.size(), 2U);
  EXPECT_TRUE(fleet_.updates_.back().second.views_[1].isWhole_);
  member_.OnReport(now_, report);
  Advance(milliseconds(200));
  EXPECT_EQ(fleet_.updates_.size(), sent + 1);
}

TEST_F(FleetMemberTest, NoConfigurationYet_ClaimsThePlacerRole)
{
  Show(FleetTable::Fleet, 7, {});
  Advance(milliseconds(600));
  ASSERT_EQ(fleet_.transactions_.size(), 1U);
  Acknowledge(10);
  EXPECT_TRUE(member_.IsPlacer());
  Advance(milliseconds(50));
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::ShortWaits);
}

TEST_F(FleetMemberTest, StartsWithoutTheStore_FetchesFromASeed)
{
  member_.OnStoreLost(now_);
  Advance(milliseconds(100));
  EXPECT_EQ(fleet_.fetches_, std::vector<std::string>{ "10.0.0.3:9" });
  FleetUpdate update;
  update.views_.push_back(
    { FleetTable::Configuration, 5, true, 0, { { { "config", 5, "1" }, false } } });
  update.views_.push_back({ FleetTable::Servers, 6, true, 0, { { { "s1", 2, "ready" }, false } } });
  update.placer_ = Row{ "placer", 7, Placer("i2", kOther) };
  member_.OnUpdate(now_, update);
  EXPECT_TRUE(member_.IsReady());
  EXPECT_NE(member_.Directory().Find("s1"), nullptr);
}

TEST_F(FleetMemberTest, HallIsDrainedAndRestored_ItsServersTakeNoWorkMeanwhile)
{
  ShowTables();
  Show(FleetTable::Configuration, 8, { { "config", 5, "1" }, { "drain/hall", 8, "" } });
  EXPECT_FALSE(member_.Directory().Find("s1")->AcceptsWork());
  const auto changes = fleet_.directoryChanges_;
  Show(FleetTable::Configuration, 9, { { "config", 5, "1" } });
  EXPECT_TRUE(member_.Directory().Find("s1")->AcceptsWork());
  EXPECT_EQ(fleet_.directoryChanges_, changes + 1);
}

TEST_F(FleetMemberTest, StartsWhileAHallIsDrained_ItsServersTakeNoWork)
{
  Show(FleetTable::Configuration, 5, { { "config", 5, "1" }, { "drain/hall", 4, "" } });
  Show(FleetTable::Servers, 6, { { "s1", 2, "ready" } });
  EXPECT_FALSE(member_.Directory().Find("s1")->AcceptsWork());
}

} // namespace

} // namespace latchslip
