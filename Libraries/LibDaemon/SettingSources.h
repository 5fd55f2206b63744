#pragma once

#include "LibBase/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// Where the programs of the project take their settings from.

// Reads a secret from the environment variable, or else from the file that the
// flag names. The error names both.
FieldResult<std::string>
ReadSecret(const char* aVariable, std::string_view aFileFlag, const std::string& aFile);

// Gives every listed flag the value of its environment variable, if that is set.
FieldResult<void>
ApplyEnvironment(const std::vector<std::string>& aFlags);

// "instance_name" is set by LATCHSLIP_INSTANCE_NAME.
std::string
VariableOfFlag(std::string_view aFlag);

} // namespace latchslip
