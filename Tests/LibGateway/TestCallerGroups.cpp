#include "LibGateway/ApiKeyIndex.h"
#include "LibGateway/GatewayRouter.h"
#include "RecordingActions.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

TEST(ApiKeyIndex, KeysOfTwoGroups_EachFindsItsOwn)
{
  const auto index =
    ApiKeyIndex::Create({ { "a", { "key1", "key2" } }, { "b", { "key3" } } }).value();
  EXPECT_EQ(index.Find("key1"), 0U);
  EXPECT_EQ(index.Find("key2"), 0U);
  EXPECT_EQ(index.Find("key3"), 1U);
  EXPECT_FALSE(index.Find("key"));
  EXPECT_FALSE(index.Find(""));
}

TEST(ApiKeyIndex, GroupsShareAKey_IsRefusedWithoutNamingTheKey)
{
  const auto index = ApiKeyIndex::Create({ { "a", { "secret" } }, { "b", { "secret" } } });
  ASSERT_FALSE(index);
  EXPECT_NE(index.error().Describe().find("group b"), std::string::npos);
  EXPECT_EQ(index.error().Describe().find("secret"), std::string::npos);
}

TEST(RouteTable, ConfigurationWithGroups_KeepsNoKeyInTheClear)
{
  RoutingConfiguration configuration;
  configuration.groups_ = { { "a", { "key1" } } };
  const auto table = RouteTable::Create(configuration).value();
  EXPECT_TRUE(table.Configuration().groups_.front().apiKeys_.empty());
  ASSERT_NE(table.FindGroup("key1"), nullptr);
  EXPECT_EQ(table.FindGroup("key1")->name_, "a");
}

// Admits as many requests as the test allows.
class CountingAdmission : public GroupAdmission
{
public:
  bool TryAdmit(Instant, const CallerGroup& aGroup, bool) override
  {
    requestedGroups_.push_back(aGroup.name_);
    return left_-- > 0;
  }

  int left_ = 1000;
  std::vector<std::string> requestedGroups_;
};

// Two groups, "a" more urgent than "b"; the route "/open/" is public.
class RouterWithGroups : public testing::Test
{
protected:
  RouterWithGroups()
  {
    router_.SetInstances(1);
    router_.SetGroupAdmission(admission_);
    PutServer("s1");
    SetGroups({ { "a", { "key-a" }, 0 }, { "b", { "key-b" }, 1 } });
  }

  void PutServer(const std::string& aId)
  {
    directory_.Put(now_, { aId, "plain", aId + ":80", "hall", 1, false, ++revision_ });
  }

  void SetGroups(std::vector<CallerGroup> aGroups)
  {
    RoutingConfiguration configuration;
    configuration.version_ = ++version_;
    configuration.services_ = { { "plain", 100, false } };
    configuration.groups_ = std::move(aGroups);
    for (const auto* prefix : { "/closed/", "/open/" }) {
      Route route;
      route.host_ = "a.example";
      route.pathPrefix_ = prefix;
      route.isPublic_ = route.pathPrefix_ == "/open/";
      route.latencyTarget_ = milliseconds(400);
      route.timeLimit_ = milliseconds(500);
      route.maxAttempts_ = 2;
      route.targets_ = { { "plain", 1 } };
      configuration.routes_.push_back(std::move(route));
    }
    auto table = RouteTable::Create(std::move(configuration)).value();
    router_.SetRoutes(now_, std::make_shared<const RouteTable>(std::move(table)));
  }

  RequestNumber SendRequest(const std::string& aPath, const std::string& aApiKey)
  {
    RoutedRequest request;
    request.number_ = ++lastRequest_;
    request.host_ = "a.example";
    request.path_ = aPath;
    request.apiKey_ = aApiKey;
    request.timeLeft_ = milliseconds(400);
    router_.OnRequest(now_, std::move(request));
    return lastRequest_;
  }

  // Sends requests until one waits for the server, and returns that one.
  RequestNumber SendUntilOneWaits(const std::string& aApiKey)
  {
    // Some answers, so that the expected wait is short.
    for (int count = 0; count < 10; ++count) {
      const auto request = SendRequest("/closed/", aApiKey);
      now_ += milliseconds(5);
      End(request);
    }
    for (int count = 0; count < 100; ++count) {
      const auto sent = actions_.sent_.size();
      const auto request = SendRequest("/closed/", aApiKey);
      if (actions_.sent_.size() == sent) {
        return request;
      }
    }
    return 0;
  }

  void End(RequestNumber aRequest)
  {
    const auto send =
      std::find_if(actions_.sent_.begin(),
                   actions_.sent_.end(),
                   [&](const AttemptCommand& aCommand) { return aCommand.request_ == aRequest; });
    router_.OnAttemptEnded(now_, send->number_, { AttemptEnd::Answered, 200, false, std::nullopt });
  }

  RefusalReason ReasonOf(RequestNumber aRequest) const
  {
    return actions_.refused_.at(aRequest).reason_;
  }

  Instant now_ = seconds(100);
  std::uint64_t revision_ = 0;
  std::uint64_t version_ = 0;
  RequestNumber lastRequest_ = 0;
  NullEventSink events_;
  RecordingActions actions_;
  ServerDirectory directory_;
  NullPermitSource permits_;
  CountingAdmission admission_;
  GatewayRouter router_{ { "hall", { 0.2, 0, seconds(10) }, 1 },
                         directory_,
                         actions_,
                         permits_,
                         events_ };
};

TEST_F(RouterWithGroups, KnownKey_RequestIsSentWithItsGroup)
{
  SendRequest("/closed/", "key-b");
  ASSERT_EQ(actions_.sent_.size(), 1U);
  EXPECT_EQ(actions_.sent_[0].group_, "b");
  EXPECT_TRUE(actions_.sent_[0].hidesApiKey_);
}

TEST_F(RouterWithGroups, KeyIsUnknownOrMissing_IsRefusedAlikeWithAndWithoutRoute)
{
  for (const auto* path : { "/closed/", "/nowhere/" }) {
    for (const auto* key : { "key-c", "" }) {
      const auto request = SendRequest(path, key);
      EXPECT_EQ(ReasonOf(request), RefusalReason::UnknownApiKey) << path << key;
      EXPECT_TRUE(actions_.refused_.at(request).isNotRun_);
    }
  }
  EXPECT_TRUE(actions_.sent_.empty());
}

TEST_F(RouterWithGroups, KnownKeyWithoutRoute_IsRefusedForTheMissingRoute)
{
  EXPECT_EQ(ReasonOf(SendRequest("/nowhere/", "key-a")), RefusalReason::NoRoute);
}

TEST_F(RouterWithGroups, RouteIsPublic_NeedsNoKeyAndSendsAKnownGroup)
{
  SendRequest("/open/", "");
  SendRequest("/open/", "key-a");
  ASSERT_EQ(actions_.sent_.size(), 2U);
  EXPECT_EQ(actions_.sent_[0].group_, "");
  EXPECT_EQ(actions_.sent_[1].group_, "a");
}

TEST_F(RouterWithGroups, ConfigurationHasNoGroups_KeysAreIgnored)
{
  SetGroups({});
  SendRequest("/closed/", "key-c");
  ASSERT_EQ(actions_.sent_.size(), 1U);
  EXPECT_EQ(actions_.sent_[0].group_, "");
  EXPECT_FALSE(actions_.sent_[0].hidesApiKey_);
}

TEST_F(RouterWithGroups, KeysAreUnverified_RequestsWithKeysAreRefusedUntilTheyAreVerified)
{
  router_.SetApiKeysProvenUntil(now_);
  const auto refused = SendRequest("/closed/", "key-a");
  EXPECT_EQ(ReasonOf(refused), RefusalReason::ApiKeysUnproven);
  EXPECT_TRUE(actions_.refused_.at(refused).isNotRun_);
  EXPECT_GT(actions_.refused_.at(refused).retryAfter_, Duration(0));
  SendRequest("/open/", "");
  EXPECT_EQ(actions_.sent_.size(), 1U);
  router_.SetApiKeysProvenUntil(now_ + seconds(1));
  SendRequest("/closed/", "key-a");
  EXPECT_EQ(actions_.sent_.size(), 2U);
}

TEST_F(RouterWithGroups, KeyIsRevokedWhileItsRequestWaits_RequestIsRefusedAtOnce)
{
  const auto waiting = SendUntilOneWaits("key-b");
  ASSERT_NE(waiting, 0U);
  SetGroups({ { "a", { "key-a" }, 0 }, { "b", {}, 1 } });
  EXPECT_EQ(ReasonOf(waiting), RefusalReason::UnknownApiKey);
}

TEST_F(RouterWithGroups, KeyVerificationExpiresWhileARequestWaits_IsNotSent)
{
  const auto waiting = SendUntilOneWaits("key-b");
  ASSERT_NE(waiting, 0U);
  router_.SetApiKeysProvenUntil(now_);
  const auto sent = actions_.sent_.size();
  End(actions_.sent_.back().request_);
  EXPECT_EQ(actions_.sent_.size(), sent);
}

TEST_F(RouterWithGroups, KeyMovesToAnotherGroup_RequestsAreSentForThatGroup)
{
  SetGroups({ { "a", { "key-a", "key-b" }, 0 }, { "b", {}, 1 } });
  SendRequest("/closed/", "key-b");
  ASSERT_EQ(actions_.sent_.size(), 1U);
  EXPECT_EQ(actions_.sent_[0].group_, "a");
}

TEST_F(RouterWithGroups, GroupExceedsItsLimit_IsRefusedWithARetryDelay)
{
  admission_.left_ = 1;
  SendRequest("/closed/", "key-a");
  const auto refused = SendRequest("/closed/", "key-a");
  EXPECT_EQ(actions_.sent_.size(), 1U);
  EXPECT_EQ(ReasonOf(refused), RefusalReason::OverLimit);
  EXPECT_GT(actions_.refused_.at(refused).retryAfter_, Duration(0));
}

TEST_F(RouterWithGroups, RequestIsRejected_DoesNotCountAgainstTheLimit)
{
  SendRequest("/nowhere/", "key-a");
  SendRequest("/closed/", "key-c");
  EXPECT_TRUE(admission_.requestedGroups_.empty());
}

TEST_F(RouterWithGroups, RequestsOfTwoGroupsWait_MoreUrgentGroupIsSentFirst)
{
  const auto ofB = SendUntilOneWaits("key-b");
  ASSERT_NE(ofB, 0U);
  const auto ofA = SendRequest("/closed/", "key-a");
  const auto sent = actions_.sent_.size();
  End(actions_.sent_.back().request_);
  ASSERT_GT(actions_.sent_.size(), sent);
  EXPECT_EQ(actions_.sent_[sent].request_, ofA);
}

} // namespace

} // namespace latchslip
