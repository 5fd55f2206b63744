#include "LibAdmission/ReturnCalendar.h"

#include <gtest/gtest.h>
#include <map>

namespace latchslip {

namespace {

// A calendar for one server with ten requests a second, on a simulated clock.
class CalendarOfAServer : public testing::Test
{
protected:
  static constexpr double kThroughput = 10;
  static constexpr Duration kWork = milliseconds(100);

  // Lets new requests arrive at an even rate.
  void Pass(Duration aTime, double aRate = 1, unsigned aPriority = 1)
  {
    const auto end = now_ + aTime;
    const auto interval = Scale(seconds(1), 1 / aRate);
    for (; now_ < end; now_ += interval) {
      calendar_.OnNewRequest(now_, scope_, aPriority);
    }
  }

  static DeniedRequest Request(RequestFingerprint aFingerprint, unsigned aPriority = 1)
  {
    return { aFingerprint, aPriority, seconds(3), seconds(10), kWork, kThroughput, Duration(0) };
  }

  ReturnAnswer Deny(RequestFingerprint aFingerprint, unsigned aPriority = 1)
  {
    return calendar_.Deny(now_, scope_, Request(aFingerprint, aPriority));
  }

  // The number of promises given to that many requests at once.
  int Promises(int aRequests, unsigned aPriority = 1)
  {
    int promises = 0;
    for (int index = 0; index < aRequests; ++index) {
      promises += Deny(++lastFingerprint_, aPriority).isPromised_ ? 1 : 0;
    }
    return promises;
  }

  bool Redeem(RequestFingerprint aFingerprint)
  {
    return calendar_.Redeem(now_, scope_, aFingerprint);
  }

  Instant now_ = seconds(100);
  ReturnScope scope_{ "keyed", "s1" };
  RequestFingerprint lastFingerprint_ = 1000;
  ReturnCalendar calendar_;
};

// Guards against more promises than the server has spare capacity.
TEST_F(CalendarOfAServer, ManyAreDenied_PromisesTakeSpareCapacityOnly)
{
  Pass(seconds(4), 5);
  const auto promises = Promises(100);
  EXPECT_GE(promises, 12);
  EXPECT_LE(promises, 16) << "3 s with 5 spare requests a second";
}

// Guards against returns that collide: each slice holds about what is spare in it.
TEST_F(CalendarOfAServer, ManyAreDenied_ReturnsAreSpreadOverTheSlices)
{
  Pass(seconds(4), 5);
  std::map<std::int64_t, int> returns;
  for (RequestFingerprint fingerprint = 1; fingerprint <= 100; ++fingerprint) {
    const auto answer = Deny(fingerprint);
    if (answer.isPromised_) {
      ++returns[(now_ + answer.wait_) / ReturnSlices::kSlice];
    }
  }
  for (const auto& [slice, count] : returns) {
    EXPECT_EQ(count, 1) << "slice " << slice;
  }
}

// Guards against promises in an overload, where each would displace a new request.
TEST_F(CalendarOfAServer, NewRequestsTakeAllCapacity_NothingIsPromised)
{
  Pass(seconds(4), 13);
  auto request = Request(1);
  request.inTime_ = kWork / 2;
  const auto answer = calendar_.Deny(now_, scope_, request);
  EXPECT_FALSE(answer.isPromised_);
  EXPECT_GT(answer.wait_, Scale(seconds(10), ReturnCalendar::kHonouredShare))
    << "the caller must not return in vain";
}

// Guards against callers that are kept away although the shortage ends while they could be in time.
TEST_F(CalendarOfAServer,
       NewRequestsTakeAllCapacityButReturnCanBeInTime_ToldTheQueueWithoutAPromise)
{
  Pass(seconds(4), 13);
  auto request = Request(1);
  request.queueTime_ = milliseconds(120);
  const auto answer = calendar_.Deny(now_, scope_, request);
  EXPECT_FALSE(answer.isPromised_);
  EXPECT_EQ(answer.wait_, request.queueTime_);
}

// Guards against less urgent new requests that keep the more urgent from a promise.
TEST_F(CalendarOfAServer, LessUrgentRequestsTakeTheCapacity_OnlyTheMoreUrgentIsPromised)
{
  Pass(seconds(4), 13, 2);
  EXPECT_TRUE(Deny(1, 1).isPromised_);
  EXPECT_FALSE(Deny(2, 2).isPromised_);
}

// Guards against a late return that displaces requests that can be in time.
TEST_F(CalendarOfAServer, ReturnWouldBeLate_LessUrgentNewRequestsCountToo)
{
  Pass(seconds(4), 13, 2);
  auto late = Request(1, 1);
  late.inTime_ = Duration(0);
  EXPECT_FALSE(calendar_.Deny(now_, scope_, late).isPromised_);
}

// Guards against late returns that keep one that can be in time from its promise.
TEST_F(CalendarOfAServer, LateReturnsArePromised_ReturnsInTimeGetTheSameSlices)
{
  Pass(seconds(4), 5);
  int promises = 0;
  for (RequestFingerprint fingerprint = 1; fingerprint <= 100; ++fingerprint) {
    auto late = Request(fingerprint);
    late.inTime_ = Duration(0);
    promises += calendar_.Deny(now_, scope_, late).isPromised_ ? 1 : 0;
  }
  EXPECT_GE(promises, 12);
  EXPECT_GE(Promises(100), 12);
}

// Guards against a moment that the queue takes.
TEST_F(CalendarOfAServer, RequestsAreQueued_MomentIsAfterTheQueue)
{
  Pass(seconds(4), 5);
  auto request = Request(1);
  request.queueTime_ = milliseconds(500);
  const auto answer = calendar_.Deny(now_, scope_, request);
  EXPECT_TRUE(answer.isPromised_);
  EXPECT_GE(answer.wait_, milliseconds(1000)) << "half of the throughput serves new requests";
}

// Guards against promises to callers that do not wait for them.
TEST_F(CalendarOfAServer, SpareMomentIsLaterThanTheCallerWaits_NothingIsPromised)
{
  Pass(seconds(4), 5);
  auto request = Request(1);
  request.queueTime_ = milliseconds(500);
  request.timeLeft_ = seconds(1);
  const auto answer = calendar_.Deny(now_, scope_, request);
  EXPECT_FALSE(answer.isPromised_);
  EXPECT_GT(answer.wait_, milliseconds(300));
  EXPECT_EQ(calendar_.Size(), 0U);
}

// Guards against returns whose work cannot end before the caller gives up.
TEST_F(CalendarOfAServer, WorkTakesAllTimeLeft_CallerIsNotToldToReturn)
{
  Pass(seconds(4), 5);
  auto request = Request(1);
  request.work_ = request.timeLeft_;
  const auto answer = calendar_.Deny(now_, scope_, request);
  EXPECT_EQ(answer, (ReturnAnswer{ request.timeLeft_, false }));
}

// Guards against a promise that serves several returns.
TEST_F(CalendarOfAServer, ReturnIsDue_EntryServesItOnce)
{
  Pass(seconds(4), 5);
  const auto answer = Deny(1);
  ASSERT_TRUE(answer.isPromised_);
  now_ += answer.wait_;
  EXPECT_TRUE(Redeem(1));
  EXPECT_FALSE(Redeem(1));
  EXPECT_EQ(calendar_.Counts().kept_, 1U);
  EXPECT_EQ(calendar_.Size(), 0U);
}

// Guards against callers that repeat at once to get ahead of others.
TEST_F(CalendarOfAServer, CallerRepeatsAtOnce_GainsNothingAndKeepsItsEntry)
{
  Pass(seconds(4), 5);
  const auto answer = Deny(1);
  for (int repetition = 0; repetition < 10; ++repetition) {
    EXPECT_FALSE(Redeem(1));
    EXPECT_EQ(Deny(1), answer);
  }
  EXPECT_EQ(calendar_.Size(), 1U);
  EXPECT_EQ(calendar_.Counts().promised_, 1U);
  now_ += answer.wait_;
  EXPECT_TRUE(Redeem(1));
}

// Guards against entries that hold capacity for callers that have given up.
TEST_F(CalendarOfAServer, NobodyReturns_EntryExpiresAndReleasesItsCapacity)
{
  Pass(seconds(4), 5);
  const auto promises = Promises(100);
  Pass(ReturnSlices::kHorizon + ReturnCalendar::kOverdue + milliseconds(100), 5);
  EXPECT_FALSE(Redeem(1001));
  EXPECT_EQ(calendar_.Size(), 0U);
  EXPECT_EQ(calendar_.Counts().expired_, static_cast<std::uint64_t>(promises));
  EXPECT_GE(Promises(100), promises - 1);
}

// Guards against the bounds of the due time.
TEST_F(CalendarOfAServer, ReturnIsEarlyOrOverdue_DueFrom200MsBeforeTo500MsAfter)
{
  Pass(seconds(4), 5);
  auto request = Request(1);
  request.queueTime_ = milliseconds(800);
  const auto answer = calendar_.Deny(now_, scope_, request);
  ASSERT_TRUE(answer.isPromised_);
  const auto moment = now_ + answer.wait_;
  EXPECT_FALSE(calendar_.Redeem(moment - milliseconds(201), scope_, 1));
  auto other = calendar_;
  EXPECT_TRUE(other.Redeem(moment - milliseconds(200), scope_, 1));
  other = calendar_;
  EXPECT_TRUE(other.Redeem(moment + milliseconds(500), scope_, 1));
  EXPECT_FALSE(calendar_.Redeem(moment + milliseconds(501), scope_, 1));
}

// Guards against promises of a dispatcher that does not know the load yet.
TEST_F(CalendarOfAServer, ScopeIsNew_NothingIsPromisedFor500Ms)
{
  Pass(milliseconds(400), 5);
  EXPECT_FALSE(Deny(1).isPromised_);
  Pass(milliseconds(200), 5);
  EXPECT_TRUE(Deny(2).isPromised_);
  now_ += seconds(3);
  EXPECT_FALSE(Deny(3).isPromised_) << "the load is not known any more";
}

// Guards against entries for servers that are gone.
TEST_F(CalendarOfAServer, ServerGoes_ItsEntriesAreDropped)
{
  Pass(seconds(4), 5);
  const auto answer = Deny(1);
  ASSERT_TRUE(answer.isPromised_);
  calendar_.DropScopes([&](const ReturnScope& aScope) { return aScope == scope_; });
  EXPECT_EQ(calendar_.Size(), 0U);
  now_ += answer.wait_;
  EXPECT_FALSE(Redeem(1));
}

// Guards against memory that grows with the number of denials.
TEST_F(CalendarOfAServer, MoreAreDeniedThanTheBound_NoMoreIsPromised)
{
  Pass(seconds(4), 5);
  int promises = 0;
  for (RequestFingerprint fingerprint = 1; fingerprint <= 5000; ++fingerprint) {
    auto request = Request(fingerprint);
    request.throughput_ = 1e5;
    promises += calendar_.Deny(now_, scope_, request).isPromised_ ? 1 : 0;
  }
  EXPECT_EQ(promises, static_cast<int>(ReturnCalendar::kMaxEntries));
}

// Guards against promises that cannot be recognized.
TEST_F(CalendarOfAServer, RequestHasNoFingerprint_NothingIsPromised)
{
  Pass(seconds(4), 5);
  EXPECT_FALSE(Deny(kNoFingerprint).isPromised_);
}

} // namespace

} // namespace latchslip
