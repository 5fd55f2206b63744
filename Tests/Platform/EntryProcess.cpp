#include "EntryProcess.h"

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <spawn.h>
#include <string_view>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

extern char** environ; // NOLINT(readability-redundant-declaration)

namespace latchslip::platform {

namespace {

// waitpid status of a process that could not be started: exit code 127.
constexpr int kNotStarted = 127 << 8;
constexpr mode_t kLogMode = 0644;

// Returns a file name that no other process uses, nor an earlier process of the same instance.
std::filesystem::path
NextSettingsFile(const std::string& aName)
{
  static int last = 0;
  return std::filesystem::temp_directory_path() /
         ("latchslip-" + aName + "-" + std::to_string(getpid()) + "-" + std::to_string(++last) +
          ".json");
}

// Writes the settings to a new file and returns its name.
std::filesystem::path
WriteSettings(const std::string& aName, const std::string& aSettings)
{
  auto file = NextSettingsFile(aName);
  std::ofstream(file) << aSettings;
  return file;
}

// Returns this process's environment plus one variable, in the form that posix_spawn takes.
std::vector<char*>
EnvironmentWith(std::string& aVariable)
{
  std::vector<char*> environment;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    environment.push_back(*entry);
  }
  environment.push_back(aVariable.data());
  environment.push_back(nullptr);
  return environment;
}

// Starts aProgram with its standard output in aLog. Returns its process id, or 0 on failure.
pid_t
Spawn(std::string aProgram, std::string aVariable, const std::string& aLog)
{
  std::vector<char*> arguments{ aProgram.data(), nullptr };
  const auto environment = EnvironmentWith(aVariable);
  posix_spawn_file_actions_t actions{};
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, "/dev/null", O_WRONLY, 0);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  // An instance with a copy of a listening socket would keep a test double's port open after the
  // test double has closed it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t id = 0;
  const int error =
    posix_spawn(&id, aProgram.c_str(), &actions, nullptr, arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    std::cerr << "cannot start " << aProgram << ": " << std::strerror(error) << '\n';
    return 0;
  }
  return id;
}

} // namespace

EntryProcess::EntryProcess(const std::string& aProgram,
                           const std::string& aName,
                           const std::string& aSettings,
                           const std::string& aLog)
  : EntryProcess(aProgram, SettingsFile{ WriteSettings(aName, aSettings) }, aLog)
{
}

EntryProcess::EntryProcess(const std::string& aProgram,
                           SettingsFile aSettings,
                           const std::string& aLog)
  : settingsFile_(std::move(aSettings.path_))
{
  id_ = Spawn(aProgram, "LATCHSLIP_CONFIG=" + settingsFile_.string(), aLog);
  if (id_ == 0) {
    // The id 0 would address this process's own group in kill and waitpid.
    hasEnded_ = true;
    status_ = kNotStarted;
  }
}

EntryProcess::~EntryProcess()
{
  Signal(SIGKILL);
  Wait();
  std::filesystem::remove(settingsFile_);
}

void
EntryProcess::Signal(int aSignal) const
{
  if (!hasEnded_) {
    kill(id_, aSignal);
  }
}

bool
EntryProcess::HasEnded()
{
  hasEnded_ = hasEnded_ || waitpid(id_, &status_, WNOHANG) == id_;
  return hasEnded_;
}

int
EntryProcess::Wait()
{
  if (!hasEnded_) {
    waitpid(id_, &status_, 0);
    hasEnded_ = true;
  }
  return status_;
}

std::size_t
EntryProcess::PeakMemory() const
{
  constexpr std::string_view kName = "VmHWM:";
  constexpr std::size_t kKilobyte = 1024;
  std::ifstream status("/proc/" + std::to_string(id_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kName)) {
      return std::stoul(line.substr(kName.size())) * kKilobyte;
    }
  }
  return 0;
}

void
EntryProcess::ResetPeakMemory() const
{
  // The number is defined in proc(5).
  std::ofstream("/proc/" + std::to_string(id_) + "/clear_refs") << "5";
}

} // namespace latchslip::platform
