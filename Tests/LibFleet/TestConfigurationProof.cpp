#include "LibFleet/ConfigurationProof.h"

#include "FleetMemberFixture.h"
#include "LibStore/StoreEpoch.h"

#include <gtest/gtest.h>
#include <random>

namespace latchslip {

namespace {

class ConfigurationFreshnessTest : public testing::Test
{
protected:
  ConfigurationFreshness freshness_;
};

TEST_F(ConfigurationFreshnessTest, NoProof_SendsNone)
{
  freshness_.OnKnown(5);
  EXPECT_EQ(freshness_.ProvenAt(), Instant::min());
  EXPECT_FALSE(freshness_.CurrentProof(seconds(10)));
}

TEST_F(ConfigurationFreshnessTest, ProofOfKnownVersion_CountsFromRequestTime)
{
  freshness_.OnKnown(5);
  freshness_.OnProof(seconds(9), 5);
  EXPECT_EQ(freshness_.ProvenAt(), seconds(9));
  EXPECT_EQ(freshness_.CurrentProof(seconds(10)), (ConfigurationProof{ 5, seconds(1) }));
}

TEST_F(ConfigurationFreshnessTest, ProofOfLaterVersion_CountsOnceThatVersionIsKnown)
{
  freshness_.OnKnown(5);
  freshness_.OnProof(seconds(9), 7);
  EXPECT_EQ(freshness_.ProvenAt(), Instant::min());
  freshness_.OnKnown(7);
  EXPECT_EQ(freshness_.ProvenAt(), seconds(9));
}

TEST_F(ConfigurationFreshnessTest, OlderProofArrivesLater_KeepsNewerProof)
{
  freshness_.OnKnown(5);
  freshness_.OnProof(seconds(9), 5);
  freshness_.OnProof(seconds(8), 5);
  EXPECT_EQ(freshness_.ProvenAt(), seconds(9));
}

TEST_F(ConfigurationFreshnessTest, ProofOfAnotherEpoch_IsIgnored)
{
  freshness_.OnKnown(MakeVersion(1, 3));
  freshness_.OnProof(seconds(9), MakeVersion(0, 7));
  EXPECT_EQ(freshness_.ProvenAt(), Instant::min());
  freshness_.OnProof(seconds(9), MakeVersion(2, 1));
  EXPECT_EQ(freshness_.ProvenAt(), Instant::min());
}

// The copy that the store was restored from may lack the configuration that was proven.
TEST_F(ConfigurationFreshnessTest, StoreIsRestored_EarlierProofIsNotSent)
{
  freshness_.OnKnown(5);
  freshness_.OnProof(seconds(9), 5);
  freshness_.OnKnown(MakeVersion(1, 4));
  EXPECT_FALSE(freshness_.CurrentProof(seconds(10)));
  EXPECT_EQ(freshness_.ProvenAt(), seconds(9));
}

// A randomized model check: instances exchange proofs with random message delays, partitions,
// freezes and configuration changes in quick succession. No instance may ever regard its
// configuration as proven at a time at which the store held a later one.
class ConfigurationProofModelCheck : public testing::TestWithParam<unsigned>
{
protected:
  struct Instance
  {
    ConfigurationFreshness freshness_;
    Instant frozenUntil_ = Instant::min();
    bool reachesStore_ = true;
    bool reachesPeers_ = true;
  };

  struct Message
  {
    Instant at_;
    std::size_t to_;
    // An update with a version, or the response to a request sent at requestedAt_.
    RowVersion updateVersion_ = 0;
    Instant requestedAt_{ 0 };
    std::optional<ConfigurationProof> proof_;
    std::optional<RowVersion> read_;
  };

  void Step()
  {
    now_ += milliseconds(10);
    if (random_() % 50 == 0) {
      changes_.push_back(now_);
    }
    for (std::size_t index = 0; index < instances_.size(); ++index) {
      InjectFault(instances_[index]);
      SendMessages(index);
    }
    Deliver();
    Check();
  }

  void InjectFault(Instance& aInstance)
  {
    const auto draw = random_() % 2000;
    if (draw == 0) {
      aInstance.frozenUntil_ = now_ + milliseconds(random_() % 3000);
    } else if (draw < 6) {
      aInstance.reachesStore_ = !aInstance.reachesStore_;
    } else if (draw < 10) {
      aInstance.reachesPeers_ = !aInstance.reachesPeers_;
    }
  }

  Instant ArrivalTime() { return now_ + milliseconds(1 + random_() % 400); }

  void SendMessages(std::size_t aIndex)
  {
    auto& instance = instances_[aIndex];
    if (now_ < instance.frozenUntil_ || random_() % 20 != 0) {
      return;
    }
    const auto newest = static_cast<RowVersion>(changes_.size());
    if (instance.reachesStore_ && random_() % 2 == 0) {
      // The store reads the version at some time between request and response.
      messages_.push_back({ ArrivalTime(), aIndex, 0, now_, std::nullopt, newest });
      messages_.push_back({ ArrivalTime(), aIndex, newest, now_, std::nullopt, std::nullopt });
    }
    const auto other = random_() % instances_.size();
    if (instance.reachesPeers_ && instances_[other].reachesPeers_ &&
        now_ >= instances_[other].frozenUntil_) {
      const auto proof = instances_[other].freshness_.CurrentProof(now_);
      const auto known = instances_[other].freshness_.KnownVersion();
      messages_.push_back({ ArrivalTime(), aIndex, 0, now_, proof, std::nullopt });
      messages_.push_back({ ArrivalTime(), aIndex, known, now_, std::nullopt, std::nullopt });
    }
  }

  void Deliver()
  {
    std::vector<Message> due;
    std::erase_if(messages_, [&](const Message& aMessage) {
      const bool isDue = aMessage.at_ <= now_ && now_ >= instances_[aMessage.to_].frozenUntil_;
      if (isDue) {
        due.push_back(aMessage);
      }
      return isDue;
    });
    for (const auto& message : due) {
      auto& freshness = instances_[message.to_].freshness_;
      if (message.updateVersion_ > 0) {
        freshness.OnKnown(message.updateVersion_);
      }
      if (message.read_ && *message.read_ > 0) {
        freshness.OnProof(message.requestedAt_, *message.read_);
      }
      if (message.proof_) {
        freshness.OnProof(message.requestedAt_ - message.proof_->age_, message.proof_->version_);
      }
    }
  }

  void Check()
  {
    for (const auto& instance : instances_) {
      const auto provenAt = instance.freshness_.ProvenAt();
      if (provenAt == Instant::min()) {
        continue;
      }
      const auto later = static_cast<std::size_t>(instance.freshness_.KnownVersion());
      if (later < changes_.size()) {
        EXPECT_GE(changes_[later], provenAt);
      }
      ++proven_;
    }
  }

  Instant now_ = seconds(100);
  std::minstd_rand random_{ GetParam() };
  // When each version was acknowledged; the first one is there at the start.
  std::vector<Instant> changes_{ seconds(100) };
  std::vector<Instance> instances_ = std::vector<Instance>(6);
  std::vector<Message> messages_;
  std::size_t proven_ = 0;
};

TEST_P(ConfigurationProofModelCheck, PartitionsFreezesAndChanges_NoFalseProof)
{
  for (int step = 0; step < 4000; ++step) {
    Step();
  }
  EXPECT_GT(proven_, 10000U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ConfigurationProofModelCheck, testing::Range(1U, 25U));

class MemberWithApiKeys : public FleetMemberTest
{
protected:
  static constexpr Duration kBound = seconds(5);

  MemberWithApiKeys()
    : FleetMemberTest(kBound)
  {
    decoder_.groups_ = { { "g", { "key" }, 0, 10, 10 } };
  }

  void ShowTables(RowVersion aConfiguration = 5)
  {
    Show(FleetTable::Configuration, aConfiguration, { { "config", aConfiguration, "1" } });
    Show(FleetTable::Servers, 6, { { "s1", 2, "ready" } });
  }

  void ShowPlacer()
  {
    Show(FleetTable::Fleet, 7, { { "placer", 4, SerializePlacerRow({ "i2", "r", kOther }) } });
  }

  ReportAnswer AnswerWith(ConfigurationProof aProof) const
  {
    ReportAnswer answer{ true, kBoth, { 5, 6, 7 } };
    answer.proof_ = aProof;
    return answer;
  }
};

TEST_F(MemberWithApiKeys, PollsTheStore_ReadsProofsAndServesWhileOneIsValid)
{
  ShowTables();
  Advance(milliseconds(200));
  EXPECT_EQ(fleet_.configurationReads_, 1);
  EXPECT_TRUE(member_.IsReady());
  EXPECT_FALSE(member_.IsServing(now_));
  const auto requestedAt = now_;
  member_.OnConfigurationRead(now_ + milliseconds(4), requestedAt, 5);
  EXPECT_TRUE(member_.IsServing(now_));
  ASSERT_TRUE(fleet_.apiKeysUntil_);
  EXPECT_LE(*fleet_.apiKeysUntil_, requestedAt + kBound);
  EXPECT_FALSE(member_.IsServing(requestedAt + kBound));
}

TEST_F(MemberWithApiKeys, PlacerSendsProofs_DoesNotReadThemFromTheStore)
{
  ShowTables();
  ShowPlacer();
  for (int count = 0; count < 10; ++count) {
    Advance(milliseconds(400));
    member_.OnReportAnswered(now_, AnswerWith({ 5, milliseconds(300) }), milliseconds(10));
  }
  EXPECT_TRUE(member_.IsServing(now_));
  EXPECT_EQ(*fleet_.apiKeysUntil_ + milliseconds(310) - now_, Scale(kBound, 0.95));
  EXPECT_LE(fleet_.configurationReads_, 2);
}

TEST_F(MemberWithApiKeys, StoreHasLaterConfiguration_ProofCountsOnceItIsKnown)
{
  ShowTables();
  Advance(milliseconds(200));
  member_.OnConfigurationRead(now_, now_, 9);
  EXPECT_FALSE(member_.IsServing(now_));
  ShowTables(9);
  Advance(milliseconds(50));
  EXPECT_TRUE(member_.IsServing(now_));
}

TEST_F(MemberWithApiKeys, ConfigurationCannotBeDecoded_ProofIsIgnored)
{
  ShowTables();
  Advance(milliseconds(200));
  Show(FleetTable::Configuration, 9, { { "config", 9, "broken" } });
  member_.OnConfigurationRead(now_, now_, 9);
  Advance(milliseconds(50));
  EXPECT_FALSE(member_.IsServing(now_));
}

TEST_F(MemberWithApiKeys, NoContactAfterAProof_StopsServingWithinTheBound)
{
  ShowTables();
  ShowPlacer();
  Advance(milliseconds(100));
  member_.OnReportAnswered(now_, AnswerWith({ 5, milliseconds(0) }));
  const auto provenAt = now_;
  ASSERT_TRUE(member_.IsServing(now_));
  member_.OnStoreLost(now_);
  Advance(kBound - milliseconds(100));
  EXPECT_FALSE(member_.IsServing(now_));
  EXPECT_LE(*fleet_.apiKeysUntil_, provenAt + kBound);
}

TEST_F(MemberWithApiKeys, ResumesAfterAFreeze_ReportsAtOnceAndServesAfterTheAnswer)
{
  ShowTables();
  ShowPlacer();
  Advance(milliseconds(100));
  member_.OnReportAnswered(now_, AnswerWith({ 5, milliseconds(0) }));
  now_ += seconds(20);
  EXPECT_FALSE(member_.IsServing(now_));
  const auto reports = fleet_.reports_.size();
  Advance(milliseconds(50));
  EXPECT_GT(fleet_.reports_.size(), reports);
  member_.OnReportAnswered(now_, AnswerWith({ 5, milliseconds(100) }), milliseconds(5));
  EXPECT_TRUE(member_.IsServing(now_));
}

// The copy may contain API keys that were revoked just before the restore.
TEST_F(MemberWithApiKeys, StoreIsRestoredFromACopy_ReadsProveNothingAtFirst)
{
  ShowTables();
  Advance(milliseconds(200));
  const auto copied = MakeVersion(1, 5);
  Show(FleetTable::Configuration, MakeVersion(1, 6), { { "config", copied, "1" } });
  Advance(milliseconds(50));
  member_.OnConfigurationRead(now_, now_, copied);
  EXPECT_FALSE(member_.IsServing(now_));
  Advance(kReregistrationTime);
  member_.OnConfigurationRead(now_, now_, copied);
  EXPECT_TRUE(member_.IsServing(now_));
}

TEST_F(MemberWithApiKeys, UpdateIsFetched_ItsProofCounts)
{
  ShowTables();
  FleetUpdate update;
  update.proof_ = ConfigurationProof{ 5, milliseconds(700) };
  member_.OnUpdateFetched(now_, update, milliseconds(20));
  EXPECT_TRUE(member_.IsServing(now_));
  EXPECT_EQ(*fleet_.apiKeysUntil_, now_ - milliseconds(720) + Scale(kBound, 0.95));
}

TEST_F(MemberWithApiKeys, RequestsOfALimitedGroup_AreReportedToThePlacer)
{
  ShowTables();
  ShowPlacer();
  Advance(milliseconds(100));
  EXPECT_TRUE(member_.GroupLimits().TryAdmit(now_, { "g", {}, 0, 10, 10 }, false));
  Advance(milliseconds(300));
  ASSERT_EQ(fleet_.usages_.size(), 1U);
  EXPECT_EQ(fleet_.usages_[0].first, kOther);
  EXPECT_EQ(fleet_.usages_[0].second, (UsageReport{ kSelf, { { "g", 1, 0, 1 } } }));
}

TEST_F(MemberWithApiKeys, AdmittedShareIsZero_RejectsTheGroupsRequests)
{
  ShowTables();
  ShowPlacer();
  FleetUpdate update;
  update.parts_ = { { "g", 0, 0 } };
  member_.OnUpdate(now_, update);
  EXPECT_FALSE(member_.GroupLimits().TryAdmit(now_, { "g", {}, 0, 10, 10 }, false));
}

TEST_F(MemberWithApiKeys, IsNotThePlacer_RejectsUsageReports)
{
  ShowTables();
  ShowPlacer();
  EXPECT_FALSE(member_.OnUsage(now_, { kOther, { { "g", 1, 0, 1 } } }));
}

TEST(FleetUpdate, WithProofAndShares_RoundTrips)
{
  FleetUpdate update;
  update.proof_ = ConfigurationProof{ MakeVersion(2, 77), milliseconds(321) };
  update.parts_ = { { "g", 0.5, 0.25 } };
  const auto read = ParseUpdate(SerializeUpdate(update)).value();
  EXPECT_EQ(read.proof_, update.proof_);
  EXPECT_EQ(read.parts_, update.parts_);
  ReportAnswer answer;
  answer.proof_ = update.proof_;
  EXPECT_EQ(ParseReportAnswer(SerializeReportAnswer(answer)).value().proof_, update.proof_);
}

TEST(FleetUpdate, ProofWithoutAge_IsNotFresh)
{
  auto text = SerializeUpdate({});
  text.insert(1, R"("proof":{"version":5},)");
  EXPECT_GT(ParseUpdate(text).value().proof_->age_, seconds(1000000));
}

} // namespace

} // namespace latchslip
