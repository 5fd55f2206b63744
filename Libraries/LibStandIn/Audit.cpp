#include "LibStandIn/Audit.h"

#include "LibConfig/JsonReader.h"
#include "LibNet/ServerProtocol.h"

#include <algorithm>
#include <map>

namespace latchslip {

namespace {

// Bounds the output when a fault repeats for every request.
constexpr std::size_t kMaxViolations = 50;

void
AddViolation(AuditReport& aReport, std::string aViolation)
{
  if (aReport.violations_.size() < kMaxViolations) {
    aReport.violations_.push_back(std::move(aViolation));
  }
}

void
CheckOwnership(const ServerRecords& aLeft, const ServerRecords& aRight, AuditReport& aReport)
{
  for (const auto& left : aLeft.ownerships_) {
    for (const auto& right : aRight.ownerships_) {
      const auto from = std::max(left.from_, right.from_);
      const auto until = std::min(left.until_, right.until_);
      if (from < until && RangesOverlap(left.ranges_, right.ranges_)) {
        AddViolation(aReport,
                     "one-owner: " + aLeft.server_ + " and " + aRight.server_ +
                       " owned the same keys for " + std::to_string((until - from).count()) +
                       " us from " + std::to_string(from.count()));
      }
    }
  }
}

// Checks that no two servers ran work for one key at the same time. This also covers servers that
// don't check grants, which write no ownership records.
void
CheckConcurrentWork(const std::vector<const ServerRecords*>& aServers, AuditReport& aReport)
{
  struct Run
  {
    Instant from_;
    Instant until_;
    const ServerRecords* server_;
  };
  std::map<KeyHash, std::vector<Run>> runs;
  for (const auto* server : aServers) {
    for (const auto& execution : server->executions_) {
      runs[execution.hash_].push_back({ execution.startedAt_, execution.endedAt_, server });
    }
  }
  for (auto& [hash, list] : runs) {
    std::sort(list.begin(), list.end(), [](const Run& aLeft, const Run& aRight) {
      return aLeft.from_ < aRight.from_;
    });
    for (std::size_t index = 1; index < list.size(); ++index) {
      const auto& before = list[index - 1];
      const auto& after = list[index];
      if (before.server_ != after.server_ && after.from_ < before.until_) {
        AddViolation(aReport,
                     "one-owner: " + before.server_->server_ + " and " + after.server_->server_ +
                       " ran work for one key at the same time, hash " + std::to_string(hash));
      }
    }
  }
}

void
CheckServers(const std::vector<ServerRecords>& aServers, AuditReport& aReport)
{
  std::map<std::string, std::vector<const ServerRecords*>> services;
  for (const auto& server : aServers) {
    services[server.service_].push_back(&server);
    aReport.executions_ += server.executions_.size();
    if (server.maxRunning_ > server.slots_) {
      AddViolation(aReport,
                   "slots: " + server.server_ + " ran " + std::to_string(server.maxRunning_) +
                     " at once with " + std::to_string(server.slots_) + " slots");
    }
  }
  for (const auto& [service, servers] : services) {
    CheckConcurrentWork(servers, aReport);
    for (std::size_t left = 0; left < servers.size(); ++left) {
      for (std::size_t right = left + 1; right < servers.size(); ++right) {
        CheckOwnership(*servers[left], *servers[right], aReport);
      }
    }
  }
}

} // namespace

std::string
SerializeCallerRecord(const CallerRecord& aRecord)
{
  return boost::json::serialize(
    boost::json::object{ { "request", aRecord.requestId_ },
                         { "service", aRecord.service_ },
                         { "hash", std::to_string(aRecord.hash_) },
                         { "repeatable", aRecord.isRepeatable_ },
                         { "outcome", kRequestOutcomeNames.NameOf(aRecord.outcome_) },
                         { "reason", kReasonNames.NameOf(aRecord.reason_) },
                         { "own", aRecord.isMatchingAnswer_ },
                         { "started", std::to_string(aRecord.startedAt_.count()) },
                         { "ended", std::to_string(aRecord.endedAt_.count()) } });
}

FieldResult<std::vector<CallerRecord>>
ParseCallerRecords(std::string_view aText)
{
  std::vector<CallerRecord> records;
  std::size_t start = 0;
  while (start < aText.size()) {
    const auto end = std::min(aText.find('\n', start), aText.size());
    BOOST_OUTCOME_TRY(const auto value,
                      ParseJson(aText.substr(start, end - start), "caller record"));
    BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
    CallerRecord record;
    BOOST_OUTCOME_TRY(record.requestId_, reader.Text("request"));
    BOOST_OUTCOME_TRY(record.service_, reader.Text("service"));
    BOOST_OUTCOME_TRY(const auto hash, reader.Text("hash"));
    BOOST_OUTCOME_TRY(record.isRepeatable_, reader.FlagOr("repeatable", false));
    BOOST_OUTCOME_TRY(const auto outcome, reader.Text("outcome"));
    BOOST_OUTCOME_TRY(const auto reason, reader.Text("reason"));
    BOOST_OUTCOME_TRY(record.isMatchingAnswer_, reader.FlagOr("own", true));
    BOOST_OUTCOME_TRY(const auto started, reader.Text("started"));
    BOOST_OUTCOME_TRY(const auto ended, reader.Text("ended"));
    const auto known = kRequestOutcomeNames.ValueOf(outcome);
    if (!known) {
      return FieldError{ "outcome", "is not a known outcome: " + outcome };
    }
    record.outcome_ = *known;
    record.reason_ = kReasonNames.ValueOf(reason).value_or(Reason::None);
    record.hash_ = ParseNumber(hash, 0);
    record.startedAt_ = Instant(static_cast<std::int64_t>(ParseNumber(started, 0)));
    record.endedAt_ = Instant(static_cast<std::int64_t>(ParseNumber(ended, 0)));
    records.push_back(std::move(record));
    start = end + 1;
  }
  return records;
}

AuditReport
Audit(const std::vector<CallerRecord>& aCallers, const std::vector<ServerRecords>& aServers)
{
  AuditReport report;
  CheckServers(aServers, report);
  std::map<std::string, std::size_t> executions;
  for (const auto& server : aServers) {
    for (const auto& execution : server.executions_) {
      ++executions[execution.requestId_];
    }
  }
  // A caller may have sent one id several times; each of the answers is checked.
  for (const auto& caller : aCallers) {
    ++report.requests_;
    const auto found = executions.find(caller.requestId_);
    const std::size_t count = found == executions.end() ? 0 : found->second;
    if (!caller.isRepeatable_ && count > 1) {
      AddViolation(
        report, "at-most-once: " + caller.requestId_ + " ran " + std::to_string(count) + " times");
    }
    if (!caller.isMatchingAnswer_) {
      AddViolation(report, "own-answer: " + caller.requestId_ + " got a wrong or partial answer");
    }
    switch (caller.outcome_) {
      case RequestOutcome::Answered:
        ++report.answered_;
        if (count == 0) {
          AddViolation(report, "answered: " + caller.requestId_ + " was answered but never ran");
        }
        break;
      case RequestOutcome::NotRun:
        ++report.notRun_;
        if (count != 0) {
          AddViolation(
            report, "not-run: " + caller.requestId_ + " ran although it was answered as not run");
        }
        break;
      case RequestOutcome::Unknown:
        ++report.unknown_;
        break;
    }
  }
  return report;
}

std::vector<KeyGap>
LongestGaps(const std::vector<CallerRecord>& aCallers)
{
  std::map<KeyHash, std::vector<Instant>> answers;
  for (const auto& caller : aCallers) {
    if (caller.outcome_ == RequestOutcome::Answered) {
      answers[caller.hash_].push_back(caller.endedAt_);
    }
  }
  std::vector<KeyGap> gaps;
  for (auto& [hash, times] : answers) {
    std::sort(times.begin(), times.end());
    Duration longest{ 0 };
    for (std::size_t index = 1; index < times.size(); ++index) {
      longest = std::max(longest, times[index] - times[index - 1]);
    }
    gaps.push_back({ hash, longest });
  }
  std::sort(gaps.begin(), gaps.end(), [](const KeyGap& aLeft, const KeyGap& aRight) {
    return aLeft.gap_ > aRight.gap_;
  });
  return gaps;
}

} // namespace latchslip
