#pragma once

#include <filesystem>
#include <string>
#include <sys/types.h>

namespace latchslip::platform {

// One process of the daemon with a settings file of its own. Both end with this
// object.
class EntryProcess
{
public:
  // Starts the program at aProgram; its log goes to aLog.
  EntryProcess(const std::string& aProgram,
               const std::string& aName,
               const std::string& aSettings,
               const std::string& aLog = "/dev/null");
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  void Signal(int aSignal) const;
  // Whether it has ended by now.
  bool HasEnded();
  // Waits for its end and returns its status as waitpid has it.
  int Wait();

private:
  std::filesystem::path settingsFile_;
  pid_t id_ = 0;
  int status_ = 0;
  bool hasEnded_ = false;
};

} // namespace latchslip::platform
