#include "LibStandIn/Audit.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

// Valid records of one booking that ran once on one server. Each test changes them so that one
// guarantee is violated, or not.
class AuditOfOneBooking : public testing::Test
{
protected:
  AuditOfOneBooking()
    : callers_(1)
    , servers_(2)
  {
    callers_[0].requestId_ = "b1";
    callers_[0].service_ = "bookings";
    callers_[0].outcome_ = RequestOutcome::Answered;
    for (auto& server : servers_) {
      server.service_ = "bookings";
      server.slots_ = 4;
    }
    servers_[0].server_ = "s1";
    servers_[1].server_ = "s2";
    servers_[0].executions_.push_back({ "b1", "web", 7, 1, milliseconds(10), milliseconds(20) });
    servers_[0].ownerships_.push_back({ 1, milliseconds(0), milliseconds(100), { { 0, 50 } } });
    servers_[1].ownerships_.push_back({ 1, milliseconds(0), milliseconds(100), { { 51, 99 } } });
  }

  std::string FirstViolation() const
  {
    const auto report = Audit(callers_, servers_);
    return report.violations_.empty()
             ? ""
             : report.violations_[0].substr(0, report.violations_[0].find(':'));
  }

  std::vector<CallerRecord> callers_;
  std::vector<ServerRecords> servers_;
};

TEST_F(AuditOfOneBooking, ValidRecords_NoViolation)
{
  EXPECT_EQ(FirstViolation(), "");
}

TEST_F(AuditOfOneBooking, RanTwice_Violation)
{
  servers_[1].executions_.push_back({ "b1", "web", 7, 1, milliseconds(30), milliseconds(40) });
  EXPECT_EQ(FirstViolation(), "at-most-once");
}

TEST_F(AuditOfOneBooking, RepeatableRanTwice_NoViolation)
{
  callers_[0].isRepeatable_ = true;
  servers_[1].executions_.push_back({ "b1", "web", 7, 1, milliseconds(30), milliseconds(40) });
  EXPECT_EQ(FirstViolation(), "");
}

TEST_F(AuditOfOneBooking, AnsweredNotRunButRan_Violation)
{
  callers_[0].outcome_ = RequestOutcome::NotRun;
  EXPECT_EQ(FirstViolation(), "not-run");
}

TEST_F(AuditOfOneBooking, AnsweredButNeverRan_Violation)
{
  servers_[0].executions_.clear();
  EXPECT_EQ(FirstViolation(), "answered");
}

TEST_F(AuditOfOneBooking, AnswerOfAnotherRequest_Violation)
{
  callers_[0].isMatchingAnswer_ = false;
  EXPECT_EQ(FirstViolation(), "own-answer");
}

TEST_F(AuditOfOneBooking, TwoServersOwnOneKeyAtOnce_Violation)
{
  servers_[1].ownerships_[0].ranges_[0].first = 50;
  EXPECT_EQ(FirstViolation(), "one-owner");
}

TEST_F(AuditOfOneBooking, OwnershipMovesToAnotherServer_NoViolation)
{
  servers_[0].ownerships_[0].until_ = milliseconds(50);
  servers_[1].ownerships_[0] = { 2, milliseconds(50), milliseconds(100), { { 0, 99 } } };
  EXPECT_EQ(FirstViolation(), "");
}

TEST_F(AuditOfOneBooking, OneKeyRunsOnTwoServersAtOnce_Violation)
{
  servers_[1].executions_.push_back({ "b2", "web", 7, 1, milliseconds(15), milliseconds(25) });
  EXPECT_EQ(FirstViolation(), "one-owner");
}

TEST_F(AuditOfOneBooking, MoreRunningThanSlots_Violation)
{
  servers_[0].maxRunning_ = 5;
  EXPECT_EQ(FirstViolation(), "slots");
}

TEST_F(AuditOfOneBooking, LastLineTruncated_CompleteLinesAreRead)
{
  const auto text = SerializeHeader(servers_[0]) + "\n" +
                    SerializeExecution(servers_[0].executions_[0], 2) + "\n" +
                    SerializeOwnership(servers_[0].ownerships_[0]) + "\n{\"kind\":\"exec";
  const auto records = ParseServerRecords(text);
  ASSERT_TRUE(records) << records.error().Describe();
  EXPECT_EQ(records.value().server_, "s1");
  EXPECT_EQ(records.value().executions_.size(), 1U);
  EXPECT_EQ(records.value().ownerships_.at(0).ranges_, servers_[0].ownerships_[0].ranges_);
  EXPECT_EQ(records.value().maxRunning_, 2U);
}

TEST_F(AuditOfOneBooking, CallerRecordWrittenAndReadAgain_IsEqual)
{
  callers_[0].reason_ = Reason::Duplicate;
  const auto read = ParseCallerRecords(SerializeCallerRecord(callers_[0]) + "\n");
  ASSERT_TRUE(read);
  EXPECT_EQ(read.value().at(0).requestId_, "b1");
  EXPECT_EQ(read.value().at(0).reason_, Reason::Duplicate);
}

} // namespace

} // namespace latchslip
