#include "CrashingClient.h"

#include "LibNet/MonotonicClock.h"

#include <algorithm>

namespace latchslip::platform {

namespace {

// Both requests are sent this often.
constexpr Duration kMinInterval = milliseconds(100);
constexpr Duration kMaxInterval = milliseconds(600);
// Key of the request with a key.
constexpr KeyNumber kCrashingKey = 4711;
// Three sends are allowed later than this after the third crash, from instances that have not been
// disturbed for as long.
constexpr Duration kBound = seconds(3);
constexpr std::size_t kAllowed = 3;
constexpr std::size_t kThird = 2;

} // namespace

CrashingClient::CrashingClient(SoakEnvironment& aEnvironment, std::uint32_t aSeed)
  : environment_(aEnvironment)
  , random_(aSeed)
  , requests_({ { false, "/rates/crash", {} }, { true, "/book/crash", {} } })
{
}

void
CrashingClient::Start()
{
  isRunning_ = true;
  for (auto& server : environment_.Servers()) {
    const bool isKeyed = server.backend_->Service() == "rates";
    server.backend_->SetCrashPath(requests_[isKeyed ? 0 : 1].path_);
  }
  SendNext();
}

void
CrashingClient::Stop()
{
  isRunning_ = false;
  for (auto& server : environment_.Servers()) {
    server.backend_->SetCrashPath("");
  }
  for (const auto& request : requests_) {
    Check(request);
  }
}

void
CrashingClient::SendNext()
{
  if (!isRunning_) {
    return;
  }
  ObserveInstances();
  auto& instances = environment_.Instances();
  for (auto& request : requests_) {
    Send(request, instances[random_() % instances.size()]);
  }
  const auto interval = std::uniform_int_distribution<Duration::rep>(kMinInterval.count(),
                                                                     kMaxInterval.count())(random_);
  environment_.After(Duration(interval), [this] { SendNext(); });
}

void
CrashingClient::ObserveInstances()
{
  const auto now = MonotonicNow();
  for (const auto& instance : environment_.Instances()) {
    const bool isDisturbed =
      instance.isPaused_ || !instance.shouldRun_ || instance.storeLink_->Fault() != LinkFault::None;
    const bool isNew = !disturbedAt_.contains(instance.RunId());
    if (isDisturbed || isNew) {
      disturbedAt_[instance.RunId()] = now;
    }
  }
}

void
CrashingClient::Send(Repeated& aRequest, SoakEnvironment::Instance& aInstance)
{
  const auto id = environment_.SendRequest(
    aInstance, aRequest.isBooking_, aRequest.path_, static_cast<int>(kCrashingKey));
  aRequest.sent_[id] = MonotonicNow() >= disturbedAt_.at(aInstance.RunId()) + kBound;
}

void
CrashingClient::Check(const Repeated& aRequest) const
{
  std::vector<Instant> crashes;
  std::vector<Instant> arrivals;
  for (const auto& server : environment_.Servers()) {
    for (const auto& crash : server.backend_->Crashes()) {
      if (crash.path_ == aRequest.path_) {
        crashes.push_back(crash.time_);
      }
    }
    for (const auto& arrival : server.backend_->Arrivals()) {
      const auto sent = aRequest.sent_.find(arrival.request_);
      if (sent != aRequest.sent_.end() && sent->second) {
        arrivals.push_back(arrival.time_);
      }
    }
  }
  if (crashes.size() <= kThird) {
    return;
  }
  std::sort(crashes.begin(), crashes.end());
  const auto late =
    static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [&](Instant aArrival) {
      return aArrival > crashes[kThird] + kBound;
    }));
  if (late > kAllowed) {
    environment_.Guarantees().ReportViolation(
      "BUDGET " + aRequest.path_ + " crashed " + std::to_string(crashes.size()) +
      " servers and was sent to one " + std::to_string(late) + " times after the third");
  }
}

} // namespace latchslip::platform
