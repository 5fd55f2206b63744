#pragma once

#include <cstddef>
#include <filesystem>
#include <string>
#include <sys/types.h>

namespace latchslip::platform {

// A gateway instance (latchslip-entry) running as a child process with its own settings file. The
// destructor kills the process and removes the file.
class EntryProcess
{
public:
  // The path of a settings file.
  struct SettingsFile
  {
    std::filesystem::path path_;
  };

  // Writes aSettings to a temporary file and starts aProgram with it; standard output is appended
  // to aLog. If the start fails, Wait() returns exit code 127.
  EntryProcess(const std::string& aProgram,
               const std::string& aName,
               const std::string& aSettings,
               const std::string& aLog = "/dev/null");
  // As above with a settings file that exists, and that the destructor removes.
  EntryProcess(const std::string& aProgram, SettingsFile aSettings, const std::string& aLog);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  void Signal(int aSignal) const;
  // Largest memory of the process so far, in bytes; 0 if it has ended.
  std::size_t PeakMemory() const;
  // Lets PeakMemory() begin anew.
  void ResetPeakMemory() const;
  // Whether the process has exited.
  bool HasEnded();
  // Waits for the process to exit and returns its status in the format of waitpid.
  int Wait();

private:
  std::filesystem::path settingsFile_;
  pid_t id_ = 0;
  int status_ = 0;
  bool hasEnded_ = false;
};

} // namespace latchslip::platform
