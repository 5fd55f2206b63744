#include "DispatcherFixture.h"

namespace latchslip {

namespace {

// A dispatcher under load management with one server of one slot, on a simulated clock. The work of
// a request takes 50 ms, and clients give up after 4 s.
class DispatcherWithPromises : public DispatcherOfAService
{
protected:
  static constexpr Duration kWork = milliseconds(50);

  DispatcherWithPromises() { SetLoadManagement(true); }

  void SetLoadManagement(bool aIsOn)
  {
    RoutingConfiguration configuration;
    configuration.version_ = ++version_;
    configuration.services_ = { { "plain", 100, false } };
    Route route;
    route.host_ = "a.example";
    route.pathPrefix_ = "/";
    route.hasLargeBodies_ = aIsOn;
    route.targets_ = { { "plain", 1 } };
    configuration.routes_ = { route };
    dispatcher_.SetRoutes(
      now_, std::make_shared<const RouteTable>(RouteTable::Create(configuration).value()));
  }

  AttemptNumber Ask(RequestFingerprint aFingerprint,
                    Duration aInTime = milliseconds(1500),
                    unsigned aPriority = 1)
  {
    PermitRequest request;
    request.number_ = ++lastNumber_;
    request.service_ = "plain";
    request.server_ = "s1";
    request.hall_ = "hall";
    request.priority_ = aPriority;
    request.inTime_ = aInTime;
    request.timeLeft_ = seconds(4);
    request.fingerprint_ = aFingerprint;
    dispatcher_.OnMessage(now_, kCaller, request);
    return lastNumber_;
  }

  // The denial of the request; null if it was not denied.
  const PermitDenial* DenialOf(AttemptNumber aNumber) const
  {
    for (const auto& [caller, answer] : actions_.answers_) {
      const auto* denial = std::get_if<PermitDenial>(&answer);
      if (denial != nullptr && denial->number_ == aNumber) {
        return denial;
      }
    }
    return nullptr;
  }

  // Lets one request run at a time, so that the dispatcher knows the work time and a low load.
  void RunLightLoad(Duration aTime)
  {
    const auto end = now_ + aTime;
    while (now_ < end) {
      const auto number = Ask(kNoFingerprint);
      Pass(kWork);
      End(number, SendResult::Answered, kWork);
      Pass(milliseconds(450));
    }
  }

  // Uses all slots of the server.
  void Fill()
  {
    while (PermittedTo(Ask(kNoFingerprint)) == "s1") {
      running_.push_back(lastNumber_);
    }
    running_.push_back(lastNumber_);
  }

  // The denial of a request with too little time, while the server is full. The server is idle
  // afterwards.
  const PermitDenial* AskWhileFull(RequestFingerprint aFingerprint)
  {
    Fill();
    const auto number = Ask(aFingerprint, milliseconds(60));
    Pass(kWork);
    for (const auto running : running_) {
      End(running, SendResult::Answered, kWork);
    }
    running_.clear();
    return DenialOf(number);
  }

  std::uint64_t version_ = 1;
  // Requests that use a slot or wait for one.
  std::vector<AttemptNumber> running_;
};

// Guards against promises that are not kept: the return goes ahead of new requests of its class.
TEST_F(DispatcherWithPromises, CallerReturnsWhenPromised_IsServedBeforeNewRequests)
{
  Put("s1", "hall", 1);
  RunLightLoad(seconds(3));
  const auto* denial = AskWhileFull(7);
  ASSERT_NE(denial, nullptr);
  ASSERT_TRUE(denial->isPromised_);
  const auto wait = denial->wait_;
  EXPECT_LE(wait, milliseconds(1200)) << "0.3 of the time left";
  Pass(wait - kWork);
  Fill();
  const auto fresh = Ask(8, milliseconds(1000));
  const auto back = Ask(7, milliseconds(1000));
  const auto urgent = Ask(9, milliseconds(1000), 0);
  ASSERT_EQ(PermittedTo(back), "");
  End(running_[0], SendResult::Answered, kWork);
  EXPECT_EQ(PermittedTo(urgent), "s1") << "a more urgent request goes first";
  End(running_[1], SendResult::Answered, kWork);
  EXPECT_EQ(PermittedTo(back), "s1");
  EXPECT_EQ(PermittedTo(fresh), "");
  EXPECT_EQ(dispatcher_.Returns().kept_, 1U);
}

// Guards against late returns that displace requests that can still be in time.
TEST_F(DispatcherWithPromises, ReturnIsLate_RequestsInTimeGoFirst)
{
  Put("s1", "hall", 1);
  RunLightLoad(seconds(3));
  const auto* denial = AskWhileFull(7);
  ASSERT_NE(denial, nullptr);
  ASSERT_TRUE(denial->isPromised_);
  Pass(denial->wait_ - kWork);
  Fill();
  const auto back = Ask(7, Duration(0));
  const auto fresh = Ask(8, milliseconds(1000));
  End(running_[0], SendResult::Answered, kWork);
  End(running_[1], SendResult::Answered, kWork);
  EXPECT_EQ(PermittedTo(fresh), "s1");
  EXPECT_EQ(PermittedTo(back), "");
}

// Guards against late returns that displace less urgent requests that can still be in time.
TEST_F(DispatcherWithPromises, LateReturnIsMoreUrgent_RequestsInTimeGoFirst)
{
  Put("s1", "hall", 1);
  RunLightLoad(seconds(3));
  const auto* denial = AskWhileFull(7);
  ASSERT_NE(denial, nullptr);
  ASSERT_TRUE(denial->isPromised_);
  Pass(denial->wait_ - kWork);
  Fill();
  const auto back = Ask(7, Duration(0), 0);
  const auto fresh = Ask(8, milliseconds(1000), 1);
  ASSERT_EQ(dispatcher_.Returns().kept_, 1U);
  End(running_[0], SendResult::Answered, kWork);
  End(running_[1], SendResult::Answered, kWork);
  EXPECT_EQ(PermittedTo(fresh), "s1");
  EXPECT_EQ(PermittedTo(back), "");
  End(running_[2], SendResult::Answered, kWork);
  End(fresh, SendResult::Answered, kWork);
  EXPECT_EQ(PermittedTo(back), "s1") << "the server is idle";
}

// Guards against callers that repeat at once to get ahead of others.
TEST_F(DispatcherWithPromises, CallerRepeatsAtOnce_IsToldTheSameMomentAndReservesNothing)
{
  Put("s1", "hall", 1);
  RunLightLoad(seconds(3));
  Fill();
  const auto* denial = DenialOf(Ask(7, milliseconds(60)));
  ASSERT_NE(denial, nullptr);
  const auto wait = denial->wait_;
  for (int repetition = 0; repetition < 20; ++repetition) {
    const auto* again = DenialOf(Ask(7, milliseconds(60)));
    ASSERT_NE(again, nullptr);
    EXPECT_EQ(again->wait_, wait);
  }
  EXPECT_EQ(dispatcher_.Returns().promised_, 1U);
  EXPECT_EQ(dispatcher_.Returns().kept_, 0U);
}

// Guards against promises of a dispatcher that does not know the load.
TEST_F(DispatcherWithPromises, DispatcherIsNew_NothingIsPromised)
{
  Put("s1", "hall", 1);
  const auto* denial = AskWhileFull(7);
  ASSERT_NE(denial, nullptr);
  EXPECT_FALSE(denial->isPromised_);
}

// Guards against entries that outlive their server.
TEST_F(DispatcherWithPromises, ServerGoes_ReturnIsANewRequest)
{
  Put("s1", "hall", 1);
  RunLightLoad(seconds(3));
  const auto* denial = AskWhileFull(7);
  ASSERT_NE(denial, nullptr);
  ASSERT_TRUE(denial->isPromised_);
  const auto wait = denial->wait_;
  directory_ = {};
  dispatcher_.OnDirectoryChanged(now_);
  Put("s1", "hall", 1);
  Pass(wait);
  Ask(7);
  EXPECT_EQ(dispatcher_.Returns().kept_, 0U);
}

// Guards against a change for deployments that do not ask for load management.
TEST_F(DispatcherWithPromises, LoadManagementIsOff_DenialsAreAsBefore)
{
  SetLoadManagement(false);
  Put("s1", "hall", 1);
  RunLightLoad(seconds(3));
  const auto* denial = AskWhileFull(7);
  ASSERT_NE(denial, nullptr);
  EXPECT_FALSE(denial->isPromised_);
  EXPECT_EQ(denial->wait_, 2 * kWork) << "one request waits already";
  EXPECT_EQ(dispatcher_.Returns().promised_, 0U);
}

} // namespace

} // namespace latchslip
