#include "LibDispatch/ClaimRegistry.h"
#include "LibStandIn/TableState.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

class ClaimBookOnTable : public testing::Test
{
protected:
  ClaimBookOnTable()
    : book_("i1#a", ClaimTiming{})
  {
  }

  StoreReply Carry(const ClaimCall& aCall)
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
  std::vector<ClaimDecision> Settle()
  {
    std::vector<ClaimDecision> decisions;
    for (int round = 0; round < 20; ++round) {
      now_ += milliseconds(100);
      if (const auto call = book_.NextCall(now_)) {
        for (auto& decision : book_.OnReply(now_, Carry(*call))) {
          decisions.push_back(decision);
        }
      }
    }
    return decisions;
  }

  Instant now_ = seconds(1);
  TableState table_;
  ClaimRegistry book_;
};

TEST_F(ClaimBookOnTable, IdIsNew_Claimed)
{
  ASSERT_TRUE(book_.Submit(now_, 1, "claim/a", "sending-" + std::to_string(1)));
  const auto decisions = Settle();
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].verdict_, ClaimVerdict::Claimed);
}

TEST_F(ClaimBookOnTable, SameIdTwiceInOneBatch_OneIsDuplicate)
{
  book_.Submit(now_, 1, "claim/a", "sending-" + std::to_string(1));
  book_.Submit(now_, 2, "claim/a", "sending-" + std::to_string(2));
  const auto decisions = Settle();
  ASSERT_EQ(decisions.size(), 2U);
  EXPECT_EQ(decisions[0].verdict_, ClaimVerdict::Claimed);
  EXPECT_EQ(decisions[1].verdict_, ClaimVerdict::Duplicate);
}

TEST_F(ClaimBookOnTable, OneOfABatchIsTaken_TheOthersAreClaimed)
{
  ClaimRegistry other("i2#b", ClaimTiming{});
  other.Submit(now_, 9, "claim/b", "sending-" + std::to_string(9));
  other.OnReply(now_, Carry(*other.NextCall(now_)));
  book_.Submit(now_, 1, "claim/a", "sending-" + std::to_string(1));
  book_.Submit(now_, 2, "claim/b", "sending-" + std::to_string(2));
  book_.Submit(now_, 3, "claim/c", "sending-" + std::to_string(3));
  std::map<ClaimId, ClaimVerdict> verdicts;
  for (const auto& decision : Settle()) {
    verdicts[decision.id_] = decision.verdict_;
  }
  EXPECT_EQ(verdicts.at(1), ClaimVerdict::Claimed);
  EXPECT_EQ(verdicts.at(2), ClaimVerdict::Duplicate);
  EXPECT_EQ(verdicts.at(3), ClaimVerdict::Claimed);
}

TEST_F(ClaimBookOnTable, SameSendingComesFromAFormerHolder_ClaimIsTakenOver)
{
  ClaimRegistry former("i2#b", ClaimTiming{});
  former.Submit(now_, 9, "claim/a", "sending-1");
  former.OnReply(now_, Carry(*former.NextCall(now_)));
  book_.Submit(now_, 1, "claim/a", "sending-1");
  EXPECT_EQ(Settle().at(0).verdict_, ClaimVerdict::Claimed);
  // The former holder's release comes too late to free the id again.
  former.Release(9);
  Carry(*former.NextCall(now_));
  book_.Submit(now_, 2, "claim/a", "sending-2");
  EXPECT_EQ(Settle().at(0).verdict_, ClaimVerdict::Duplicate);
}

TEST_F(ClaimBookOnTable, Released_MayBeClaimedAgain)
{
  book_.Submit(now_, 1, "claim/a", "sending-" + std::to_string(1));
  Settle();
  book_.Release(1);
  Settle();
  book_.Submit(now_, 2, "claim/a", "sending-" + std::to_string(2));
  EXPECT_EQ(Settle().at(0).verdict_, ClaimVerdict::Claimed);
}

TEST_F(ClaimBookOnTable, Closed_DuplicateIsToldWhatCameOfIt)
{
  book_.Submit(now_, 1, "claim/a", "sending-" + std::to_string(1));
  Settle();
  book_.Close(1, "answered 200");
  Settle();
  book_.Submit(now_, 2, "claim/a", "sending-" + std::to_string(2));
  const auto decision = Settle().at(0);
  EXPECT_EQ(decision.verdict_, ClaimVerdict::Duplicate);
  EXPECT_EQ(decision.earlier_, "answered 200");
}

TEST_F(ClaimBookOnTable, AnswerIsLostAfterTheWrite_ReadBackFindsTheOwnClaim)
{
  book_.Submit(now_, 1, "claim/a", "sending-" + std::to_string(1));
  const auto call = book_.NextCall(now_);
  Carry(*call);
  EXPECT_TRUE(book_.OnReply(now_, { StoreStatus::Indeterminate, {} }).empty());
  const auto decisions = Settle();
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].verdict_, ClaimVerdict::Claimed);
}

TEST_F(ClaimBookOnTable, WriteTakesEffectAfterTheReadBack_StillTheOwnClaim)
{
  book_.Submit(now_, 1, "claim/a", "sending-" + std::to_string(1));
  const auto late = book_.NextCall(now_);
  book_.OnReply(now_, { StoreStatus::Indeterminate, {} });
  now_ += milliseconds(100);
  book_.OnReply(now_, Carry(*book_.NextCall(now_)));
  Carry(*late);
  const auto decisions = Settle();
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].verdict_, ClaimVerdict::Claimed);
}

TEST_F(ClaimBookOnTable, GivenUpWhileUnsure_ClaimIsReleasedInTheEnd)
{
  book_.Submit(now_, 1, "claim/a", "sending-" + std::to_string(1));
  Carry(*book_.NextCall(now_));
  book_.OnReply(now_, { StoreStatus::Indeterminate, {} });
  book_.Release(1);
  EXPECT_TRUE(Settle().empty());
  EXPECT_EQ(table_.Rows().at("claim/a").value_, "released");
}

TEST_F(ClaimBookOnTable, StoreIsDown_RefusedAtOnceAndForAWhile)
{
  book_.Submit(now_, 1, "claim/a", "sending-" + std::to_string(1));
  book_.NextCall(now_);
  const auto decisions = book_.OnReply(now_, { StoreStatus::Unavailable, {} });
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].verdict_, ClaimVerdict::StoreUnavailable);
  EXPECT_FALSE(book_.Submit(now_, 2, "claim/b", "sending-" + std::to_string(2)));
  EXPECT_TRUE(book_.Submit(now_ + seconds(1), 2, "claim/b", "sending-" + std::to_string(2)));
}

TEST_F(ClaimBookOnTable, ManyIds_KeepToTheRateOfTransactions)
{
  std::size_t calls = 0;
  for (ClaimId id = 1; id <= 2000; ++id) {
    book_.Submit(now_, id, "claim/" + std::to_string(id), "sending-" + std::to_string(id));
    now_ += milliseconds(1);
    if (const auto call = book_.NextCall(now_)) {
      ++calls;
      book_.OnReply(now_, Carry(*call));
    }
  }
  EXPECT_LE(calls, 2 * 30 + 5U);
  EXPECT_GE(calls, 55U);
}

} // namespace

} // namespace latchslip
