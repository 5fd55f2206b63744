#include "LibStore/StoreEpoch.h"
#include "platform/ManifestDecoder.h"
#include "platform/PlatformSettings.h"
#include "platform/StoreProtocol.h"

#include <gtest/gtest.h>

namespace latchslip::platform {

namespace {

constexpr std::string_view kManifest = R"({
  "version": 7, "limits": {"maxHeaderBytes": 1000, "maxBodyBytes": 2000,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
  "listeners": [{"host": "a.example", "rules": [
    {"name": "r1", "kind": "non_idempotent", "targetLatencyMs": 250, "priority": 1,
     "match": {"pathPrefix": "/puka/"},
     "action": {"service": "book", "timeoutMs": 600, "maxAttempts": 2}},
    {"name": "r2", "kind": "idempotent", "targetLatencyMs": 200, "priority": 2,
     "match": {"pathPrefix": "/leny/"},
     "action": {"weightedBackends": [{"service": "rate", "weight": 90},
                                     {"service": "book", "weight": 10}],
                "timeoutMs": 500, "maxAttempts": 3}}]}],
  "clusters": [{"name": "rate", "healthPath": "/health", "maxConns": 130, "sharded": true},
               {"name": "book", "healthPath": "/health", "maxConns": 120}]})";

std::string
Replace(std::string_view aText, std::string_view aOld, std::string_view aNew)
{
  std::string text(aText);
  const auto at = text.find(aOld);
  EXPECT_NE(at, std::string::npos) << aOld;
  return text.replace(at, aOld.size(), aNew);
}

class ManifestDecoding : public testing::Test
{
protected:
  FieldResult<std::optional<RoutingConfiguration>> Decode(std::string aText) const
  {
    return decoder_.DecodeConfiguration({ "config", 9, std::move(aText) });
  }

  const ManifestDecoder decoder_;
};

TEST_F(ManifestDecoding, CompleteManifest_IsDecodedIntoRoutes)
{
  const auto configuration = *Decode(std::string(kManifest)).value();
  EXPECT_EQ(configuration.version_, 7U);
  EXPECT_EQ(configuration.limits_.bodyBytes_, 2000U);
  EXPECT_EQ(configuration.limits_.idleTime_, seconds(15));
  ASSERT_EQ(configuration.routes_.size(), 2U);
  const auto& booking = configuration.routes_[0];
  EXPECT_EQ(booking.host_, "a.example");
  EXPECT_EQ(booking.pathPrefix_, "/puka/");
  EXPECT_FALSE(booking.isRepeatable_);
  EXPECT_EQ(booking.priority_, 1U);
  EXPECT_EQ(booking.latencyTarget_, milliseconds(250));
  EXPECT_EQ(booking.timeLimit_, milliseconds(600));
  EXPECT_EQ(booking.maxAttempts_, 2U);
  const auto& rates = configuration.routes_[1];
  EXPECT_TRUE(rates.isRepeatable_);
  EXPECT_EQ(rates.targets_, (std::vector<RouteTarget>{ { "rate", 90 }, { "book", 10 } }));
  EXPECT_TRUE(configuration.services_[0].isKeyed_);
  EXPECT_FALSE(configuration.services_[1].isKeyed_);
  EXPECT_EQ(configuration.services_[1].maxConnections_, 120U);
}

TEST_F(ManifestDecoding, OtherRowOfTheTable_IsIgnored)
{
  const auto other = decoder_.DecodeConfiguration({ "note", 9, "hello" });
  ASSERT_TRUE(other);
  EXPECT_FALSE(other.value());
}

TEST_F(ManifestDecoding, MalformedManifest_IsRefusedAndNamesTheField)
{
  EXPECT_FALSE(Decode("{"));
  EXPECT_FALSE(Decode("[]"));
  const auto noPrefix = Decode(Replace(kManifest, R"("pathPrefix": "/puka/")", R"("path": 1)"));
  ASSERT_FALSE(noPrefix);
  EXPECT_NE(noPrefix.error().Describe().find("pathPrefix"), std::string::npos);
  EXPECT_FALSE(Decode(Replace(kManifest, R"("timeoutMs": 600)", R"("timeoutMs": "long")")));
  EXPECT_FALSE(Decode(Replace(kManifest, R"("maxAttempts": 2)", R"("maxAttempts": 0)")));
  EXPECT_FALSE(Decode(Replace(kManifest, R"("clusters")", R"("others")")));
}

constexpr std::string_view kTenants =
  R"("tenants":[{"name":"yefi","apiKeys":["k1","k2"],"priority":1,"ratePerS":285,"burst":30},)"
  R"({"name":"wuno","apiKeys":[]}],"limits")";

TEST_F(ManifestDecoding, ManifestWithTenants_HasGroupsWithKeysAndLimits)
{
  const auto text = Replace(kManifest, R"("limits")", kTenants);
  const auto configuration = *Decode(Replace(text, R"("priority": 2)", R"("public":true)")).value();
  ASSERT_EQ(configuration.groups_.size(), 2U);
  const auto& group = configuration.groups_[0];
  EXPECT_EQ(group.name_, "yefi");
  EXPECT_EQ(group.apiKeys_, (std::vector<std::string>{ "k1", "k2" }));
  EXPECT_EQ(group.priority_, 1U);
  EXPECT_EQ(group.rate_, 285);
  EXPECT_EQ(group.burst_, 30);
  EXPECT_FALSE(configuration.groups_[1].IsLimited());
  EXPECT_FALSE(configuration.routes_[0].isPublic_);
  EXPECT_TRUE(configuration.routes_[1].isPublic_);
}

TEST_F(ManifestDecoding, ManifestWithMalformedTenants_IsRefusedWithoutApiKeysInTheError)
{
  const auto text = Replace(kManifest, R"("limits")", kTenants);
  EXPECT_FALSE(Decode(Replace(text, R"("name":"yefi")", R"("name":7)")));
  EXPECT_FALSE(Decode(Replace(text, R"("ratePerS":285)", R"("ratePerS":-1)")));
  const auto malformed = Decode(Replace(text, R"(["k1","k2"])", R"(["k1",2])"));
  ASSERT_FALSE(malformed);
  EXPECT_EQ(malformed.error().Describe().find("k1"), std::string::npos);
}

TEST_F(ManifestDecoding, Downloads_AreRepeatableUploadsAreNot)
{
  const auto downloads = *Decode(Replace(kManifest, R"("idempotent")", R"("download")")).value();
  EXPECT_TRUE(downloads.routes_[1].isRepeatable_);
  const auto uploads = *Decode(Replace(kManifest, R"("idempotent")", R"("upload")")).value();
  EXPECT_FALSE(uploads.routes_[1].isRepeatable_);
  EXPECT_TRUE(uploads.routes_[1].hasLargeBodies_);
  EXPECT_FALSE(downloads.routes_[1].hasLargeBodies_);
}

TEST_F(ManifestDecoding, ServerRecord_IsReadWithItsIdFromTheKey)
{
  const auto record =
    decoder_
      .DecodeServer({ "i-7f",
                      42,
                      R"({"service":"rate","address":"10.0.0.9:80","zone":"a","version":"v1",)"
                      R"("slots":4,"state":"draining","coldRemainingMs":0,"seq":4})" })
      .value();
  EXPECT_EQ(record.id_, "i-7f");
  EXPECT_EQ(record.revision_, 42U);
  EXPECT_EQ(record.service_, "rate");
  EXPECT_EQ(record.address_, "10.0.0.9:80");
  EXPECT_EQ(record.hall_, "a");
  EXPECT_EQ(record.slots_, 4U);
  EXPECT_TRUE(record.isLeaving_);
}

TEST_F(ManifestDecoding, MalformedServerRecord_IsRefused)
{
  EXPECT_FALSE(decoder_.DecodeServer({ "i-7f", 42, "" }));
  EXPECT_FALSE(decoder_.DecodeServer({ "i-7f", 42, R"({"service":"rate"})" }));
  constexpr std::string_view kRecord = R"({"service":"rate","address":"10.0.0.9:80","zone":"a",)"
                                       R"("slots":4,"state":"ready","born":1764743654123})";
  EXPECT_EQ(decoder_.DecodeServer({ "i-7f", 42, std::string(kRecord) }).value().incarnation_,
            1764743654123U);
  EXPECT_FALSE(decoder_.DecodeServer({ "i-7f", 42, Replace(kRecord, "ready", "resting") }));
  EXPECT_FALSE(decoder_.DecodeServer({ "i-7f", 42, Replace(kRecord, "1764743654123", "\"x\"") }));
  EXPECT_FALSE(decoder_.DecodeServer({ "i-7f", 42, Replace(kRecord, "1764743654123", "1.5") }));
  EXPECT_FALSE(decoder_.DecodeServer({ "i-7f", 42, "\xff\xfe" }));
}

constexpr std::string_view kSettings = R"({
  "nodeId": "edge-1", "zone": "hall-a", "unknownField": [1],
  "listen": {"front": "10.1.0.15:1", "ready": "10.1.0.15:2", "control": "10.1.0.15:3"},
  "seeds": ["10.1.0.16:3"], "limits": {"cpuShare": 0.2, "linkMbps": 10.0, "maxFds": 4100,
    "memoryMb": 260},
  "bounds": ["retryBudgetRatio=0.2", "budgetExtra=62", "budgetWindowS=10", "graceS=6",
             "holdMaxMs=3000", "unknown=true"],
  "platform": {"address": "10.200.1.7:4"}})";

TEST(PlatformSettings, CompleteFile_IsReadAndUnknownFieldsAreSkipped)
{
  const auto settings = ParseSettings(kSettings).value();
  EXPECT_EQ(settings.storeAddress_, "10.200.1.7:4");
  const auto& host = settings.host_;
  EXPECT_EQ(host.clientAddress_, "10.1.0.15:1");
  EXPECT_EQ(host.readyAddress_, "10.1.0.15:2");
  EXPECT_EQ(host.peerAddress_, "10.1.0.15:3");
  EXPECT_EQ(host.router_.hall_, "hall-a");
  EXPECT_EQ(host.router_.retries_.ratio_, 0.2);
  EXPECT_EQ(host.router_.retries_.extra_, 62);
  EXPECT_EQ(host.stopGrace_, seconds(6));
  EXPECT_EQ(host.member_.self_.instance_, "edge-1");
  EXPECT_EQ(host.member_.self_.address_, "10.1.0.15:3");
  EXPECT_EQ(host.member_.seeds_, std::vector<std::string>{ "10.1.0.16:3" });
  EXPECT_EQ(host.member_.processorShare_, 0.2);
  EXPECT_EQ(host.member_.linkMbps_, 10);
  EXPECT_EQ(host.clientConnections_, 2050U);
  EXPECT_EQ(host.requestBodyBytes_, 65U * 1024 * 1024);
}

TEST(PlatformSettings, RevocationBound_IsRead)
{
  EXPECT_FALSE(ParseSettings(kSettings).value().host_.member_.apiKeyBound_);
  const auto text = Replace(
    kSettings, R"("unknown=true")", R"("strictRevoke=true", "revokeMs=4000", "quotaWindowS=7")");
  const auto member = ParseSettings(text).value().host_.member_;
  EXPECT_EQ(member.apiKeyBound_, seconds(4));
  EXPECT_EQ(member.limitWindow_, seconds(7));
  EXPECT_FALSE(ParseSettings(Replace(text, "strictRevoke=true", "strictRevoke=false"))
                 .value()
                 .host_.member_.apiKeyBound_);
  EXPECT_FALSE(ParseSettings(Replace(text, "strictRevoke=true", "strictRevoke=maybe")));
}

TEST(PlatformSettings, LeaseDurationLimit_IsApplied)
{
  EXPECT_EQ(ParseSettings(kSettings).value().host_.member_.placer_.leaseDuration_, seconds(3));
}

TEST(PlatformSettings, FieldIsMissingOrWrong_ErrorNamesIt)
{
  const auto noStore = ParseSettings(Replace(kSettings, R"("platform")", R"("elsewhere")"));
  ASSERT_FALSE(noStore);
  EXPECT_EQ(noStore.error().field_, "platform");
  const auto noNumber = ParseSettings(Replace(kSettings, "graceS=6", "graceS=soon"));
  ASSERT_FALSE(noNumber);
  EXPECT_EQ(noNumber.error().field_, "bounds.graceS");
  EXPECT_FALSE(ParseSettings(Replace(kSettings, "graceS=6", "graceS=6abc")));
  EXPECT_FALSE(ParseSettings(Replace(kSettings, "graceS=6", "graceS=nan")));
  EXPECT_FALSE(ParseSettings("not json"));
  EXPECT_FALSE(ParseSettings(Replace(kSettings, R"("graceS=6")", R"("graceS")")));
}

TEST(StoreProtocol, PageOfRows_IsReadWithItsValuesDecoded)
{
  const auto page = DecodePage(R"({"rows":[{"table":"my","part":"","key":"owner",)"
                               R"("value":"bm9kZS0x","ver":412},)"
                               R"({"table":"my","part":"","key":"old","ver":500,"removed":true}],)"
                               R"("truncated":true,"ver":530,"nowMs":51230})",
                               0)
                      .value();
  EXPECT_EQ(page.version_, 530U);
  EXPECT_TRUE(page.isTruncated_);
  EXPECT_EQ(page.rows_[0].row_.value_, "node-1");
  EXPECT_EQ(page.rows_[0].row_.version_, 412U);
  EXPECT_TRUE(page.rows_[1].isRemoved_);
}

TEST(StoreProtocol, MalformedPage_IsRefused)
{
  EXPECT_FALSE(DecodePage("{}", 0));
  EXPECT_FALSE(DecodePage(R"({"rows":[{"key":"a","value":"%%%","ver":1}],"ver":1})", 0));
  EXPECT_FALSE(DecodePage(R"({"rows":[{"value":"bm9k","ver":1}],"ver":1})", 0));
}

TEST(StoreProtocol, PageOfALaterEpoch_ItsVersionsComeAfterAllEarlierOnes)
{
  const std::string text =
    R"({"rows":[{"key":"a","value":"bm9k","ver":412},{"key":"b","value":"bm9k"}],"ver":530})";
  const auto page = DecodePage(text, 3).value();
  EXPECT_EQ(page.version_, MakeVersion(3, 530));
  EXPECT_EQ(page.rows_[0].row_.version_, MakeVersion(3, 412));
  EXPECT_GT(page.rows_[0].row_.version_, DecodePage(text, 2).value().version_);
  // A row that does not exist has no version in any epoch.
  EXPECT_EQ(page.rows_[1].row_.version_, 0U);
}

TEST(StoreProtocol, EpochHeader_IsReadOrLastKnownEpochIsUsed)
{
  HttpResponse response;
  EXPECT_EQ(DecodeEpoch(response, 4).value(), 4U);
  response.headers_ = { { "Store-Era", "7" } };
  EXPECT_EQ(DecodeEpoch(response, 4).value(), 7U);
  for (const auto* malformed : { "-1", "7.5", "x", "7 ", "99999999999" }) {
    response.headers_ = { { "Store-Era", malformed } };
    EXPECT_FALSE(DecodeEpoch(response, 4)) << malformed;
  }
}

TEST(StoreProtocol, LongPoll_UsesTheStoresOwnVersionNumbers)
{
  const auto request = EncodeLongPoll(FleetTable::Servers, MakeVersion(3, 412), seconds(1));
  EXPECT_NE(request.target_.find("after=412&"), std::string::npos);
}

TEST(StoreProtocol, Transaction_EncodesConditionsAndWrites)
{
  const auto request = EncodeTransaction({ { { "placer", 3 } }, { { "placer", "node-1" } } });
  EXPECT_EQ(request.target_, "/api/rows-tx");
  EXPECT_EQ(*request.body_,
            R"({"expectedRev":[{"table":"latchslip","part":"","key":"placer","ver":3}],)"
            R"("puts":[{"table":"latchslip","part":"","key":"placer","value":"bm9kZS0x"}],)"
            R"("remove":[]})");
}

class TransactionAnswer : public testing::Test
{
protected:
  StoreReply Decode(unsigned aStatus, std::string aBody) const
  {
    HttpExchange exchange;
    exchange.end_ = ExchangeEnd::Complete;
    exchange.response_.status_ = aStatus;
    exchange.response_.body_ = std::make_shared<const std::string>(std::move(aBody));
    return DecodeTransaction(transaction_, exchange, 0);
  }

  const Transaction transaction_{ { { "placer", 3 } }, { { "placer", "node-1" } } };
};

TEST_F(TransactionAnswer, Done_ContainsTheNewVersion)
{
  const auto reply = Decode(200, R"({"ver":412,"nowMs":51230})");
  EXPECT_EQ(reply.status_, StoreStatus::Done);
  EXPECT_EQ(FindRow(reply.rows_, "placer")->version_, 412U);
}

TEST_F(TransactionAnswer, ConditionFailed_ContainsTheCurrentRows)
{
  const auto reply = Decode(412,
                            R"({"rows":[{"table":"latchslip","part":"","key":"placer",)"
                            R"("value":"bm9kZS0x","ver":9}],"ver":20,"nowMs":1})");
  EXPECT_EQ(reply.status_, StoreStatus::Conflict);
  EXPECT_EQ(FindRow(reply.rows_, "placer")->version_, 9U);
}

TEST_F(TransactionAnswer, Failure_IsCertainOnlyWhenTheStoreConfirmsIt)
{
  EXPECT_EQ(Decode(503, "").status_, StoreStatus::Unavailable);
  EXPECT_EQ(Decode(429, "").status_, StoreStatus::Unavailable);
  EXPECT_EQ(Decode(500, "").status_, StoreStatus::Indeterminate);
  EXPECT_EQ(Decode(200, "garbage").status_, StoreStatus::Indeterminate);
  HttpExchange broken;
  broken.end_ = ExchangeEnd::Broken;
  EXPECT_EQ(DecodeTransaction(transaction_, broken, 0).status_, StoreStatus::Indeterminate);
  broken.end_ = ExchangeEnd::NotSent;
  EXPECT_EQ(DecodeTransaction(transaction_, broken, 0).status_, StoreStatus::Unavailable);
}

TEST_F(ManifestDecoding, SlowStart_IsReadForServicesAndServers)
{
  const auto service = R"({"name": "book", "healthPath": "/health", "maxConns": 120)";
  const auto slow = Decode(
    Replace(kManifest, service, std::string(service) + R"(, "coldS": 3.0, "coldPerS": 5.8)"));
  EXPECT_EQ(slow.value()->services_[1].slowStartRate_, 5.8);
  EXPECT_EQ(slow.value()->services_[0].slowStartRate_, 0) << "says nothing";
  EXPECT_FALSE(Decode(Replace(kManifest, service, std::string(service) + R"(, "coldPerS": -1)")));
  const auto record = [&](const std::string& aCold) {
    return decoder_.DecodeServer(
      { "i-7f",
        42,
        R"({"service":"rate","address":"10.0.0.9:80","zone":"a","slots":4,"state":"ready")" +
          aCold + "}" });
  };
  EXPECT_EQ(record(R"(,"coldRemainingMs":1500)").value().slowStartLeft_, milliseconds(1500));
  EXPECT_EQ(record("").value().slowStartLeft_, Duration(0));
  EXPECT_FALSE(record(R"(,"coldRemainingMs":-5)"));
  EXPECT_FALSE(record(R"(,"coldRemainingMs":"long")"));
  EXPECT_FALSE(record(R"(,"coldRemainingMs":1e12)"));
}

TEST_F(ManifestDecoding, RowsOfDrainedHalls_NameTheHall)
{
  EXPECT_EQ(decoder_.DecodeDrainedHall("evacuate/hall-a"), "hall-a");
  EXPECT_FALSE(decoder_.DecodeDrainedHall("evacuate/"));
  EXPECT_FALSE(decoder_.DecodeDrainedHall("config"));
}

TEST(PlatformSettings, PortRange_FirstPortIsForPermits)
{
  EXPECT_EQ(ParseSettings(kSettings).value().host_.permitPort_, 0U) << "none is given";
  const auto with = [&](const std::string& aRange) {
    return ParseSettings(Replace(kSettings, R"("unknownField": [1])", R"("portRange": )" + aRange));
  };
  EXPECT_EQ(with("[7620, 7635]").value().host_.permitPort_, 7620U);
  for (const auto* range : { "[]", "7620", "[0, 5]", "[70000, 70001]", R"(["a"])", "[-1]" }) {
    EXPECT_FALSE(with(range)) << range;
  }
}

} // namespace

} // namespace latchslip::platform
