#include "EntryProcess.h"
#include "FleetDocuments.h"
#include "LibBase/Time.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <iterator>
#include <memory>
#include <string>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace latchslip::platform {

namespace {

constexpr int kPort = 24500;

bool
WaitUntil(const std::function<bool()>& aIsDone)
{
  constexpr int kTries = 1000;
  for (int tries = 0; tries < kTries; ++tries) {
    if (aIsDone()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  return false;
}

// An instance that is held in its start: its settings file is a pipe, from which it cannot read
// before the test writes to it. Signals that arrive meanwhile precede its signal handlers.
class InstanceReadingItsSettings : public testing::Test
{
protected:
  InstanceReadingItsSettings()
  {
    std::filesystem::remove(log_);
    EXPECT_EQ(mkfifo(settings_.c_str(), S_IRUSR | S_IWUSR), 0);
    process_ = std::make_unique<EntryProcess>(
      LATCHSLIP_ENTRY, EntryProcess::SettingsFile{ settings_ }, log_.string());
    // The pipe can be opened for writing once the instance has opened it for reading.
    EXPECT_TRUE(WaitUntil([this] {
      pipe_ = open(settings_.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
      return pipe_ >= 0;
    }));
  }

  ~InstanceReadingItsSettings() override { std::filesystem::remove(log_); }

  // Lets the instance read its settings; what it reads from then on comes from a regular file.
  void ProvideSettings()
  {
    const auto text = MakeSettings("edge-1", kPort, kPort, Loopback(kPort + 9));
    std::filesystem::remove(settings_);
    std::ofstream(settings_) << text;
    EXPECT_EQ(write(pipe_, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    close(pipe_);
  }

  bool HasLogged(const std::string& aEvent) const
  {
    std::ifstream file(log_);
    const std::string text{ std::istreambuf_iterator<char>(file), {} };
    return text.find("event=" + aEvent + " ") != std::string::npos;
  }

  std::filesystem::path settings_ = std::filesystem::temp_directory_path() /
                                    ("latchslip-start-" + std::to_string(getpid()) + ".json");
  std::filesystem::path log_ = settings_.string() + ".log";
  std::unique_ptr<EntryProcess> process_;
  int pipe_ = -1;
};

// Guards against an instance that is killed by a signal to reload its settings while it starts.
TEST_F(InstanceReadingItsSettings, ReloadIsSignalled_StartsAndReadsThemAgain)
{
  process_->Signal(SIGHUP);
  ProvideSettings();
  EXPECT_TRUE(WaitUntil([this] { return HasLogged("E103") || process_->HasEnded(); }));
  EXPECT_FALSE(process_->HasEnded());
  EXPECT_TRUE(HasLogged("E100"));
  EXPECT_TRUE(HasLogged("E103"));
}

// Guards against a planned stop that kills an instance while it starts, or that it misses.
TEST_F(InstanceReadingItsSettings, StopIsSignalled_StopsAsPlanned)
{
  process_->Signal(SIGTERM);
  ProvideSettings();
  const auto status = process_->Wait();
  ASSERT_TRUE(WIFEXITED(status));
  EXPECT_EQ(WEXITSTATUS(status), 0);
  EXPECT_TRUE(HasLogged("E101"));
}

} // namespace

} // namespace latchslip::platform
