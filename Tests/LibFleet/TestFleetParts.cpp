#include "LibFleet/FleetReport.h"
#include "LibFleet/FleetUpdate.h"
#include "LibFleet/PlacerElection.h"
#include "LibFleet/PlacerMonitor.h"
#include "LibFleet/TableReplica.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

constexpr Instant kNow = seconds(100);

TableView
MakeView(RowVersion aVersion, bool aIsWhole, RowVersion aBase, std::vector<RowChange> aRows)
{
  return { FleetTable::Servers, aVersion, aIsWhole, aBase, std::move(aRows) };
}

class TableReplicaOfTwoRows : public testing::Test
{
protected:
  TableReplicaOfTwoRows()
  {
    replica_.Apply(
      MakeView(10, true, 0, { { { "a", 4, "old" }, false }, { { "b", 9, "b" }, false } }));
  }

  std::string ValueOf(const std::string& aKey) const
  {
    const auto* row = replica_.Find(FleetTable::Servers, aKey);
    return row == nullptr ? "" : row->value_;
  }

  TableReplica replica_;
};

TEST_F(TableReplicaOfTwoRows, ChangesAreAdjacent_AreApplied)
{
  const auto changes = replica_.Apply(
    MakeView(12, false, 10, { { { "a", 11, "new" }, false }, { { "b", 12, "" }, true } }));
  ASSERT_TRUE(changes);
  EXPECT_EQ(changes->size(), 2U);
  EXPECT_EQ(ValueOf("a"), "new");
  EXPECT_EQ(ValueOf("b"), "");
}

TEST_F(TableReplicaOfTwoRows, NothingChangesForAWhile_LastChangeStays)
{
  replica_.Apply(MakeView(15, false, 10, {}));
  EXPECT_EQ(replica_.VersionOf(FleetTable::Servers), 15U);
  EXPECT_EQ(replica_.LastChangeOf(FleetTable::Servers), 9U);
}

TEST_F(TableReplicaOfTwoRows, OlderViewArrives_IsIgnored)
{
  EXPECT_TRUE(replica_.Apply(MakeView(9, true, 0, {}))->empty());
  EXPECT_EQ(ValueOf("a"), "old");
}

TEST_F(TableReplicaOfTwoRows, ChangesStartAfterTheKnownVersion_AreRejected)
{
  EXPECT_FALSE(replica_.Apply(MakeView(14, false, 12, { { { "a", 13, "new" }, false } })));
  EXPECT_EQ(ValueOf("a"), "old");
  EXPECT_EQ(replica_.VersionOf(FleetTable::Servers), 10U);
}

TEST_F(TableReplicaOfTwoRows, ChangesOverlap_NewerRowStays)
{
  replica_.Apply(MakeView(12, false, 10, { { { "a", 12, "newest" }, false } }));
  replica_.Apply(MakeView(13, false, 10, { { { "a", 11, "older" }, false } }));
  EXPECT_EQ(ValueOf("a"), "newest");
}

TEST_F(TableReplicaOfTwoRows, WholeTableLacksARow_RowIsRemoved)
{
  const auto changes = replica_.Apply(MakeView(20, true, 0, { { { "a", 4, "old" }, false } }));
  ASSERT_EQ(changes->size(), 1U);
  EXPECT_TRUE(changes->front().isRemoved_);
  EXPECT_EQ(ValueOf("b"), "");
}

TEST_F(TableReplicaOfTwoRows, ChangesSinceARecentVersion_AreIncremental)
{
  replica_.Apply(MakeView(12, false, 10, { { { "a", 12, "new" }, false } }));
  replica_.Apply(MakeView(14, false, 12, { { { "b", 14, "" }, true } }));
  const auto changes = replica_.Since(FleetTable::Servers, 12);
  EXPECT_FALSE(changes.isWhole_);
  EXPECT_EQ(changes.base_, 12U);
  EXPECT_EQ(changes.version_, 14U);
  ASSERT_EQ(changes.rows_.size(), 1U);
  EXPECT_TRUE(changes.rows_.front().isRemoved_);
}

TEST_F(TableReplicaOfTwoRows, ChangesSinceAnOldVersion_AreTheWholeTable)
{
  replica_.Apply(MakeView(12, false, 10, { { { "a", 12, "new" }, false } }));
  EXPECT_TRUE(replica_.Since(FleetTable::Servers, 9).isWhole_);
  EXPECT_TRUE(replica_.Since(FleetTable::Servers, 0).isWhole_);
}

TEST_F(TableReplicaOfTwoRows, TableIsReadAgain_ItsDifferencesAreChanges)
{
  replica_.Apply(MakeView(20, true, 0, { { { "a", 18, "new" }, false } }));
  const auto changes = replica_.Since(FleetTable::Servers, 10);
  EXPECT_FALSE(changes.isWhole_);
  EXPECT_EQ(changes.rows_.size(), 2U);
  EXPECT_EQ(replica_.LastChangeOf(FleetTable::Servers), 20U);
}

TEST_F(TableReplicaOfTwoRows, ManyChanges_OldestAreDropped)
{
  for (RowVersion version = 11; version < 3000; ++version) {
    replica_.Apply(MakeView(version, false, version - 1, { { { "a", version, "x" }, false } }));
  }
  EXPECT_FALSE(replica_.Since(FleetTable::Servers, 2500).isWhole_);
  EXPECT_TRUE(replica_.Since(FleetTable::Servers, 20).isWhole_);
}

TEST(TableReplica, ChangesArriveBeforeTheTable_AreRejected)
{
  TableReplica replica;
  EXPECT_FALSE(replica.Apply(MakeView(3, false, 0, {})));
}

class PlacerElectionOfTwo : public testing::Test
{
protected:
  const PlacerRow self_{ "i1", "run2", "10.0.0.1:1" };
  const PlacerRow other_{ "i2", "run1", "10.0.0.2:1" };
  PlacerElection election_{ self_, 0.5, 0 };
};

TEST_F(PlacerElectionOfTwo, RowIsNotKnown_DoesNotClaim)
{
  EXPECT_FALSE(election_.ShouldClaim(kNow));
}

TEST_F(PlacerElectionOfTwo, NoPlacer_ClaimsAfterItsDelay)
{
  election_.OnRow(kNow, std::nullopt);
  EXPECT_FALSE(election_.ShouldClaim(kNow + milliseconds(70)));
  EXPECT_TRUE(election_.ShouldClaim(kNow + milliseconds(90)));
}

TEST_F(PlacerElectionOfTwo, OtherIsMuchStronger_ClaimsLaterByMoreThanAReportInterval)
{
  election_.SetCapacityDeficit(0.9);
  election_.OnRow(kNow, other_);
  EXPECT_FALSE(election_.ShouldClaim(kNow + milliseconds(1800 + 850)));
  EXPECT_TRUE(election_.ShouldClaim(kNow + milliseconds(1800 + 900)));
}

TEST_F(PlacerElectionOfTwo, RowNamesAnEarlierRunOfItself_ClaimsAtOnce)
{
  election_.OnRow(kNow, PlacerRow{ "i1", "run1", "10.0.0.1:1" });
  EXPECT_FALSE(election_.IsPlacer());
  EXPECT_TRUE(election_.ShouldClaim(kNow));
}

TEST_F(PlacerElectionOfTwo, PlacerAnswers_DoesNotClaim)
{
  election_.OnRow(kNow, other_);
  election_.OnPlacerResponsive(kNow + seconds(5));
  EXPECT_FALSE(election_.ShouldClaim(kNow + seconds(6)));
}

TEST_F(PlacerElectionOfTwo, PlacerFallsSilent_ClaimsAfterTheLimit)
{
  election_.OnRow(kNow, other_);
  election_.OnPlacerResponsive(kNow + seconds(5));
  EXPECT_TRUE(election_.ShouldClaim(kNow + milliseconds(7100)));
}

TEST_F(PlacerElectionOfTwo, ClaimFails_WaitsBeforeTheNext)
{
  election_.OnRow(kNow, std::nullopt);
  election_.OnClaimFailed(kNow + seconds(1));
  EXPECT_FALSE(election_.ShouldClaim(kNow + milliseconds(1500)));
  EXPECT_TRUE(election_.ShouldClaim(kNow + milliseconds(1800)));
}

TEST_F(PlacerElectionOfTwo, RowNamesItself_IsPlacer)
{
  election_.OnRow(kNow, self_);
  EXPECT_TRUE(election_.IsPlacer());
  EXPECT_FALSE(election_.ShouldClaim(kNow + seconds(60)));
}

TEST(PlacerMonitor, PlacerAnswersWithKnownVersions_IsReliableUntilItFallsSilent)
{
  PlacerMonitor watch;
  EXPECT_FALSE(watch.IsReliable(kNow, { 5, 5, 5 }));
  watch.OnAnswer(kNow, { 5, 5, 5 }, { 5, 6, 5 });
  EXPECT_TRUE(watch.IsReliable(kNow + seconds(1), { 5, 6, 5 }));
  EXPECT_FALSE(watch.IsReliable(kNow + seconds(2), { 5, 6, 5 }));
}

TEST(PlacerMonitor, PlacerHasLaterChanges_IsReliableOnceTheyAreKnown)
{
  PlacerMonitor watch;
  watch.OnAnswer(kNow, { 5, 7, 5 }, { 5, 6, 5 });
  EXPECT_FALSE(watch.IsReliable(kNow, { 5, 6, 5 }));
  EXPECT_TRUE(watch.IsReliable(kNow, { 5, 7, 5 }));
}

TEST(PlacerMonitor, AnswerOvertakesAnUpdate_IsReliableWhileItMayBeInTransit)
{
  PlacerMonitor watch;
  watch.OnAnswer(kNow, { 5, 6, 5 }, { 5, 6, 5 });
  watch.OnAnswer(kNow + seconds(1), { 5, 9, 5 }, { 5, 6, 5 });
  EXPECT_TRUE(watch.IsReliable(kNow + milliseconds(1300), { 5, 6, 5 }));
  EXPECT_FALSE(watch.IsReliable(kNow + milliseconds(1500), { 5, 6, 5 }));
  EXPECT_TRUE(watch.IsReliable(kNow + milliseconds(1500), { 5, 9, 5 }));
}

TEST(PlacerMonitor, ReportFails_IsUnreliable)
{
  PlacerMonitor watch;
  watch.OnAnswer(kNow, { 5, 5, 5 }, { 5, 5, 5 });
  watch.OnFailure(PlacerFault::NoAnswer);
  EXPECT_FALSE(watch.IsReliable(kNow, { 5, 5, 5 }));
}

TEST(FleetUpdate, Serialized_RoundTrips)
{
  FleetUpdate update;
  update.pausesUpdates_ = true;
  update.views_.push_back(
    MakeView(12, false, 10, { { { "a", 11, "va\"lue" }, false }, { { "b", 12, "" }, true } }));
  update.placer_ = Row{ "placer", 3, "{}" };
  update.owners_.push_back({ 4, 9, { "rates", 2, { { 0, 9, "s1", 2, "s2" } } } });
  update.uncertainLeases_.push_back({ "s1", seconds(17) });
  const auto read = ParseUpdate(SerializeUpdate(update)).value();
  EXPECT_TRUE(read.pausesUpdates_);
  ASSERT_EQ(read.views_.size(), 1U);
  EXPECT_EQ(read.views_[0].base_, 10U);
  EXPECT_EQ(read.views_[0].rows_[0].row_.value_, "va\"lue");
  EXPECT_TRUE(read.views_[0].rows_[1].isRemoved_);
  EXPECT_EQ(read.placer_->version_, 3U);
  EXPECT_EQ(read.owners_[0].base_, 4U);
  EXPECT_EQ(read.owners_[0].ownership_, update.owners_[0].ownership_);
  EXPECT_EQ(read.uncertainLeases_[0].duration_, seconds(17));
}

TEST(FleetUpdate, Malformed_IsRejected)
{
  EXPECT_FALSE(ParseUpdate("{"));
  EXPECT_FALSE(ParseUpdate(R"({"views":[{"table":"nothing","rows":[]}],"owners":[]})"));
  EXPECT_FALSE(ParseVersions(R"({"versions":[1,2]})"));
  EXPECT_FALSE(ParseVersions(R"({"versions":[1,2,"x"]})"));
}

TEST(InstanceReport, Serialized_RoundTrips)
{
  InstanceReport report;
  report.instance_ = "i1";
  report.address_ = "10.0.0.1:1";
  report.keyCounts_["rates"] = { { 5, 2 }, { 700, 1 } };
  report.work_["s1"] = { 3, milliseconds(40) };
  report.work_["s2"] = { 1, milliseconds(20), 8.7 };
  report.processorShare_ = 0.2;
  report.linkMbps_ = 10;
  report.hall_ = "north";
  report.rosterDigest_ = 0xfedcba9876543210;
  report.lacksTables_ = true;
  const auto read = ParseReport(SerializeReport(report)).value();
  EXPECT_EQ(read.instance_, "i1");
  EXPECT_EQ(read.keyCounts_, report.keyCounts_);
  EXPECT_EQ(read.work_, report.work_);
  EXPECT_EQ(read.processorShare_, 0.2);
  EXPECT_EQ(read.linkMbps_, 10);
  EXPECT_EQ(read.hall_, "north");
  EXPECT_EQ(read.rosterDigest_, report.rosterDigest_);
  EXPECT_TRUE(read.lacksTables_);
  EXPECT_FALSE(ParseReport(R"({"instance":"i","address":"a","roster":"x1"})"));
  EXPECT_FALSE(ParseReport(R"({"instance":"i","address":"a","key_counts":{"s":[1]}})"));
  EXPECT_FALSE(ParseReport(R"({"instance":"i","address":"a","key_counts":{"s":[70000,1]}})"));
  EXPECT_FALSE(ParseReport(R"({"instance":"i","address":"a","work":{"s":[1]}})"));
  EXPECT_FALSE(ParseReport(R"({"instance":"i","address":"a","work":{"s":[1,"x"]}})"));
  EXPECT_FALSE(ParseReport(R"({"instance":"i","address":"a","work":{"s":[1,2,"x"]}})"));
  EXPECT_FALSE(ParseReport(R"({"instance":"i","address":"a","work":{"s":[1,2,0]}})"));
  EXPECT_FALSE(ParseReport(R"({"instance":"i","address":"a","work":{"s":[1,2,3,4]}})"));
}

TEST(ReportAnswer, Serialized_RoundTrips)
{
  const RosterChange roster{
    false, { { "10.0.0.1:1", "north", 0.5, 200 }, { "10.0.0.3:1", "north", 0.5 } }, { "10.0.0.2:1" }
  };
  const ReportAnswer answer{ true, roster, { 3, 4, 5 }, 0.5 };
  const auto read = ParseReportAnswer(SerializeReportAnswer(answer)).value();
  EXPECT_TRUE(read.isWorking_);
  EXPECT_EQ(read.roster_, answer.roster_);
  EXPECT_EQ(read.lastChanges_, answer.lastChanges_);
  EXPECT_EQ(read.highestCapacity_, 0.5);
  EXPECT_TRUE(ParseReportAnswer(R"({"versions":[1,2,3],"joined":[],"left":[]})"));
  EXPECT_FALSE(ParseReportAnswer(R"({"versions":[1,2,3],"joined":[7],"left":[]})"));
  EXPECT_FALSE(ParseReportAnswer(R"({"versions":[1,2,3],"joined":[["a","b",-1]],"left":[]})"));
  EXPECT_FALSE(ParseReportAnswer(R"({"versions":[1,2,3],"joined":[["a","b"]],"left":[]})"));
  EXPECT_FALSE(ParseReportAnswer(R"({"versions":[1,2,3],"joined":[["a","b",1,-1]],"left":[]})"));
  EXPECT_FALSE(ParseReportAnswer(R"({"versions":[1,2,3],"joined":[["a","b",1,1,1]],"left":[]})"));
  EXPECT_FALSE(ParseReportAnswer(R"({"versions":[1,2,3],"joined":[],"left":[7]})"));
}

} // namespace

} // namespace latchslip
