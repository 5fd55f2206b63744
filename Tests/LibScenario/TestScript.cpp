#include "LibScenario/Script.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

struct BadScript
{
  std::string name_;
  std::string text_;
  std::size_t line_;
  std::size_t column_;
};

class BadScriptText : public testing::TestWithParam<BadScript>
{};

TEST_P(BadScriptText, Run_ErrorNamesLineAndColumn)
{
  const auto result = ScriptRunner::Run(GetParam().text_, 0);
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().line_, GetParam().line_) << result.error().Describe();
  EXPECT_EQ(result.error().column_, GetParam().column_) << result.error().Describe();
}

INSTANTIATE_TEST_SUITE_P(
  Texts,
  BadScriptText,
  testing::Values(BadScript{ "Unknown", "halls a\nfly now\n", 2, 1 },
                  BadScript{ "NoHalls", "# nothing yet\ninstances 3\n", 2, 1 },
                  BadScript{ "NoNumber", "halls a\ninstances many\n", 2, 11 },
                  BadScript{ "NoTime", "halls a\nadvance 20\n", 2, 9 },
                  BadScript{ "TooMuch", "halls a\nadvance 1s now\n", 2, 12 },
                  BadScript{ "TooLittle", "halls a\nservice rates servers\n", 2, 15 },
                  BadScript{ "NoSuchPlace", "halls a\ninstances 1\n  kill i9\n", 3, 8 },
                  BadScript{ "NotHeld", "halls a\nexpect answered > 3\n", 2, 17 },
                  BadScript{ "NoAnswer", "halls a\noutcome r1 answered\n", 2, 9 }),
  [](const auto& aInfo) { return aInfo.param.name_; });

TEST(Script, CommentsAndBlankLines_AreSkipped)
{
  EXPECT_TRUE(ScriptRunner::Run("# a\n\n  halls a b # two\n", 0));
}

} // namespace

} // namespace latchslip
