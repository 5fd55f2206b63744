#include "LibInstance/InstanceCore.h"
#include "LibScenario/SimulatedFleet.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace latchslip {

namespace {

using testing::AllOf;
using testing::Field;

// Three instances with one service, simulated on the fakes of the scenario tests.
class ThreeInstances : public testing::Test
{
protected:
  ThreeInstances()
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

TEST_F(ThreeInstances, RequestIsValid_Answered)
{
  SendAndExpect(how_, RequestOutcome::Answered, Reason::None);
}

TEST_F(ThreeInstances, ServiceIsUnknown_NotRun)
{
  how_.service_ = "rooms";
  SendAndExpect(how_, RequestOutcome::NotRun, Reason::NoSuchService);
}

TEST_F(ThreeInstances, GroupHasNoIntent_NotRun)
{
  how_.group_ = "strangers";
  SendAndExpect(how_, RequestOutcome::NotRun, Reason::NoSuchGroup);
}

TEST_F(ThreeInstances, DeadlineHasPassed_NotRun)
{
  how_.deadline_ = Duration{ 0 };
  SendAndExpect(how_, RequestOutcome::NotRun, Reason::DeadlinePassed);
}

TEST_F(ThreeInstances, DeadlineIsShorterThanWork_RefusedAtOnce)
{
  for (int warmUp = 0; warmUp < 60; ++warmUp) {
    world_.Send("w" + std::to_string(warmUp), "i2", how_, "key");
    world_.Advance(milliseconds(30));
  }
  how_.deadline_ = milliseconds(10);
  SendAndExpect(how_, RequestOutcome::NotRun, Reason::DeadlineTooNear);
}

TEST_F(ThreeInstances, QueueOfGroupIsFull_RefusedAtOnce)
{
  for (int number = 0; number < 20; ++number) {
    world_.Send("q" + std::to_string(number), "i1", how_, "key");
  }
  world_.Advance(milliseconds(15));
  EXPECT_EQ(world_.ReasonOf("q19"), Reason::QueueFull);
  world_.Advance(seconds(1));
  EXPECT_EQ(world_.Total().answered_ + world_.Total().notRun_, 20U);
}

TEST_F(ThreeInstances, CallerDisconnectsWhileRunning_CancelledAtServer)
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

TEST_F(ThreeInstances, AllRequestsAnswered_NoStateRemains)
{
  for (int number = 0; number < 50; ++number) {
    world_.Send("k" + std::to_string(number), "i3", how_, "key" + std::to_string(number));
    world_.Advance(milliseconds(20));
  }
  world_.Advance(seconds(2));
  for (const auto& name : world_.InstanceNames()) {
    EXPECT_TRUE(world_.Core(name)->Callers().IsIdle());
    for (const auto& [key, held] : world_.Core(name)->Dispatch().Held()) {
      EXPECT_TRUE(held->workItems_.empty()) << key;
    }
  }
}

// A single instance with a mocked outbox, before it has installed any view.
class OutboxMock : public Outbox
{
public:
  MOCK_METHOD(bool, SendToPeer, (const InstanceId&, const PeerMessage&), (override));
  MOCK_METHOD(void, CallStore, (CallTag, const StoreCall&), (override));
  MOCK_METHOD(void, SendGrant, (CallTag, const std::string&, const GrantCommand&), (override));
  MOCK_METHOD(void, SendWork, (const WorkCommand&), (override));
  MOCK_METHOD(void, CancelWork, (WorkId), (override));
  MOCK_METHOD(void, AnswerCaller, (CallerId, const WorkAnswer&), (override));
  MOCK_METHOD(void, AnswerOperator, (OperatorId, const OperatorAnswer&), (override));
};

class NoEvents : public EventSink
{
public:
  void Record(Event, std::string_view) override {}
};

class SingleInstance : public testing::Test
{
protected:
  SingleInstance()
    : core_("i1#a", "a", InstanceTiming{}, outbox_, events_)
  {
  }

  testing::NiceMock<OutboxMock> outbox_;
  NoEvents events_;
  InstanceCore core_;
};

TEST_F(SingleInstance, NoViewInstalled_RefusesWithRetryAfter)
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

TEST_F(SingleInstance, PlanIsNotJson_AnswersBadRequest)
{
  EXPECT_CALL(outbox_, AnswerOperator(3, Field(&OperatorAnswer::status_, 400U)));
  core_.OnPlan(seconds(1), 3, "{ nonsense");
}

TEST_F(SingleInstance, FirstTick_ReadsStoreOnce)
{
  EXPECT_CALL(outbox_, CallStore(testing::_, Field(&StoreCall::isRead_, true))).Times(1);
  core_.Tick(seconds(1));
  core_.Tick(seconds(1) + milliseconds(10));
}

TEST_F(SingleInstance, ForwardedRequestForServerNotHeld_AnswersNotHolder)
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
