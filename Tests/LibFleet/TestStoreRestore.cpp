// Guards against wrong decisions of a fleet member after the store is restored from an older copy:
// the versions go back, and the latest acknowledged writes are gone until their writers repeat
// them.

#include "FleetMemberFixture.h"
#include "LibStore/StoreEpoch.h"

#include <algorithm>

namespace latchslip {

namespace {

class FleetMemberAfterStoreRestore : public FleetMemberTest
{
protected:
  // A version of the epoch after the restore.
  static constexpr RowVersion After(std::uint64_t aNumber) { return MakeVersion(1, aNumber); }

  // The member places all keys, and its write is acknowledged as version 11.
  void PlaceKeys()
  {
    BecomePlacer();
    member_.OnReport(now_, ReportOf("i2", kOther));
    Advance(seconds(3));
    Acknowledge(11);
    Advance(milliseconds(100));
    ASSERT_TRUE(fleet_.ownership_);
    ASSERT_EQ(LastTransaction().writes_.front().key_, "size");
    Acknowledge(12);
  }

  const Transaction& LastTransaction() const { return fleet_.transactions_.back(); }

  std::string OwnRow() const { return Placer("i1", kSelf, "run2"); }
};

TEST_F(FleetMemberAfterStoreRestore, ConfigurationChanges_IsApplied)
{
  Show(FleetTable::Configuration, 90, { { "config", 80, "3" } });
  Show(FleetTable::Configuration, After(40), { { "config", After(31), "2" } });
  member_.OnView(now_,
                 { FleetTable::Configuration,
                   After(41),
                   false,
                   After(40),
                   { { { "config", After(41), "4" }, false } } });
  // The copy's configuration is older than the one in force.
  EXPECT_EQ(fleet_.versions_, (std::vector<std::uint64_t>{ 3, 4 }));
}

TEST_F(FleetMemberAfterStoreRestore, ServerLeaves_IsApplied)
{
  ShowTables();
  member_.OnView(now_, { FleetTable::Servers, 90, false, 6, { { { "s3", 90, "ready" }, false } } });
  Show(FleetTable::Servers, After(5), { { "s1", After(2), "ready" }, { "s2", After(3), "ready" } });
  member_.OnView(now_,
                 { FleetTable::Servers,
                   After(6),
                   false,
                   After(5),
                   { { { "s1", After(6), "leaving" }, false } } });
  EXPECT_FALSE(member_.Directory().Find("s1")->AcceptsWork());
  EXPECT_TRUE(member_.Directory().Find("s2")->AcceptsWork());
  // The copy lacks this server, which has two seconds to write its record again.
  EXPECT_NE(member_.Directory().Find("s3"), nullptr);
  Advance(seconds(3));
  EXPECT_EQ(member_.Directory().Find("s3"), nullptr);
}

TEST_F(FleetMemberAfterStoreRestore, CopyRevertsThatAServerLeaves_GetsNoWorkMeanwhile)
{
  ShowTables();
  member_.OnView(now_,
                 { FleetTable::Servers, 90, false, 6, { { { "s1", 90, "leaving" }, false } } });
  Show(FleetTable::Servers, After(5), { { "s1", After(2), "ready" }, { "s2", After(3), "ready" } });
  Advance(seconds(2));
  EXPECT_FALSE(member_.Directory().Find("s1")->AcceptsWork());
}

TEST_F(FleetMemberAfterStoreRestore, AnotherInstanceSendsAnUpdate_IsApplied)
{
  ShowTables();
  Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", kOther) } });
  FleetUpdate update;
  update.views_ = {
    { FleetTable::Servers, After(4), false, 3, { { { "s1", After(4), "leaving" }, false } } }
  };
  member_.OnStoreLost(now_);
  member_.OnUpdate(now_, update);
  EXPECT_FALSE(member_.Directory().Find("s1")->AcceptsWork());
}

TEST_F(FleetMemberAfterStoreRestore, OwnersWereLost_PlacerWritesThemAgainWithHigherFences)
{
  PlaceKeys();
  const auto before = *fleet_.ownership_;
  Show(FleetTable::Fleet, After(10), { { "placer", After(10), OwnRow() } });
  EXPECT_TRUE(member_.IsPlacer());
  Advance(milliseconds(200));
  ASSERT_EQ(LastTransaction().conditions_,
            (std::vector<RowStamp>{ { "placer", After(10) }, { "ownership/rates", 0 } }));
  const auto again = ParseOwnership(LastTransaction().writes_.front().value_).value();
  EXPECT_EQ(again.epoch_, 1U);
  ASSERT_EQ(again.ranges_.size(), before.ranges_.size());
  for (std::size_t index = 0; index < again.ranges_.size(); ++index) {
    EXPECT_EQ(again.ranges_[index].owner_, before.ranges_[index].owner_);
    EXPECT_GT(again.ranges_[index].fence_, before.lastFence_);
  }
  Acknowledge(After(11));
  // The other instances may have the owners as of any earlier version.
  EXPECT_EQ(fleet_.updates_.back().second.owners_.front().base_, 0U);
  EXPECT_EQ(fleet_.ownership_, again);
}

TEST_F(FleetMemberAfterStoreRestore, OwnersRowIsOlder_KnownOwnersStay)
{
  PlaceKeys();
  const auto known = *fleet_.ownership_;
  auto old = known;
  old.lastFence_ -= 1;
  old.ranges_.back().owner_ = "gone";
  Show(FleetTable::Fleet,
       After(10),
       { { "placer", After(9), OwnRow() },
         { "ownership/rates", After(10), SerializeOwnership(old) } });
  EXPECT_EQ(fleet_.ownership_, known);
  Advance(milliseconds(200));
  EXPECT_EQ(LastTransaction().conditions_,
            (std::vector<RowStamp>{ { "placer", After(9) }, { "ownership/rates", After(10) } }));
  Acknowledge(After(11));
  // The other instances have not read the row, and may have the owners as of any earlier version.
  EXPECT_EQ(fleet_.updates_.back().second.owners_.front().base_, 0U);
}

TEST_F(FleetMemberAfterStoreRestore, AnotherPlacerWroteOwnersInTheLaterEpoch_AreApplied)
{
  PlaceKeys();
  auto next = *fleet_.ownership_;
  next.epoch_ = 1;
  next.ranges_.back().owner_ = "s9";
  Show(FleetTable::Fleet,
       After(12),
       { { "placer", After(11), Placer("i2", kOther) },
         { "ownership/rates", After(12), SerializeOwnership(next) } });
  EXPECT_FALSE(member_.IsPlacer());
  EXPECT_EQ(fleet_.ownership_, next);
}

TEST_F(FleetMemberAfterStoreRestore, ClaimWasLost_ClaimsAgainBeforeAnyCommand)
{
  PlaceKeys();
  Show(FleetTable::Fleet, After(9), {});
  EXPECT_FALSE(member_.IsPlacer());
  const auto commands = fleet_.commands_.size();
  Advance(milliseconds(600));
  EXPECT_EQ(fleet_.commands_.size(), commands);
  ASSERT_EQ(LastTransaction().writes_.front().key_, "placer");
  EXPECT_EQ(LastTransaction().conditions_,
            (std::vector<RowStamp>{ { "placer", 0 }, { "ownership/rates", 0 } }));
}

TEST_F(FleetMemberAfterStoreRestore, CopyNamesAnotherPlacer_SendsNoMoreCommands)
{
  PlaceKeys();
  Show(FleetTable::Fleet, After(9), { { "placer", After(8), Placer("i2", kOther) } });
  EXPECT_FALSE(member_.IsPlacer());
  const auto commands = fleet_.commands_.size();
  Advance(milliseconds(600));
  EXPECT_EQ(fleet_.commands_.size(), commands);
}

TEST_F(FleetMemberAfterStoreRestore, StartedAfterTheRestore_PlacerDelaysCommandsForOwnersOfACopy)
{
  KeyOwnership old{ "rates", 8, { { 0, kLastKey, "s1", 8, "" } }, 0 };
  Show(FleetTable::Configuration, After(5), { { "config", After(5), "1" } });
  Show(FleetTable::Servers, After(6), { { "s1", After(2), "ready" }, { "s2", After(3), "ready" } });
  Show(FleetTable::Fleet, After(7), { { "ownership/rates", After(7), SerializeOwnership(old) } });
  Advance(milliseconds(600));
  Acknowledge(After(10));
  ASSERT_TRUE(member_.IsPlacer());
  Advance(milliseconds(100));
  Acknowledge(After(11));
  Advance(seconds(5));
  EXPECT_TRUE(fleet_.commands_.empty());
  Advance(seconds(8));
  // The size of the fleet and the owners, under higher fences, are written first.
  Acknowledge(After(12));
  Advance(milliseconds(100));
  EXPECT_TRUE(fleet_.commands_.empty());
  Acknowledge(After(13));
  Advance(milliseconds(100));
  EXPECT_FALSE(fleet_.commands_.empty());
}

// An unacknowledged grant may be accepted 12 s late and be valid for 5.1 s from then. The instance
// that sent it has to consider that as the next placer as well.
TEST_F(FleetMemberAfterStoreRestore, ClaimWasLostAfterAnUnacknowledgedGrant_ItsKeysWaitForThatGrant)
{
  PlaceKeys();
  const auto isOfS1 = [](const KeyCommand& aCommand) { return aCommand.server_ == "s1"; };
  const auto grant = std::find_if(fleet_.commands_.begin(), fleet_.commands_.end(), isOfS1);
  ASSERT_NE(grant, fleet_.commands_.end());
  const auto keys = grant->Span();
  member_.OnCommandEnded(now_, "rates", grant->number_, EndedAs(CommandStatus::Unanswered));
  const auto latest = now_ + seconds(12) + milliseconds(5100);
  Show(FleetTable::Fleet, After(9), {});
  Show(FleetTable::Servers, After(9), { { "s2", After(3), "ready" } });
  auto answered = fleet_.commands_.size();
  auto version = std::uint64_t{ 10 };
  const auto isPassedOn = [&](const KeyCommand& aCommand) {
    return !aCommand.isRelease_ && aCommand.server_ == "s2" && aCommand.Span().Overlaps(keys);
  };
  bool isServed = false;
  while (!isServed && now_ < latest + seconds(5)) {
    const auto written = fleet_.transactions_.size();
    Advance(milliseconds(50));
    if (fleet_.transactions_.size() > written) {
      Acknowledge(After(++version));
    }
    for (; answered < fleet_.commands_.size(); ++answered) {
      const auto command = fleet_.commands_[answered];
      isServed = isServed || isPassedOn(command);
      const auto end = isOfS1(command) ? CommandStatus::NotSent : CommandStatus::Done;
      member_.OnCommandEnded(now_, "rates", command.number_, EndedAs(end));
    }
  }
  EXPECT_TRUE(isServed);
  EXPECT_GE(now_, latest);
}

TEST(TableReplica, TableIsReadInALaterEpoch_OnlyOtherWritesAreChanges)
{
  TableReplica replica;
  const auto show = [&](RowVersion aVersion, std::vector<Row> aRows) {
    TableView view{ FleetTable::Servers, aVersion, true, 0, {} };
    for (auto& row : aRows) {
      view.rows_.push_back({ std::move(row), false });
    }
    return replica.Apply(view).value();
  };
  show(90, { { "a", 3, "x" }, { "b", 80, "y" }, { "c", 85, "z" } });
  const auto changes =
    show(MakeVersion(1, 50), { { "a", MakeVersion(1, 3), "x" }, { "b", MakeVersion(1, 40), "w" } });
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0].row_.value_, "w");
  EXPECT_TRUE(changes[1].isRemoved_);
  EXPECT_EQ(replica.Find(FleetTable::Servers, "a")->version_, MakeVersion(1, 3));
  EXPECT_EQ(replica.VersionOf(FleetTable::Servers), MakeVersion(1, 50));
}

} // namespace

} // namespace latchslip
