#pragma once

#include "LibBase/Result.h"
#include "LibDaemon/SettingSources.h"
#include "LibInstance/InstanceContext.h"
#include "LibNet/HttpServer.h"

#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// The settings of an entry instance. Each is a flag and an environment variable;
// the flag goes first. Secrets are never flags, since the list of processes
// shows those.
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

// One setting as the documentation shows it.
struct SettingEntry
{
  std::string flag_;
  std::string variable_;
  std::string default_;
  std::string help_;
};

// All settings of latchslipd in the order of the documentation.
std::vector<SettingEntry>
ListDaemonSettings();

// Reads flags and environment and checks every value. The error names the flag
// and what is allowed.
FieldResult<DaemonSettings>
ReadDaemonSettings(int aCount, char** aArguments);

} // namespace latchslip
