#include "LibBase/Event.h"
#include "LibDaemon/Settings.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <regex>
#include <set>
#include <sstream>

namespace latchslip {

namespace {

std::string
ReadPage(const std::string& aPath)
{
  std::ifstream file(std::string(LATCHSLIP_ROOT) + "/" + aPath);
  EXPECT_TRUE(file) << aPath;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns the first capture group of every match.
std::set<std::string>
AllMatches(const std::string& aText, const std::string& aPattern)
{
  const std::regex pattern(aPattern);
  std::set<std::string> found;
  for (std::sregex_iterator match(aText.begin(), aText.end(), pattern), end; match != end;
       ++match) {
    found.insert((*match)[1]);
  }
  return found;
}

TEST(EventCatalogue, ComparedWithTheCode_NumbersAndNamesAgree)
{
  std::set<std::string> inCode;
  for (const auto& event : AllEvents()) {
    inCode.insert("E" + std::to_string(static_cast<int>(event.event_)) + " | " +
                  std::string(event.name_));
  }
  EXPECT_EQ(AllMatches(ReadPage("docs/EVENTS.md"), "\\| (E[0-9]+ \\| [A-Za-z]+) \\|"), inCode);
}

TEST(SettingsPage, ComparedWithTheProgram_FlagsVariablesAndDefaultsAgree)
{
  std::set<std::string> inProgram;
  for (const auto& setting : ListDaemonSettings()) {
    inProgram.insert("`--" + setting.flag_ + "` | `" + setting.variable_ + "` | " +
                     (setting.default_.empty() ? "none" : setting.default_));
  }
  EXPECT_EQ(
    AllMatches(ReadPage("docs/SETTINGS.md"), "\\| (`--[a-z_]+` \\| `[A-Z_]+` \\| [a-z0-9]+) \\|"),
    inProgram);
}

TEST(CapacityPage, NamesBenchmarks_EachExists)
{
  std::string benchmarks;
  for (const auto& entry : std::filesystem::directory_iterator(LATCHSLIP_ROOT "/Benchmarks")) {
    if (entry.path().extension() == ".cpp") {
      benchmarks += ReadPage("Benchmarks/" + entry.path().filename().string());
    }
  }
  const auto named = AllMatches(ReadPage("docs/CAPACITY.md"), "`(BM_[A-Za-z]+)");
  EXPECT_GE(named.size(), 8U);
  for (const auto& name : named) {
    EXPECT_NE(benchmarks.find(name + "("), std::string::npos) << name;
  }
}

TEST(ProofsPage, NamesScenarios_EachExists)
{
  const auto named = AllMatches(ReadPage("docs/PROOFS.md"), "`([a-z-]+)\\.scenario`");
  EXPECT_GE(named.size(), 20U);
  for (const auto& name : named) {
    EXPECT_TRUE(std::filesystem::exists(std::string(LATCHSLIP_ROOT) + "/Tests/Scenarios/" + name +
                                        ".scenario"))
      << name;
  }
}

class SettingsFromEnvironment : public testing::Test
{
protected:
  SettingsFromEnvironment()
  {
    Set("INSTANCE_NAME", "i1");
    Set("HALL", "a");
    Set("CALLER_ADDRESS", "127.0.0.1:1");
    Set("OPERATOR_ADDRESS", "127.0.0.1:2");
    Set("PEER_ADDRESS", "127.0.0.1:3");
    Set("PLATFORM_ADDRESS", "127.0.0.1:4");
    Set("PEER_SECRET", "sixteen-bytes-or-more");
    Set("OPERATOR_TOKEN", "sixteen-bytes-or-more");
  }
  ~SettingsFromEnvironment() override
  {
    for (const auto& name : set_) {
      ::unsetenv(name.c_str());
    }
  }

  void Set(const std::string& aName, const std::string& aValue)
  {
    const auto name = "LATCHSLIP_" + aName;
    ::setenv(name.c_str(), aValue.c_str(), 1);
    set_.insert(name);
  }

  // Returns the field that the error names, or "" if the settings are valid.
  static std::string ReadField()
  {
    std::string program = "latchslipd";
    char* arguments[] = { program.data(), nullptr };
    const auto settings = ReadDaemonSettings(1, arguments);
    return settings ? "" : settings.error().field_;
  }

  std::set<std::string> set_;
};

TEST_F(SettingsFromEnvironment, AllValid_IsAccepted)
{
  EXPECT_EQ(ReadField(), "");
}

TEST_F(SettingsFromEnvironment, AddressIsAName_ErrorNamesTheFlag)
{
  Set("PEER_ADDRESS", "localhost:80");
  EXPECT_EQ(ReadField(), "--peer_address");
}

TEST_F(SettingsFromEnvironment, NumberIsMalformed_ErrorNamesTheVariable)
{
  Set("GRANT_TERM_MS", "soon");
  EXPECT_EQ(ReadField(), "LATCHSLIP_GRANT_TERM_MS");
  Set("GRANT_TERM_MS", "500");
  EXPECT_EQ(ReadField(), "");
}

TEST_F(SettingsFromEnvironment, NumberIsOutOfRange_ErrorNamesTheFlag)
{
  Set("GRANT_TERM_MS", "5");
  EXPECT_EQ(ReadField(), "--grant_term_ms");
  Set("GRANT_TERM_MS", "500");
  EXPECT_EQ(ReadField(), "");
}

TEST_F(SettingsFromEnvironment, RenewalTooCloseToTerm_ErrorNamesTheFlag)
{
  Set("GRANT_RENEW_MS", "400");
  EXPECT_EQ(ReadField(), "--grant_renew_ms");
  Set("GRANT_RENEW_MS", "150");
  EXPECT_EQ(ReadField(), "");
}

TEST_F(SettingsFromEnvironment, SecretIsTooShort_Refused)
{
  Set("PEER_SECRET", "short");
  EXPECT_EQ(ReadField(), "--peer_secret_file");
}

} // namespace

} // namespace latchslip
