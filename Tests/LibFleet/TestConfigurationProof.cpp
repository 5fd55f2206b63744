#include "LibFleet/ConfigurationProof.h"

#include "FleetMemberFixture.h"
#include "LibStore/StoreEpoch.h"

#include <gtest/gtest.h>
#include <random>

namespace latchslip {

namespace {

class WatchOfAConfiguration : public testing::Test
{
protected:
  ConfigurationWatch watch_;
};

TEST_F(WatchOfAConfiguration, NothingIsProven_NothingIsTold)
{
  watch_.OnKnown(5);
  EXPECT_EQ(watch_.ProvenAt(), Instant::min());
  EXPECT_FALSE(watch_.Tell(seconds(10)));
}

TEST_F(WatchOfAConfiguration, ProofOfWhatIsKnown_CountsFromWhenItWasAskedFor)
{
  watch_.OnKnown(5);
  watch_.OnProof(seconds(9), 5);
  EXPECT_EQ(watch_.ProvenAt(), seconds(9));
  EXPECT_EQ(watch_.Tell(seconds(10)), (ConfigurationProof{ 5, seconds(1) }));
}

TEST_F(WatchOfAConfiguration, ProofOfALaterConfiguration_CountsOnceThatIsKnown)
{
  watch_.OnKnown(5);
  watch_.OnProof(seconds(9), 7);
  EXPECT_EQ(watch_.ProvenAt(), Instant::min());
  watch_.OnKnown(7);
  EXPECT_EQ(watch_.ProvenAt(), seconds(9));
}

TEST_F(WatchOfAConfiguration, OlderProofComesLater_TakesNothingBack)
{
  watch_.OnKnown(5);
  watch_.OnProof(seconds(9), 5);
  watch_.OnProof(seconds(8), 5);
  EXPECT_EQ(watch_.ProvenAt(), seconds(9));
}

TEST_F(WatchOfAConfiguration, ProofIsOfAnotherEpoch_IsNone)
{
  watch_.OnKnown(VersionIn(1, 3));
  watch_.OnProof(seconds(9), VersionIn(0, 7));
  EXPECT_EQ(watch_.ProvenAt(), Instant::min());
  watch_.OnProof(seconds(9), VersionIn(2, 1));
  EXPECT_EQ(watch_.ProvenAt(), Instant::min());
}

// The copy that it came back from may lack what was proven.
TEST_F(WatchOfAConfiguration, StoreComesBack_EarlierProofIsToldNoMore)
{
  watch_.OnKnown(5);
  watch_.OnProof(seconds(9), 5);
  watch_.OnKnown(VersionIn(1, 4));
  EXPECT_FALSE(watch_.Tell(seconds(10)));
  EXPECT_EQ(watch_.ProvenAt(), seconds(9));
}

// Instances that tell each other proofs over ways that take their time, with cuts, freezes
// and changes in quick succession. Whatever happens, none may take its configuration for
// proven at a moment at which the store held a later one.
class WalkOfProofs : public testing::TestWithParam<unsigned>
{
protected:
  struct Instance
  {
    ConfigurationWatch watch_;
    Instant frozenUntil_ = Instant::min();
    bool reachesStore_ = true;
    bool reachesPeers_ = true;
  };

  struct Message
  {
    Instant at_;
    std::size_t to_;
    // News of a version, or the answer to a question of that time.
    RowVersion news_ = 0;
    Instant askedAt_{ 0 };
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
      Disturb(instances_[index]);
      Talk(index);
    }
    Deliver();
    Check();
  }

  void Disturb(Instance& aInstance)
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

  Instant Way() { return now_ + milliseconds(1 + random_() % 400); }

  void Talk(std::size_t aIndex)
  {
    auto& instance = instances_[aIndex];
    if (now_ < instance.frozenUntil_ || random_() % 20 != 0) {
      return;
    }
    const auto newest = static_cast<RowVersion>(changes_.size());
    if (instance.reachesStore_ && random_() % 2 == 0) {
      // What the store reads it reads at some moment on the way.
      messages_.push_back({ Way(), aIndex, 0, now_, std::nullopt, newest });
      messages_.push_back({ Way(), aIndex, newest, now_, std::nullopt, std::nullopt });
    }
    const auto other = random_() % instances_.size();
    if (instance.reachesPeers_ && instances_[other].reachesPeers_ &&
        now_ >= instances_[other].frozenUntil_) {
      const auto proof = instances_[other].watch_.Tell(now_);
      const auto known = instances_[other].watch_.Known();
      messages_.push_back({ Way(), aIndex, 0, now_, proof, std::nullopt });
      messages_.push_back({ Way(), aIndex, known, now_, std::nullopt, std::nullopt });
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
      auto& watch = instances_[message.to_].watch_;
      if (message.news_ > 0) {
        watch.OnKnown(message.news_);
      }
      if (message.read_ && *message.read_ > 0) {
        watch.OnProof(message.askedAt_, *message.read_);
      }
      if (message.proof_) {
        watch.OnProof(message.askedAt_ - message.proof_->age_, message.proof_->version_);
      }
    }
  }

  void Check()
  {
    for (const auto& instance : instances_) {
      const auto provenAt = instance.watch_.ProvenAt();
      if (provenAt == Instant::min()) {
        continue;
      }
      const auto later = static_cast<std::size_t>(instance.watch_.Known());
      if (later < changes_.size()) {
        EXPECT_GE(changes_[later], provenAt);
      }
      ++proven_;
    }
  }

  Instant now_ = seconds(100);
  std::minstd_rand random_{ GetParam() };
  // When each version was acknowledged, the first at the beginning.
  std::vector<Instant> changes_{ seconds(100) };
  std::vector<Instance> instances_ = std::vector<Instance>(6);
  std::vector<Message> messages_;
  std::size_t proven_ = 0;
};

TEST_P(WalkOfProofs, CutsFreezesAndChanges_NobodyIsProvenWrongly)
{
  for (int step = 0; step < 4000; ++step) {
    Step();
  }
  EXPECT_GT(proven_, 10000U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, WalkOfProofs, testing::Range(1U, 25U));

class MemberWithApiKeys : public MemberOfAFleet
{
protected:
  static constexpr Duration kBound = seconds(5);

  MemberWithApiKeys()
    : MemberOfAFleet(kBound)
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

TEST_F(MemberWithApiKeys, FollowsTheStoreItself_AsksForProofsAndServesWhileItHasOne)
{
  ShowTables();
  Pass(milliseconds(200));
  EXPECT_EQ(fleet_.configurationReads_, 1);
  EXPECT_TRUE(member_.IsReady());
  EXPECT_FALSE(member_.IsServing(now_));
  const auto askedAt = now_;
  member_.OnConfigurationRead(now_ + milliseconds(4), askedAt, 5);
  EXPECT_TRUE(member_.IsServing(now_));
  ASSERT_TRUE(fleet_.apiKeysUntil_);
  EXPECT_LE(*fleet_.apiKeysUntil_, askedAt + kBound);
  EXPECT_FALSE(member_.IsServing(askedAt + kBound));
}

TEST_F(MemberWithApiKeys, PlacerTells_NothingIsAskedOfTheStore)
{
  ShowTables();
  ShowPlacer();
  for (int count = 0; count < 10; ++count) {
    Pass(milliseconds(400));
    member_.OnReportAnswered(now_, AnswerWith({ 5, milliseconds(300) }), milliseconds(10));
  }
  EXPECT_TRUE(member_.IsServing(now_));
  EXPECT_EQ(*fleet_.apiKeysUntil_ + milliseconds(310) - now_, Scale(kBound, 0.95));
  EXPECT_LE(fleet_.configurationReads_, 2);
}

TEST_F(MemberWithApiKeys, ConfigurationInTheStoreIsLater_NothingIsProvenBeforeItIsKnown)
{
  ShowTables();
  Pass(milliseconds(200));
  member_.OnConfigurationRead(now_, now_, 9);
  EXPECT_FALSE(member_.IsServing(now_));
  ShowTables(9);
  Pass(milliseconds(50));
  EXPECT_TRUE(member_.IsServing(now_));
}

TEST_F(MemberWithApiKeys, ConfigurationCannotBeRead_ItsProofIsNone)
{
  ShowTables();
  Pass(milliseconds(200));
  Show(FleetTable::Configuration, 9, { { "config", 9, "broken" } });
  member_.OnConfigurationRead(now_, now_, 9);
  Pass(milliseconds(50));
  EXPECT_FALSE(member_.IsServing(now_));
}

TEST_F(MemberWithApiKeys, HearsNobodyAfterAProof_StopsWithinTheBound)
{
  ShowTables();
  ShowPlacer();
  Pass(milliseconds(100));
  member_.OnReportAnswered(now_, AnswerWith({ 5, milliseconds(0) }));
  const auto provenAt = now_;
  ASSERT_TRUE(member_.IsServing(now_));
  member_.OnStoreLost(now_);
  Pass(kBound - milliseconds(100));
  EXPECT_FALSE(member_.IsServing(now_));
  EXPECT_LE(*fleet_.apiKeysUntil_, provenAt + kBound);
}

TEST_F(MemberWithApiKeys, WakesFromAFreeze_ReportsAtOnceAndServesWithTheAnswer)
{
  ShowTables();
  ShowPlacer();
  Pass(milliseconds(100));
  member_.OnReportAnswered(now_, AnswerWith({ 5, milliseconds(0) }));
  now_ += seconds(20);
  EXPECT_FALSE(member_.IsServing(now_));
  const auto reports = fleet_.reports_.size();
  Pass(milliseconds(50));
  EXPECT_GT(fleet_.reports_.size(), reports);
  member_.OnReportAnswered(now_, AnswerWith({ 5, milliseconds(100) }), milliseconds(5));
  EXPECT_TRUE(member_.IsServing(now_));
}

// The copy may show keys that were taken away just before.
TEST_F(MemberWithApiKeys, StoreComesBackFromACopy_ItsReadsProveNothingAtFirst)
{
  ShowTables();
  Pass(milliseconds(200));
  const auto copied = VersionIn(1, 5);
  Show(FleetTable::Configuration, VersionIn(1, 6), { { "config", copied, "1" } });
  Pass(milliseconds(50));
  member_.OnConfigurationRead(now_, now_, copied);
  EXPECT_FALSE(member_.IsServing(now_));
  Pass(kReregistrationTime);
  member_.OnConfigurationRead(now_, now_, copied);
  EXPECT_TRUE(member_.IsServing(now_));
}

TEST_F(MemberWithApiKeys, NewsAreAskedFor_TheirProofCounts)
{
  ShowTables();
  FleetNews news;
  news.proof_ = ConfigurationProof{ 5, milliseconds(700) };
  member_.OnNewsFetched(now_, news, milliseconds(20));
  EXPECT_TRUE(member_.IsServing(now_));
  EXPECT_EQ(*fleet_.apiKeysUntil_, now_ - milliseconds(720) + Scale(kBound, 0.95));
}

TEST_F(MemberWithApiKeys, RequestsOfALimitedGroup_AreToldToThePlacer)
{
  ShowTables();
  ShowPlacer();
  Pass(milliseconds(100));
  EXPECT_TRUE(member_.Gate().TryAdmit(now_, { "g", {}, 0, 10, 10 }, false));
  Pass(milliseconds(300));
  ASSERT_EQ(fleet_.usages_.size(), 1U);
  EXPECT_EQ(fleet_.usages_[0].first, kOther);
  EXPECT_EQ(fleet_.usages_[0].second, (UsageReport{ kSelf, { { "g", 1, 0, 1 } } }));
}

TEST_F(MemberWithApiKeys, PlacerSaysAGroupHasHadItsLimit_NoneOfItIsLetThrough)
{
  ShowTables();
  ShowPlacer();
  FleetNews news;
  news.parts_ = { { "g", 0, 0 } };
  member_.OnNews(now_, news);
  EXPECT_FALSE(member_.Gate().TryAdmit(now_, { "g", {}, 0, 10, 10 }, false));
}

TEST_F(MemberWithApiKeys, IsNotThePlacer_CountsForNobody)
{
  ShowTables();
  ShowPlacer();
  EXPECT_FALSE(member_.OnUsage(now_, { kOther, { { "g", 1, 0, 1 } } }));
}

TEST(FleetNews, WithProofAndParts_WrittenAndReadIsTheSame)
{
  FleetNews news;
  news.proof_ = ConfigurationProof{ VersionIn(2, 77), milliseconds(321) };
  news.parts_ = { { "g", 0.5, 0.25 } };
  const auto read = ParseNews(SerializeNews(news)).value();
  EXPECT_EQ(read.proof_, news.proof_);
  EXPECT_EQ(read.parts_, news.parts_);
  ReportAnswer answer;
  answer.proof_ = news.proof_;
  EXPECT_EQ(ParseReportAnswer(SerializeReportAnswer(answer)).value().proof_, news.proof_);
}

TEST(FleetNews, ProofWithoutAge_IsNeverFresh)
{
  auto text = SerializeNews({});
  text.insert(1, R"("proof":{"version":5},)");
  EXPECT_GT(ParseNews(text).value().proof_->age_, seconds(1000000));
}

} // namespace

} // namespace latchslip
