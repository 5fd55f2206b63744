#pragma once

#include "LibBase/Result.h"
#include "LibDaemon/SettingSources.h"
#include "LibInstance/InstanceContext.h"
#include "LibNet/HttpServer.h"

#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// The settings of one latchslipd process. Each can be set by a flag or an environment variable;
// the flag takes precedence. Secrets are never flags, because the process list shows those.
struct DaemonSettings
{
  std::string name_;
  std::string incarnation_;
  std::string hall_;
  std::string callerAddress_;
  std::string operatorAddress_;
  std::string peerAddress_;
  std::string platformAddress_;
  std::string peerSecret_;
  std::string operatorToken_;
  InstanceTiming timing_;
  HttpLimits callerLimits_;
  Duration listPoll_{ 0 };
  Duration drainGrace_{ 0 };
  Duration drainTimeout_{ 0 };
  bool isCheckOnly_ = false;
};

// One setting as documented: flag, environment variable, default and help text.
struct SettingEntry
{
  std::string flag_;
  std::string variable_;
  std::string default_;
  std::string help_;
};

// Returns all settings of latchslipd in the order of the documentation.
std::vector<SettingEntry>
ListDaemonSettings();

// Reads flags and environment variables and validates every value. An error names the flag and
// the allowed range.
FieldResult<DaemonSettings>
ReadDaemonSettings(int aCount, char** aArguments);

} // namespace latchslip
