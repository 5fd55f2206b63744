#include "LibDispatch/ClaimRegistry.h"
#include "LibStandIn/TableState.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

class ClaimRegistryWithTable : public testing::Test
{
protected:
  ClaimRegistryWithTable()
    : registry_("i1#a", ClaimTiming{})
  {
  }

  StoreReply Execute(const ClaimCall& aCall)
  {
    if (!aCall.isRead_) {
      return table_.Apply(aCall.transaction_);
    }
    std::vector<RowStamp> stamps;
    for (const auto& key : aCall.keys_) {
      stamps.push_back({ key, 0 });
    }
    return table_.Read(stamps);
  }

  // Executes calls until there are no more, and returns all decisions.
  std::vector<ClaimDecision> RunCalls()
  {
    std::vector<ClaimDecision> decisions;
    for (int round = 0; round < 20; ++round) {
      now_ += milliseconds(100);
      if (const auto call = registry_.NextCall(now_)) {
        for (auto& decision : registry_.OnReply(now_, Execute(*call))) {
          decisions.push_back(decision);
        }
      }
    }
    return decisions;
  }

  Instant now_ = seconds(1);
  TableState table_;
  ClaimRegistry registry_;
};

TEST_F(ClaimRegistryWithTable, IdIsNew_Claimed)
{
  ASSERT_TRUE(registry_.Submit(now_, 1, "claim/a", "sending-" + std::to_string(1)));
  const auto decisions = RunCalls();
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].verdict_, ClaimVerdict::Claimed);
}

TEST_F(ClaimRegistryWithTable, SameIdTwiceInOneBatch_OneIsDuplicate)
{
  registry_.Submit(now_, 1, "claim/a", "sending-" + std::to_string(1));
  registry_.Submit(now_, 2, "claim/a", "sending-" + std::to_string(2));
  const auto decisions = RunCalls();
  ASSERT_EQ(decisions.size(), 2U);
  EXPECT_EQ(decisions[0].verdict_, ClaimVerdict::Claimed);
  EXPECT_EQ(decisions[1].verdict_, ClaimVerdict::Duplicate);
}

TEST_F(ClaimRegistryWithTable, OneIdOfBatchIsClaimedElsewhere_OthersAreClaimed)
{
  ClaimRegistry other("i2#b", ClaimTiming{});
  other.Submit(now_, 9, "claim/b", "sending-" + std::to_string(9));
  other.OnReply(now_, Execute(*other.NextCall(now_)));
  registry_.Submit(now_, 1, "claim/a", "sending-" + std::to_string(1));
  registry_.Submit(now_, 2, "claim/b", "sending-" + std::to_string(2));
  registry_.Submit(now_, 3, "claim/c", "sending-" + std::to_string(3));
  std::map<ClaimId, ClaimVerdict> verdicts;
  for (const auto& decision : RunCalls()) {
    verdicts[decision.id_] = decision.verdict_;
  }
  EXPECT_EQ(verdicts.at(1), ClaimVerdict::Claimed);
  EXPECT_EQ(verdicts.at(2), ClaimVerdict::Duplicate);
  EXPECT_EQ(verdicts.at(3), ClaimVerdict::Claimed);
}

TEST_F(ClaimRegistryWithTable, FormerHolderClaimedSameDelivery_ClaimIsTakenOver)
{
  ClaimRegistry former("i2#b", ClaimTiming{});
  former.Submit(now_, 9, "claim/a", "sending-1");
  former.OnReply(now_, Execute(*former.NextCall(now_)));
  registry_.Submit(now_, 1, "claim/a", "sending-1");
  EXPECT_EQ(RunCalls().at(0).verdict_, ClaimVerdict::Claimed);
  // The former holder's release comes too late to free the id again.
  former.Release(9);
  Execute(*former.NextCall(now_));
  registry_.Submit(now_, 2, "claim/a", "sending-2");
  EXPECT_EQ(RunCalls().at(0).verdict_, ClaimVerdict::Duplicate);
}

TEST_F(ClaimRegistryWithTable, Released_MayBeClaimedAgain)
{
  registry_.Submit(now_, 1, "claim/a", "sending-" + std::to_string(1));
  RunCalls();
  registry_.Release(1);
  RunCalls();
  registry_.Submit(now_, 2, "claim/a", "sending-" + std::to_string(2));
  EXPECT_EQ(RunCalls().at(0).verdict_, ClaimVerdict::Claimed);
}

TEST_F(ClaimRegistryWithTable, Closed_DuplicateReportsRecordedOutcome)
{
  registry_.Submit(now_, 1, "claim/a", "sending-" + std::to_string(1));
  RunCalls();
  registry_.Close(1, "answered 200");
  RunCalls();
  registry_.Submit(now_, 2, "claim/a", "sending-" + std::to_string(2));
  const auto decision = RunCalls().at(0);
  EXPECT_EQ(decision.verdict_, ClaimVerdict::Duplicate);
  EXPECT_EQ(decision.earlierOutcome_, "answered 200");
}

TEST_F(ClaimRegistryWithTable, AnswerIsLostAfterWrite_ReadBackFindsOwnClaim)
{
  registry_.Submit(now_, 1, "claim/a", "sending-" + std::to_string(1));
  const auto call = registry_.NextCall(now_);
  Execute(*call);
  EXPECT_TRUE(registry_.OnReply(now_, { StoreStatus::Indeterminate, {} }).empty());
  const auto decisions = RunCalls();
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].verdict_, ClaimVerdict::Claimed);
}

TEST_F(ClaimRegistryWithTable, WriteTakesEffectAfterReadBack_ClaimIsStillOwn)
{
  registry_.Submit(now_, 1, "claim/a", "sending-" + std::to_string(1));
  const auto late = registry_.NextCall(now_);
  registry_.OnReply(now_, { StoreStatus::Indeterminate, {} });
  now_ += milliseconds(100);
  registry_.OnReply(now_, Execute(*registry_.NextCall(now_)));
  Execute(*late);
  const auto decisions = RunCalls();
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].verdict_, ClaimVerdict::Claimed);
}

TEST_F(ClaimRegistryWithTable, ReleasedWhileIndeterminate_ClaimIsReleasedOnceKnown)
{
  registry_.Submit(now_, 1, "claim/a", "sending-" + std::to_string(1));
  Execute(*registry_.NextCall(now_));
  registry_.OnReply(now_, { StoreStatus::Indeterminate, {} });
  registry_.Release(1);
  EXPECT_TRUE(RunCalls().empty());
  EXPECT_EQ(table_.Rows().at("claim/a").value_, "released");
}

TEST_F(ClaimRegistryWithTable, StoreIsUnavailable_ClaimsFailUntilBackoffEnds)
{
  registry_.Submit(now_, 1, "claim/a", "sending-" + std::to_string(1));
  registry_.NextCall(now_);
  const auto decisions = registry_.OnReply(now_, { StoreStatus::Unavailable, {} });
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].verdict_, ClaimVerdict::StoreUnavailable);
  EXPECT_FALSE(registry_.Submit(now_, 2, "claim/b", "sending-" + std::to_string(2)));
  EXPECT_TRUE(registry_.Submit(now_ + seconds(1), 2, "claim/b", "sending-" + std::to_string(2)));
}

TEST_F(ClaimRegistryWithTable, ManyIds_TransactionRateIsLimited)
{
  std::size_t calls = 0;
  for (ClaimId id = 1; id <= 2000; ++id) {
    registry_.Submit(now_, id, "claim/" + std::to_string(id), "sending-" + std::to_string(id));
    now_ += milliseconds(1);
    if (const auto call = registry_.NextCall(now_)) {
      ++calls;
      registry_.OnReply(now_, Execute(*call));
    }
  }
  EXPECT_LE(calls, 2 * 30 + 5U);
  EXPECT_GE(calls, 55U);
}

} // namespace

} // namespace latchslip
