#pragma once

#include "LibBase/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// Reads a secret from environment variable aVariable or, if that is not set, from the first
// line of aFile, the value of flag aFileFlag. An error names the flag and the variable.
FieldResult<std::string>
ReadSecret(const char* aVariable, std::string_view aFileFlag, const std::string& aFile);

// Sets every listed flag from its environment variable, if that is set. An error names the
// variable.
FieldResult<void>
ApplyEnvironment(const std::vector<std::string>& aFlags);

// Returns the environment variable of a flag: LATCHSLIP_INSTANCE_NAME for "instance_name".
std::string
EnvironmentVariableOf(std::string_view aFlag);

} // namespace latchslip
