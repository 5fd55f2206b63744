#include "LibScenario/EventQueue.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <deque>
#include <random>

namespace latchslip {

namespace {

// Three ways in which instances that do not see each other's load can share the
// slots of one server, on one load: (a) one instance queues for the server and
// the others forward to it; (b) slot credits are lent out by one instance and
// taken back when unused; (c) every instance keeps a limit of its own.
constexpr int kInstances = 8;
constexpr Duration kHop = microseconds(500);
constexpr Duration kServiceTime = milliseconds(2);
constexpr Duration kShedRetry = milliseconds(2);
constexpr int kRequests = 40000;

struct Outcome
{
  std::vector<double> latencies_;
  std::size_t exceeded_ = 0;
  // Slots that stood free while a request waited somewhere, slot-time over time.
  double idleWhileWaiting_ = 0;
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
    outcome_.idleWhileWaiting_ /= static_cast<double>((last_ - first_).count());
    return std::move(outcome_);
  }

protected:
  struct Request
  {
    int instance_ = 0;
    Instant arrivedAt_{ 0 };
  };

  virtual void OnArrival(const Request& aRequest) = 0;

  void Account()
  {
    const auto now = queue_.Now();
    if (waiting_ > 0 && running_ < slots_) {
      outcome_.idleWhileWaiting_ +=
        static_cast<double>(std::min(waiting_, slots_ - running_) * (now - accountedAt_).count());
    }
    accountedAt_ = now;
  }

  void Wait(int aChange)
  {
    Account();
    waiting_ += aChange;
  }

  Duration ServiceTime()
  {
    return Duration(static_cast<std::int64_t>(std::exponential_distribution<double>(
      1.0 / static_cast<double>(kServiceTime.count()))(random_)));
  }

  // The request is at the server; aDone is called when it has run there.
  bool TryRun(std::function<void()> aDone)
  {
    Account();
    if (running_ >= slots_) {
      ++outcome_.exceeded_;
      return false;
    }
    ++running_;
    queue_.After(ServiceTime(), [this, done = std::move(aDone)] {
      Account();
      --running_;
      done();
    });
    return true;
  }

  void Answer(const Request& aRequest, Duration aWayBack)
  {
    queue_.After(aWayBack, [this, aRequest] {
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
    queue_.After(gap, [this] { Arrive(); });
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
    const auto way = aRequest.instance_ == 0 ? Duration{ 0 } : kHop;
    queue_.After(way, [this, aRequest, way] {
      waiting_.push_back({ aRequest, way });
      Wait(1);
      Pump();
    });
  }

  void Pump()
  {
    while (!waiting_.empty() && out_ < slots_) {
      const auto [request, way] = waiting_.front();
      waiting_.pop_front();
      ++out_;
      queue_.After(kHop, [this, request = request, way = way] {
        Wait(-1);
        TryRun([this, request, way] {
          queue_.After(kHop, [this] {
            --out_;
            Pump();
          });
          Answer(request, kHop + way);
        });
      });
    }
  }

  std::deque<std::pair<Request, Duration>> waiting_;
  int out_ = 0;
};

class LentCredits : public SlotModel
{
public:
  LentCredits(int aSlots, double aLoad)
    : SlotModel(aSlots, aLoad)
    , free_(aSlots)
  {
    outcome_.connections_ = aSlots * 2;
  }

private:
  struct Instance
  {
    std::deque<Request> waiting_;
    int credits_ = 0;
    int asked_ = 0;
  };

  void OnArrival(const Request& aRequest) override
  {
    auto& instance = instances_[aRequest.instance_];
    instance.waiting_.push_back(aRequest);
    Wait(1);
    Use(aRequest.instance_);
    if (static_cast<int>(instance.waiting_.size()) > instance.asked_) {
      ++instance.asked_;
      queue_.After(kHop, [this, index = aRequest.instance_] {
        askers_.push_back(index);
        Lend();
      });
    }
  }

  void Lend()
  {
    while (free_ > 0 && !askers_.empty()) {
      --free_;
      const auto index = askers_.front();
      askers_.pop_front();
      queue_.After(kHop, [this, index] {
        --instances_[index].asked_;
        ++instances_[index].credits_;
        Use(index);
        GiveBack(index);
      });
    }
  }

  void Use(int aIndex)
  {
    auto& instance = instances_[aIndex];
    while (instance.credits_ > 0 && !instance.waiting_.empty()) {
      --instance.credits_;
      const auto request = instance.waiting_.front();
      instance.waiting_.pop_front();
      queue_.After(kHop, [this, request, aIndex] {
        Wait(-1);
        TryRun([this, request, aIndex] {
          queue_.After(kHop, [this, aIndex] {
            ++instances_[aIndex].credits_;
            Fair(aIndex);
          });
          Answer(request, kHop);
        });
      });
    }
  }

  // A credit that others wait for goes back after one use.
  void Fair(int aIndex)
  {
    if (askers_.empty()) {
      Use(aIndex);
    }
    GiveBack(aIndex);
  }

  void GiveBack(int aIndex)
  {
    auto& instance = instances_[aIndex];
    while (instance.credits_ > 0) {
      --instance.credits_;
      queue_.After(kHop, [this] {
        ++free_;
        Lend();
      });
    }
  }

  std::array<Instance, kInstances> instances_;
  std::deque<int> askers_;
  int free_;
};

class OwnLimits : public SlotModel
{
public:
  OwnLimits(int aSlots, double aLoad)
    : SlotModel(aSlots, aLoad)
    , limit_(std::max(1, (aSlots + kInstances - 1) / kInstances))
  {
    outcome_.connections_ = limit_ * kInstances;
  }

private:
  void OnArrival(const Request& aRequest) override
  {
    waiting_[aRequest.instance_].push_back(aRequest);
    Wait(1);
    Pump(aRequest.instance_);
  }

  void Pump(int aIndex)
  {
    while (out_[aIndex] < limit_ && !waiting_[aIndex].empty()) {
      ++out_[aIndex];
      const auto request = waiting_[aIndex].front();
      waiting_[aIndex].pop_front();
      Try(aIndex, request);
    }
  }

  void Try(int aIndex, const Request& aRequest)
  {
    queue_.After(kHop, [this, aIndex, aRequest] {
      const bool runs = TryRun([this, aIndex, aRequest] {
        queue_.After(kHop, [this, aIndex] {
          --out_[aIndex];
          Pump(aIndex);
        });
        Answer(aRequest, kHop);
      });
      if (runs) {
        Wait(-1);
      } else {
        queue_.After(kHop + kShedRetry, [this, aIndex, aRequest] { Try(aIndex, aRequest); });
      }
    });
  }

  std::array<std::deque<Request>, kInstances> waiting_;
  std::array<int, kInstances> out_{};
  int limit_;
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
  aState.counters["idle_slots_while_waiting"] = outcome.idleWhileWaiting_;
  aState.counters["connections"] = outcome.connections_;
}
BENCHMARK_TEMPLATE(BM_SlotWay, OneQueue)
  ->Args({ 4, 50 })
  ->Args({ 4, 70 })
  ->Args({ 4, 85 })
  ->Args({ 6, 70 })
  ->Iterations(1);
BENCHMARK_TEMPLATE(BM_SlotWay, LentCredits)
  ->Args({ 4, 50 })
  ->Args({ 4, 70 })
  ->Args({ 4, 85 })
  ->Args({ 6, 70 })
  ->Iterations(1);
BENCHMARK_TEMPLATE(BM_SlotWay, OwnLimits)
  ->Args({ 4, 50 })
  ->Args({ 4, 70 })
  ->Args({ 4, 85 })
  ->Args({ 6, 70 })
  ->Iterations(1);

} // namespace

} // namespace latchslip
