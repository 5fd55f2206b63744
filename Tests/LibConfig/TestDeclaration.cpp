#include "LibConfig/Declaration.h"
#include "LibConfig/Plan.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

constexpr std::string_view kValid = R"({
  "profile": "churn-first",
  "services": [ { "name": "rates", "checks_orders": false, "slots": 4, "connections": 130,
    "servers": [ { "name": "rates-1", "address": "127.0.0.1:9001", "hall": "a" } ] } ],
  "intents": [ { "group": "web", "service": "rates", "portion": 2.5, "class": "deferrable",
    "max_waiting": 7, "max_slots": 2 } ] })";

struct InvalidCase
{
  std::string name_;
  std::string find_;
  std::string replace_;
  std::string field_;
};

std::string
Replace(std::string_view aText, const std::string& aFind, const std::string& aReplace)
{
  std::string text(aText);
  const auto position = text.find(aFind);
  EXPECT_NE(position, std::string::npos) << aFind;
  return text.replace(position, aFind.size(), aReplace);
}

TEST(Declaration, SerializedAndParsed_IsEqual)
{
  const auto declaration = ParseDeclaration(kValid);
  ASSERT_TRUE(declaration) << declaration.error().Describe();
  EXPECT_EQ(declaration.value().intents_[0].portion_, 2.5);
  EXPECT_FALSE(declaration.value().services_[0].checksGrants_);
  const auto parsedAgain = ParseDeclaration(SerializeDeclaration(declaration.value()));
  ASSERT_TRUE(parsedAgain);
  EXPECT_EQ(parsedAgain.value(), declaration.value());
}

class InvalidDeclaration : public testing::TestWithParam<InvalidCase>
{};

TEST_P(InvalidDeclaration, Parsed_ErrorNamesField)
{
  const auto& bad = GetParam();
  const auto result = ParseDeclaration(Replace(kValid, bad.find_, bad.replace_));
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().field_, bad.field_) << result.error().Describe();
  EXPECT_FALSE(result.error().problem_.empty());
}

INSTANTIATE_TEST_SUITE_P(
  Fields,
  InvalidDeclaration,
  testing::Values(
    InvalidCase{ "NotJson", "{", "", "document" },
    InvalidCase{ "UnknownProfile", "churn-first", "best", "profile" },
    InvalidCase{ "MissingSlots", "\"slots\": 4,", "", "services[0].slots" },
    InvalidCase{ "ZeroSlots", "\"slots\": 4", "\"slots\": 0", "services[0].slots" },
    InvalidCase{ "FewConnections", "130", "5", "services[0].connections" },
    InvalidCase{ "TextForSlots", "\"slots\": 4", "\"slots\": \"4\"", "services[0].slots" },
    InvalidCase{ "HostName",
                 "127.0.0.1:9001",
                 "rates.example:80",
                 "services[0].servers[0].address" },
    InvalidCase{ "PortTooLarge", "9001", "99001", "services[0].servers[0].address" },
    InvalidCase{ "MisspeltField", "\"hall\"", "\"hal\"", "services[0].servers[0].hal" },
    InvalidCase{ "NoServers",
                 "{ \"name\": \"rates-1\", \"address\": \"127.0.0.1:9001\", \"hall\": \"a\" }",
                 "",
                 "services[0].servers" },
    InvalidCase{ "NegativePortion", "2.5", "-1", "intents[0].portion" },
    InvalidCase{ "UnknownClass", "deferrable", "urgent", "intents[0].class" },
    InvalidCase{ "UndeclaredService",
                 "\"service\": \"rates\"",
                 "\"service\": \"rooms\"",
                 "intents[0].service" },
    InvalidCase{ "EmptyGroup", "\"group\": \"web\"", "\"group\": \"\"", "intents[0].group" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

TEST(Plan, EditedPlan_ParseFails)
{
  const auto requested = ParseDeclaration(kValid).value();
  const auto plan = MakePlan(3, Declaration{}, requested);
  const auto text = SerializePlan(plan);
  ASSERT_TRUE(ParsePlan(text));
  const auto edited = ParsePlan(Replace(text, "\"slots\":4", "\"slots\":5"));
  ASSERT_FALSE(edited);
  EXPECT_EQ(edited.error().field_, "plan_id");
}

TEST(Plan, SameDeclaration_HasNoChanges)
{
  const auto requested = ParseDeclaration(kValid).value();
  EXPECT_TRUE(MakePlan(3, requested, requested).changes_.empty());
}

TEST(Plan, ServerDrainsAndPortionChanges_BothAreListed)
{
  const auto current = ParseDeclaration(kValid).value();
  auto requested = current;
  requested.services_[0].servers_[0].draining_ = true;
  requested.intents_[0].portion_ = 4;
  const auto plan = MakePlan(3, current, requested);
  ASSERT_EQ(plan.changes_.size(), 2U);
  EXPECT_NE(plan.changes_[0].find("rates-1"), std::string::npos);
  EXPECT_NE(plan.changes_[1].find("intent web on rates"), std::string::npos);
}

} // namespace

} // namespace latchslip
