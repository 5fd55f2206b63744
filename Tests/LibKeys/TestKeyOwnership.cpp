#include "LibKeys/KeyOwnership.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

const KeyOwnership kOwnership{
  "rates",
  7,
  { { 0, 99, "s1", 1, "" }, { 100, 199, "s2", 2, "" }, { 300, 399, "s1", 7, "s3" } }
};

TEST(KeyOwnership, KeyWithinAndBetweenRanges_IsFoundOrHasNoOwner)
{
  EXPECT_EQ(kOwnership.Find(0)->owner_, "s1");
  EXPECT_EQ(kOwnership.Find(99)->owner_, "s1");
  EXPECT_EQ(kOwnership.Find(100)->owner_, "s2");
  EXPECT_EQ(kOwnership.Find(200), nullptr);
  EXPECT_EQ(kOwnership.Find(400), nullptr);
}

TEST(KeyOwnership, SerializedAndParsed_IsEqual)
{
  EXPECT_EQ(ParseOwnership(SerializeOwnership(kOwnership)).value(), kOwnership);
}

TEST(KeyOwnership, HasNoShortIsolation_TextIsAsBeforeTheField)
{
  EXPECT_EQ(SerializeOwnership(kOwnership).find("short_isolation"), std::string::npos);
}

// Guards against an update that loses the bound on its way: an instance that takes over from it
// would go on for 6 s while its own successor counts on 3 s.
TEST(KeyOwnership, ShortIsolationIsTurnedOnAndOff_SerializedAndOverlaidChangesHaveIt)
{
  auto shortened = kOwnership;
  shortened.hasShortIsolation_ = true;
  EXPECT_EQ(ParseOwnership(SerializeOwnership(shortened)).value(), shortened);
  EXPECT_EQ(Overlay(kOwnership, ChangesBetween(kOwnership, shortened)), shortened);
  EXPECT_EQ(Overlay(shortened, ChangesBetween(shortened, kOwnership)), kOwnership);
}

TEST(KeyOwnership, OverlaidChanges_GiveTheNewOwnership)
{
  auto next = kOwnership;
  next.lastFence_ = 9;
  next.ranges_ = { { 0, 49, "s1", 1, "" },
                   { 50, 59, "s2", 8, "s1" },
                   { 60, 99, "s1", 1, "" },
                   { 100, 199, "s2", 2, "" },
                   { 300, 399, "s1", 7, "" } };
  const auto changes = ChangesBetween(kOwnership, next);
  EXPECT_EQ(changes.ranges_.size(), 4U);
  EXPECT_EQ(Overlay(kOwnership, changes), next);
}

TEST(KeyOwnership, RangesAreMerged_OverlaidChangesGiveTheNewOwnership)
{
  auto next = kOwnership;
  next.lastFence_ = 8;
  next.ranges_ = { { 0, 199, "s1", 8, "" }, { 300, 399, "s1", 7, "s3" } };
  EXPECT_EQ(Overlay(kOwnership, ChangesBetween(kOwnership, next)), next);
}

class MalformedOwnership : public testing::TestWithParam<const char*>
{};

TEST_P(MalformedOwnership, Parsed_IsRejected)
{
  EXPECT_FALSE(ParseOwnership(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(
  Texts,
  MalformedOwnership,
  testing::Values("",
                  "[]",
                  R"({"service":"s","servers":[],"ranges":[[0,1,1,1,0]]})",
                  R"({"service":"s","servers":["a"],"ranges":[[5,1,1,1,0]]})",
                  R"({"service":"s","servers":["a"],"ranges":[[0,70000,1,1,0]]})",
                  R"({"service":"s","servers":["a"],"ranges":[[0,9,1,1,0],[9,10,1,1,0]]})",
                  R"({"service":"s","servers":["a"],"ranges":[[0,9,1]]})",
                  R"({"service":"s","servers":["a"],"ranges":[[0,9,1,-1,0]]})"));

} // namespace

} // namespace latchslip
