#include "LibInstance/InstanceCore.h"
#include "LibScenario/SimulatedFleet.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace latchslip {

namespace {

using testing::AllOf;
using testing::Field;

// A fleet of three with one service, on the fakes of the scenarios.
class FleetOfThree : public testing::Test
{
protected:
  FleetOfThree()
    : world_(5, { "a", "b" })
  {
    for (const auto* name : { "i1", "i2", "i3" }) {
      world_.AddInstance(name);
    }
    world_.AddService({ "rates", 2, 2, true, milliseconds(20) });
    SharingIntent intent;
    intent.group_ = "web";
    intent.service_ = "rates";
    intent.portion_ = 1;
    intent.maxWaiting_ = 3;
    world_.AddIntent(intent);
    EXPECT_TRUE(world_.Start());
  }

  void SendAndExpect(const SimulatedFleet::LoadSettings& aHow,
                     RequestOutcome aOutcome,
                     Reason aReason)
  {
    const auto id = "x" + std::to_string(++last_);
    world_.Send(id, "i2", aHow, "key");
    world_.Advance(seconds(3));
    EXPECT_EQ(world_.OutcomeOf(id), aOutcome);
    EXPECT_EQ(world_.ReasonOf(id), aReason);
  }

  SimulatedFleet world_;
  SimulatedFleet::LoadSettings how_{ "web", "rates", 0, 1, true, seconds(1), 0 };
  int last_ = 0;
};

TEST_F(FleetOfThree, RequestIsGood_Answered)
{
  SendAndExpect(how_, RequestOutcome::Answered, Reason::None);
}

TEST_F(FleetOfThree, ServiceIsUnknown_NotRun)
{
  how_.service_ = "rooms";
  SendAndExpect(how_, RequestOutcome::NotRun, Reason::NoSuchService);
}

TEST_F(FleetOfThree, GroupHasNoIntent_NotRun)
{
  how_.group_ = "strangers";
  SendAndExpect(how_, RequestOutcome::NotRun, Reason::NoSuchGroup);
}

TEST_F(FleetOfThree, DeadlineHasPassed_NotRun)
{
  how_.deadline_ = Duration{ 0 };
  SendAndExpect(how_, RequestOutcome::NotRun, Reason::DeadlinePassed);
}

TEST_F(FleetOfThree, DeadlineIsShorterThanTheWork_RefusedAtOnce)
{
  for (int warmUp = 0; warmUp < 60; ++warmUp) {
    world_.Send("w" + std::to_string(warmUp), "i2", how_, "key");
    world_.Advance(milliseconds(30));
  }
  how_.deadline_ = milliseconds(10);
  SendAndExpect(how_, RequestOutcome::NotRun, Reason::DeadlineTooNear);
}

TEST_F(FleetOfThree, QueueOfTheGroupIsFull_RefusedAtOnce)
{
  for (int number = 0; number < 20; ++number) {
    world_.Send("q" + std::to_string(number), "i1", how_, "key");
  }
  world_.Advance(milliseconds(15));
  EXPECT_EQ(world_.ReasonOf("q19"), Reason::QueueFull);
  world_.Advance(seconds(1));
  EXPECT_EQ(world_.Total().answered_ + world_.Total().notRun_, 20U);
}

TEST_F(FleetOfThree, CallerGoesAwayWhileRunning_CancelledAtTheServer)
{
  how_.isRepeatable_ = false;
  world_.Send("gone", "i1", how_, "key");
  world_.Advance(milliseconds(10));
  for (const auto& name : world_.InstanceNames()) {
    world_.Core(name)->OnCallerGone(world_.Now(), 1);
  }
  world_.Advance(seconds(1));
  EXPECT_TRUE(world_.Violations().empty());
}

TEST_F(FleetOfThree, EveryAnswerCame_NothingIsKept)
{
  for (int number = 0; number < 50; ++number) {
    world_.Send("k" + std::to_string(number), "i3", how_, "key" + std::to_string(number));
    world_.Advance(milliseconds(20));
  }
  world_.Advance(seconds(2));
  for (const auto& name : world_.InstanceNames()) {
    EXPECT_TRUE(world_.Core(name)->Callers().IsIdle());
    for (const auto& [key, held] : world_.Core(name)->Dispatch().Held()) {
      EXPECT_TRUE(held->works_.empty()) << key;
    }
  }
}

// What one instance does before it knows anything.
class OutboxMock : public Outbox
{
public:
  MOCK_METHOD(bool, SendToPeer, (const InstanceId&, const PeerMessage&), (override));
  MOCK_METHOD(void, CallStore, (CallTag, const StoreCall&), (override));
  MOCK_METHOD(void, SendGrant, (CallTag, const std::string&, const GrantOrder&), (override));
  MOCK_METHOD(void, SendWork, (const WorkOrder&), (override));
  MOCK_METHOD(void, CancelWork, (WorkId), (override));
  MOCK_METHOD(void, AnswerCaller, (CallerId, const WorkAnswer&), (override));
  MOCK_METHOD(void, AnswerOperator, (OperatorId, const OperatorAnswer&), (override));
};

class NoEvents : public EventSink
{
public:
  void Record(Event, std::string_view) override {}
};

class LoneInstance : public testing::Test
{
protected:
  LoneInstance()
    : core_("i1#a", "a", InstanceTiming{}, outbox_, events_)
  {
  }

  testing::NiceMock<OutboxMock> outbox_;
  NoEvents events_;
  InstanceCore core_;
};

TEST_F(LoneInstance, KnowsNoView_RefusesWithWhenToComeBack)
{
  WorkRequest request;
  request.service_ = "rates";
  request.deadline_ = seconds(10);
  EXPECT_CALL(outbox_,
              AnswerCaller(7,
                           AllOf(Field(&WorkAnswer::outcome_, RequestOutcome::NotRun),
                                 Field(&WorkAnswer::reason_, Reason::ViewStale),
                                 Field(&WorkAnswer::retryAfter_, testing::Gt(Duration{ 0 })))));
  core_.OnCaller(seconds(1), 7, request);
}

TEST_F(LoneInstance, PlanIsNoJson_AnswersWithTheField)
{
  EXPECT_CALL(outbox_, AnswerOperator(3, Field(&OperatorAnswer::status_, 400U)));
  core_.OnPlan(seconds(1), 3, "{ nonsense");
}

TEST_F(LoneInstance, ReadsTheStoreOnItsFirstTick_AndNotAgainAtOnce)
{
  EXPECT_CALL(outbox_, CallStore(testing::_, Field(&StoreCall::isRead_, true))).Times(1);
  core_.Tick(seconds(1));
  core_.Tick(seconds(1) + milliseconds(10));
}

TEST_F(LoneInstance, ForwardedRequestForAServerItDoesNotHold_SaysNotHolder)
{
  ForwardedRequest forwarded;
  forwarded.id_ = 12;
  forwarded.request_.service_ = "rates";
  forwarded.request_.deadline_ = seconds(1);
  EXPECT_CALL(outbox_, SendToPeer("i2#b", testing::VariantWith<ForwardedAnswer>(testing::_)));
  core_.OnPeerMessage(seconds(1), "i2#b", forwarded);
}

} // namespace

} // namespace latchslip
