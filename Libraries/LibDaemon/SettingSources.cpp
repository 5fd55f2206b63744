#include "LibDaemon/SettingSources.h"

#include <absl/flags/reflection.h>
#include <absl/strings/ascii.h>
#include <cstdlib>
#include <fstream>

namespace latchslip {

namespace {

constexpr std::size_t kMinSecretBytes = 16;

} // namespace

std::string
EnvironmentVariableOf(std::string_view aFlag)
{
  return "LATCHSLIP_" + absl::AsciiStrToUpper({ aFlag.data(), aFlag.size() });
}

FieldResult<void>
ApplyEnvironment(const std::vector<std::string>& aFlags)
{
  for (const auto& name : aFlags) {
    const auto variable = EnvironmentVariableOf(name);
    const char* value = std::getenv(variable.c_str());
    auto* flag = absl::FindCommandLineFlag(name);
    std::string problem;
    if (value != nullptr && flag != nullptr && !flag->ParseFrom(value, &problem)) {
      return FieldError{ variable, "\"" + std::string(value) + "\" is invalid: " + problem };
    }
  }
  return outcome::success();
}

FieldResult<std::string>
ReadSecret(const char* aVariable, std::string_view aFileFlag, const std::string& aFile)
{
  std::string secret;
  if (const char* value = std::getenv(aVariable)) {
    secret = value;
  } else if (!aFile.empty()) {
    std::ifstream file(aFile);
    if (!file) {
      return FieldError{ "--" + std::string(aFileFlag),
                         "the file \"" + aFile + "\" cannot be read" };
    }
    std::getline(file, secret);
  }
  if (secret.size() < kMinSecretBytes) {
    return FieldError{ "--" + std::string(aFileFlag),
                       "or " + std::string(aVariable) +
                         " must give a secret of at least 16 bytes" };
  }
  return secret;
}

} // namespace latchslip
