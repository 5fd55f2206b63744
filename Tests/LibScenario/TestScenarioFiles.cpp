#include "LibScenario/Script.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace latchslip {

namespace {

std::vector<std::filesystem::path>
ScenarioFiles()
{
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(LATCHSLIP_SCENARIOS)) {
    if (entry.path().extension() == ".scenario") {
      files.push_back(entry.path());
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

std::string
NameOfFile(const testing::TestParamInfo<std::filesystem::path>& aInfo)
{
  auto name = aInfo.param.stem().string();
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
}

class ScenarioFile : public testing::TestWithParam<std::filesystem::path>
{};

TEST_P(ScenarioFile, RunUnderItsSeed_AllExpectationsAndInvariantsHold)
{
  std::ifstream file(GetParam());
  std::ostringstream text;
  text << file.rdbuf();
  const auto result = ScriptRunner::Run(text.str(), 0);
  EXPECT_TRUE(result) << GetParam().filename().string() << ": "
                      << (result ? "" : result.error().Describe());
}

INSTANTIATE_TEST_SUITE_P(All, ScenarioFile, testing::ValuesIn(ScenarioFiles()), NameOfFile);

} // namespace

} // namespace latchslip
