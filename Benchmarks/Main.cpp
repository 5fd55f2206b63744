#include <benchmark/benchmark.h>
#include <cstring>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>

namespace {

// Prints results to the console and keeps the counters, which are then checked against the bounds.
class CapturingReporter : public benchmark::ConsoleReporter
{
public:
  void ReportRuns(const std::vector<Run>& aRuns) override
  {
    for (const auto& run : aRuns) {
      for (const auto& [name, counter] : run.counters) {
        counters_[run.benchmark_name() + " " + name] = counter.value;
      }
      times_[run.benchmark_name()] = run.GetAdjustedRealTime();
    }
    ConsoleReporter::ReportRuns(aRuns);
  }

  std::map<std::string, double> counters_;
  std::map<std::string, double> times_;
};

// Checks the counters against the lines "BENCHMARK COUNTER MIN MAX" of a file. Only deterministic
// counters have bounds, since they are the same on every machine; times are printed but not
// checked. Returns the exit code: 1 if a bound is violated or a counter is missing.
int
CheckBounds(const std::string& aPath, const CapturingReporter& aReporter)
{
  std::ifstream file(aPath);
  std::string line;
  int broken = 0;
  int checked = 0;
  while (std::getline(file, line)) {
    if (line.empty() || line[0] == '#') {
      continue;
    }
    std::istringstream words(line);
    std::string name;
    std::string counter;
    double least = 0;
    double most = 0;
    if (!(words >> name >> counter >> least >> most)) {
      std::cerr << aPath << ": expected BENCHMARK COUNTER MIN MAX: " << line << '\n';
      return 1;
    }
    const auto found = aReporter.counters_.find(name + " " + counter);
    if (found == aReporter.counters_.end()) {
      std::cerr << "BROKEN " << name << ' ' << counter << ": was not measured\n";
      ++broken;
      continue;
    }
    ++checked;
    if (found->second < least || found->second > most) {
      std::cerr << "BROKEN " << name << ' ' << counter << ": " << found->second << " is not from "
                << least << " to " << most << '\n';
      ++broken;
    }
  }
  std::cout << checked << " bounds checked, " << broken << " broken\n";
  return broken == 0 && checked > 0 ? 0 : 1;
}

} // namespace

// Accepts the flags of Google Benchmark, and --bounds=FILE to check the counters.
int
main(int aCount, char** aArguments)
{
  constexpr const char* kBoundsFlag = "--bounds=";
  std::string bounds;
  std::vector<char*> rest;
  for (int index = 0; index < aCount; ++index) {
    if (std::strncmp(aArguments[index], kBoundsFlag, std::strlen(kBoundsFlag)) == 0) {
      bounds = aArguments[index] + std::strlen(kBoundsFlag);
    } else {
      rest.push_back(aArguments[index]);
    }
  }
  int count = static_cast<int>(rest.size());
  benchmark::Initialize(&count, rest.data());
  if (benchmark::ReportUnrecognizedArguments(count, rest.data())) {
    return 2;
  }
  CapturingReporter reporter;
  benchmark::RunSpecifiedBenchmarks(&reporter);
  return bounds.empty() ? 0 : CheckBounds(bounds, reporter);
}
