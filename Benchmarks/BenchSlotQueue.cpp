#include "LibScenario/EventQueue.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <deque>
#include <random>

namespace latchslip {

namespace {

// Queueing model of the slots of one server: one instance has the queue and the others forward
// their requests to it. docs/DESIGN.md compares it with two alternatives under the same load, which
// were measured and removed: slots lent to the instances as credits, and a separate slot limit in
// each instance.
constexpr int kInstances = 8;
constexpr Duration kHop = microseconds(500);
constexpr Duration kServiceTime = milliseconds(2);
constexpr int kRequests = 40000;

struct Outcome
{
  std::vector<double> latencies_;
  std::size_t exceeded_ = 0;
  // Mean number of slots that were free while a request was waiting, averaged over the run.
  double idleSlotsWhileWaiting_ = 0;
  int connections_ = 0;
};

class SlotModel
{
public:
  SlotModel(int aSlots, double aLoad)
    : slots_(aSlots)
    , meanGap_(static_cast<double>(kServiceTime.count()) / (aSlots * aLoad))
  {
  }
  virtual ~SlotModel() = default;

  Outcome Run()
  {
    Arrive();
    queue_.RunUntil(queue_.Now() + seconds(3600));
    outcome_.idleSlotsWhileWaiting_ /= static_cast<double>((last_ - first_).count());
    return std::move(outcome_);
  }

protected:
  struct Request
  {
    int instance_ = 0;
    Instant arrivedAt_{ 0 };
  };

  virtual void OnArrival(const Request& aRequest) = 0;

  void UpdateIdleTime()
  {
    const auto now = queue_.Now();
    if (waiting_ > 0 && running_ < slots_) {
      outcome_.idleSlotsWhileWaiting_ +=
        static_cast<double>(std::min(waiting_, slots_ - running_) * (now - accountedAt_).count());
    }
    accountedAt_ = now;
  }

  void ChangeWaiting(int aChange)
  {
    UpdateIdleTime();
    waiting_ += aChange;
  }

  Duration ServiceTime()
  {
    return Duration(static_cast<std::int64_t>(std::exponential_distribution<double>(
      1.0 / static_cast<double>(kServiceTime.count()))(random_)));
  }

  // Starts a request that has arrived at the server; calls aDone when it ends. False if all slots
  // are in use.
  bool TryRun(std::function<void()> aDone)
  {
    UpdateIdleTime();
    if (running_ >= slots_) {
      ++outcome_.exceeded_;
      return false;
    }
    ++running_;
    queue_.ScheduleAfter(ServiceTime(), [this, done = std::move(aDone)] {
      UpdateIdleTime();
      --running_;
      done();
    });
    return true;
  }

  void Answer(const Request& aRequest, Duration aReturnDelay)
  {
    queue_.ScheduleAfter(aReturnDelay, [this, aRequest] {
      last_ = queue_.Now();
      outcome_.latencies_.push_back(
        static_cast<double>((queue_.Now() - aRequest.arrivedAt_).count()) / 1000);
    });
  }

  EventQueue queue_;
  std::mt19937_64 random_{ 5 };
  Outcome outcome_;
  int slots_;

private:
  void Arrive()
  {
    if (++sent_ > kRequests) {
      return;
    }
    first_ = first_ == Instant{ 0 } ? queue_.Now() : first_;
    OnArrival({ static_cast<int>(random_() % kInstances), queue_.Now() });
    const Duration gap(
      static_cast<std::int64_t>(std::exponential_distribution<double>(1.0 / meanGap_)(random_)));
    queue_.ScheduleAfter(gap, [this] { Arrive(); });
  }

  double meanGap_;
  int sent_ = 0;
  int running_ = 0;
  int waiting_ = 0;
  Instant accountedAt_{ 0 };
  Instant first_{ 0 };
  Instant last_{ 0 };
};

class OneQueue : public SlotModel
{
public:
  OneQueue(int aSlots, double aLoad)
    : SlotModel(aSlots, aLoad)
  {
    outcome_.connections_ = aSlots;
  }

private:
  void OnArrival(const Request& aRequest) override
  {
    const auto delay = aRequest.instance_ == 0 ? Duration{ 0 } : kHop;
    queue_.ScheduleAfter(delay, [this, aRequest, delay] {
      waiting_.push_back({ aRequest, delay });
      ChangeWaiting(1);
      DispatchQueued();
    });
  }

  void DispatchQueued()
  {
    while (!waiting_.empty() && dispatched_ < slots_) {
      const auto [request, delay] = waiting_.front();
      waiting_.pop_front();
      ++dispatched_;
      queue_.ScheduleAfter(kHop, [this, request = request, delay = delay] {
        ChangeWaiting(-1);
        TryRun([this, request, delay] {
          queue_.ScheduleAfter(kHop, [this] {
            --dispatched_;
            DispatchQueued();
          });
          Answer(request, kHop + delay);
        });
      });
    }
  }

  std::deque<std::pair<Request, Duration>> waiting_;
  int dispatched_ = 0;
};

template<typename Model>
void
BM_SlotWay(benchmark::State& aState)
{
  Outcome outcome;
  for (auto _ : aState) {
    outcome =
      Model(static_cast<int>(aState.range(0)), static_cast<double>(aState.range(1)) / 100).Run();
  }
  auto& latencies = outcome.latencies_;
  std::sort(latencies.begin(), latencies.end());
  aState.counters["p50_ms"] = latencies[latencies.size() / 2];
  aState.counters["p99_ms"] = latencies[latencies.size() * 99 / 100];
  aState.counters["exceeded_per_1000"] =
    1000.0 * static_cast<double>(outcome.exceeded_) / static_cast<double>(latencies.size());
  aState.counters["idle_slots_while_waiting"] = outcome.idleSlotsWhileWaiting_;
  aState.counters["connections"] = outcome.connections_;
}
BENCHMARK_TEMPLATE(BM_SlotWay, OneQueue)
  ->Args({ 4, 50 })
  ->Args({ 4, 70 })
  ->Args({ 4, 85 })
  ->Args({ 6, 70 })
  ->Iterations(1);

} // namespace

} // namespace latchslip
