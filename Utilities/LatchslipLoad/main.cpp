#include "LoadRun.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

ABSL_FLAG(std::string, targets, "", "Listeners to send to, separated by commas.");
ABSL_FLAG(bool, direct, false, "The target is a backend server that does not check orders.");
ABSL_FLAG(std::string, streams, "", "service:group:repeatable or service:group:once, by commas.");
ABSL_FLAG(int, requests, 10000, "How many requests to send, probes not counted.");
ABSL_FLAG(double, rate, 0, "Requests per second; 0 sends as fast as answers come.");
ABSL_FLAG(int, workers, 16, "Requests in flight when no rate is set.");
ABSL_FLAG(int, keys, 1000, "How many keys to spread the requests over.");
ABSL_FLAG(int, body_bytes, 64, "Size of a request's body.");
ABSL_FLAG(int, deadline_ms, 3000, "Deadline of each request.");
ABSL_FLAG(int,
          probe_keys,
          0,
          "Keys asked for over and over, to measure how long they are unavailable.");
ABSL_FLAG(std::string, prefix, "request-", "How request ids begin.");
ABSL_FLAG(int, seed, 1, "Seed of the choice of keys.");
ABSL_FLAG(std::string, results, "", "File for what the callers saw.");
ABSL_FLAG(std::string, records, "", "For audit: folder with the servers' record files.");

namespace latchslip {

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitViolation = 1;

std::string
ReadAll(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

FieldResult<LoadSettings>
ReadSettings()
{
  LoadSettings settings;
  settings.targets_ = absl::StrSplit(absl::GetFlag(FLAGS_targets), ',', absl::SkipEmpty());
  settings.isDirect_ = absl::GetFlag(FLAGS_direct);
  for (const auto text : absl::StrSplit(absl::GetFlag(FLAGS_streams), ',', absl::SkipEmpty())) {
    const std::vector<std::string> parts = absl::StrSplit(text, ':');
    if (parts.size() != 3 || (parts[2] != "repeatable" && parts[2] != "once")) {
      return FieldError{ "--streams", "has an entry that is not service:group:repeatable|once" };
    }
    settings.streams_.push_back({ parts[0], parts[1], parts[2] == "repeatable" });
  }
  if (settings.targets_.empty() || settings.streams_.empty()) {
    return FieldError{ settings.targets_.empty() ? "--targets" : "--streams", "must be set" };
  }
  settings.requests_ = static_cast<std::size_t>(std::max(0, absl::GetFlag(FLAGS_requests)));
  settings.rate_ = absl::GetFlag(FLAGS_rate);
  settings.workers_ = static_cast<std::size_t>(std::max(1, absl::GetFlag(FLAGS_workers)));
  settings.keys_ = static_cast<std::size_t>(std::max(1, absl::GetFlag(FLAGS_keys)));
  settings.bodyBytes_ = static_cast<std::size_t>(std::max(0, absl::GetFlag(FLAGS_body_bytes)));
  settings.deadline_ = milliseconds(std::max(1, absl::GetFlag(FLAGS_deadline_ms)));
  settings.probeKeys_ = static_cast<std::size_t>(std::max(0, absl::GetFlag(FLAGS_probe_keys)));
  settings.prefix_ = absl::GetFlag(FLAGS_prefix);
  settings.seed_ = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed));
  return settings;
}

void
PrintLatencies(const std::vector<CallerRecord>& aRecords)
{
  std::vector<double> latencies;
  std::map<std::string, std::size_t> outcomes;
  Instant first{ 0 };
  Instant last{ 0 };
  for (const auto& record : aRecords) {
    const auto name = std::string(kRequestOutcomeNames.NameOf(record.outcome_)) + "/" +
                      std::string(kReasonNames.NameOf(record.reason_));
    ++outcomes[name];
    first = first == Instant{ 0 } ? record.startedAt_ : std::min(first, record.startedAt_);
    last = std::max(last, record.endedAt_);
    if (record.outcome_ == RequestOutcome::Answered) {
      latencies.push_back(ToMilliseconds(record.endedAt_ - record.startedAt_));
    }
  }
  for (const auto& [name, count] : outcomes) {
    std::cout << "  " << name << ": " << count << '\n';
  }
  if (latencies.empty()) {
    return;
  }
  std::sort(latencies.begin(), latencies.end());
  const auto at = [&](double aShare) {
    return latencies[static_cast<std::size_t>(static_cast<double>(latencies.size() - 1) * aShare)];
  };
  const auto span = std::chrono::duration<double>(last - first).count();
  std::cout << "  answered " << latencies.size() << " in " << span << " s, "
            << static_cast<double>(latencies.size()) / span << " per second; latency ms p50 "
            << at(0.5) << " p99 " << at(0.99) << " max " << at(1) << '\n';
}

int
Send()
{
  const auto settings = ReadSettings();
  if (!settings) {
    std::cerr << "latchslip-load: " << settings.error().Describe() << '\n';
    return kExitUsage;
  }
  boost::asio::io_context context(1);
  const auto records = RunLoad(context, settings.value());
  PrintLatencies(records);
  if (!absl::GetFlag(FLAGS_results).empty()) {
    std::ofstream out(absl::GetFlag(FLAGS_results));
    for (const auto& record : records) {
      out << SerializeCallerRecord(record) << '\n';
    }
  }
  return 0;
}

void
PrintGaps(const std::vector<CallerRecord>& aCallers)
{
  std::vector<CallerRecord> probes;
  std::copy_if(
    aCallers.begin(), aCallers.end(), std::back_inserter(probes), [](const auto& aCaller) {
      return aCaller.requestId_.find("probe-") != std::string::npos;
    });
  const auto gaps = LongestGaps(probes);
  if (gaps.empty()) {
    return;
  }
  std::cout << "unavailable time of " << gaps.size()
            << " probed keys, longest gap between answers, ms: max "
            << ToMilliseconds(gaps.front().gap_) << " p99 "
            << ToMilliseconds(gaps[gaps.size() / 100].gap_) << " p50 "
            << ToMilliseconds(gaps[gaps.size() / 2].gap_) << "; keys over 100 ms: "
            << std::count_if(gaps.begin(),
                             gaps.end(),
                             [](const KeyGap& aGap) { return aGap.gap_ > milliseconds(100); })
            << '\n';
}

int
RunAudit()
{
  std::vector<ServerRecords> servers;
  std::set<std::filesystem::path> paths;
  for (const auto& entry : std::filesystem::directory_iterator(absl::GetFlag(FLAGS_records))) {
    if (entry.path().extension() == ".records") {
      paths.insert(entry.path());
    }
  }
  for (const auto& path : paths) {
    auto records = ParseServerRecords(ReadAll(path));
    if (!records) {
      std::cerr << "latchslip-load: " << path << ": " << records.error().Describe() << '\n';
      return kExitUsage;
    }
    servers.push_back(std::move(records).value());
  }
  const auto callers = ParseCallerRecords(ReadAll(absl::GetFlag(FLAGS_results)));
  if (!callers || callers.value().empty() || servers.empty()) {
    std::cerr << "latchslip-load: there are no records to audit\n";
    return kExitUsage;
  }
  const auto report = Audit(callers.value(), servers);
  std::cout << "requests " << report.requests_ << ": answered " << report.answered_ << ", not run "
            << report.notRun_ << ", unknown " << report.unknown_ << "; executions on "
            << servers.size() << " servers " << report.executions_ << '\n';
  PrintGaps(callers.value());
  for (const auto& violation : report.violations_) {
    std::cout << "BROKEN " << violation << '\n';
  }
  std::cout << (report.violations_.empty() ? "all checked invariants hold\n"
                                           : "an invariant is violated\n");
  return report.violations_.empty() ? 0 : kExitViolation;
}

} // namespace

} // namespace latchslip

int
main(int aCount, char** aArguments)
{
  absl::SetProgramUsageMessage("latchslip-load send|audit [flags]");
  const auto rest = absl::ParseCommandLine(aCount, aArguments);
  const std::string command = rest.size() == 2 ? rest[1] : "";
  if (command == "send") {
    return latchslip::Send();
  }
  if (command == "audit") {
    return latchslip::RunAudit();
  }
  std::cerr << "latchslip-load: the command must be send or audit\n";
  return latchslip::kExitUsage;
}
