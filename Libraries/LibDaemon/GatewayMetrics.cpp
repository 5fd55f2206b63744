#include "LibDaemon/GatewayMetrics.h"

#include "LibDaemon/MetricsText.h"

#include <sstream>

namespace latchslip {

namespace {

// Writes a line for each nonzero counter. aLabels ends with a comma; label aLabel has the
// counter's name from aNames as its value.
template<typename Names, typename Counts>
void
WriteCounts(std::ostream& aText,
            std::string_view aName,
            const std::string& aLabels,
            std::string_view aLabel,
            const Names& aNames,
            const Counts& aCounts)
{
  for (std::size_t index = 0; index < aCounts.size(); ++index) {
    if (aCounts.at(index) > 0) {
      aText << "latchslip_" << aName << '{' << aLabels << aLabel << "=\"" << aNames.names_.at(index)
            << "\"} " << aCounts.at(index) << '\n';
    }
  }
}

void
WriteRoutes(std::ostream& aText, const RequestStatistics& aStatistics)
{
  WriteType(aText, "route_answers_total", "counter");
  for (const auto& [name, route] : aStatistics.Routes()) {
    for (const auto& [status, count] : route.answers_) {
      aText << "latchslip_route_answers_total{route=\"" << name << "\",status=\"" << status
            << "\"} " << count << '\n';
    }
  }
  WriteType(aText, "route_refusals_total", "counter");
  for (const auto& [name, route] : aStatistics.Routes()) {
    WriteCounts(aText,
                "route_refusals_total",
                "route=\"" + name + "\",",
                "reason",
                kRefusalReasonNames,
                route.refusals_);
  }
  WriteType(aText, "route_latency_ms", "histogram");
  for (const auto& [name, route] : aStatistics.Routes()) {
    WriteHistogram(aText, "route_latency_ms", "route=\"" + name + "\",", route.latency_);
  }
}

void
WriteGroups(std::ostream& aText, const RequestStatistics& aStatistics)
{
  WriteType(aText, "group_requests_total", "counter");
  for (const auto& [name, group] : aStatistics.Groups()) {
    aText << "latchslip_group_requests_total{group=\"" << name << "\",end=\"passed\"} "
          << group.admitted_ << '\n';
    WriteCounts(aText,
                "group_requests_total",
                "group=\"" + name + "\",",
                "end",
                kRefusalReasonNames,
                group.rejected_);
  }
}

void
WriteServers(std::ostream& aText, const RequestStatistics& aStatistics)
{
  WriteType(aText, "server_sends_total", "counter");
  for (const auto& [name, server] : aStatistics.Servers()) {
    WriteCounts(
      aText, "server_sends_total", "server=\"" + name + "\",", "end", kAttemptEndNames, server);
  }
}

void
WritePermits(std::ostream& aText, const PermitStatistics& aPermits)
{
  const auto labelsOf = [](const std::string& aService) { return "service=\"" + aService + "\""; };
  WriteType(aText, "permit_first_answer_us", "histogram");
  for (const auto& [name, service] : aPermits.Services()) {
    WriteHistogram(aText, "permit_first_answer_us", labelsOf(name) + ",", service.firstAnswers_);
  }
  WriteType(aText, "permit_requests_unanswered_total", "counter");
  for (const auto& [name, service] : aPermits.Services()) {
    aText << "latchslip_permit_requests_unanswered_total{" << labelsOf(name) << "} "
          << service.unanswered_ << '\n';
  }
  WriteType(aText, "sends_without_permit_total", "counter");
  for (const auto& [name, service] : aPermits.Services()) {
    aText << "latchslip_sends_without_permit_total{" << labelsOf(name) << "} "
          << service.sendsWithoutPermit_ << '\n';
  }
}

void
WriteStoreCalls(std::ostream& aText, const StoreCallCounts& aCalls)
{
  WriteType(aText, "store_calls_total", "counter");
  for (std::size_t kind = 0; kind < aCalls.size(); ++kind) {
    for (std::size_t end = 0; end < aCalls.at(kind).size(); ++end) {
      aText << "latchslip_store_calls_total{kind=\"" << kStoreCallKindNames.names_.at(kind)
            << "\",end=\"" << kStoreCallEndNames.names_.at(end) << "\"} " << aCalls.at(kind).at(end)
            << '\n';
    }
  }
}

void
WriteReturns(std::ostream& aText, const ReturnCounts& aReturns)
{
  const std::pair<std::string_view, std::uint64_t> counts[] = {
    { "returns_promised_total", aReturns.promised_ },
    { "returns_kept_total", aReturns.kept_ },
    { "returns_denied_again_total", aReturns.deniedAgain_ },
    { "returns_expired_total", aReturns.expired_ },
  };
  for (const auto& [name, count] : counts) {
    WriteType(aText, name, "counter");
    aText << "latchslip_" << name << ' ' << count << '\n';
  }
}

void
WriteResponses(std::ostream& aText, const ResponseMonitor& aResponses)
{
  WriteType(aText, "other_responses_total", "counter");
  aText << "latchslip_other_responses_total " << aResponses.OtherResponses() << '\n';
  WriteType(aText, "response_excesses_total", "counter");
  WriteCounts(
    aText, "response_excesses_total", "", "excess", kResponseExcessNames, aResponses.Excesses());
}

} // namespace

void
GatewayMetrics::OnAnswer(unsigned aStatus, Duration aLatency)
{
  ++answers_[aStatus];
  latency_.Add(aLatency);
}

std::string
GatewayMetrics::Render(const LineLog& aLog,
                       const RequestStatistics& aStatistics,
                       const StoreCallCounts& aCalls,
                       const LoopMonitor& aLoop,
                       const ReturnCounts& aReturns,
                       const ResponseMonitor& aResponses,
                       const std::map<std::string, double>& aGauges) const
{
  std::ostringstream text;
  WriteType(text, "answers_total", "counter");
  for (const auto& [status, count] : answers_) {
    text << "latchslip_answers_total{status=\"" << status << "\"} " << count << '\n';
  }
  WriteType(text, "latency_ms", "histogram");
  WriteHistogram(text, "latency_ms", "", latency_);
  WriteRoutes(text, aStatistics);
  WriteGroups(text, aStatistics);
  WriteServers(text, aStatistics);
  WritePermits(text, aStatistics.Permits());
  WriteStoreCalls(text, aCalls);
  aLoop.Render(text);
  WriteReturns(text, aReturns);
  WriteResponses(text, aResponses);
  WriteType(text, "events_total", "counter");
  for (const auto& entry : AllEvents()) {
    if (const auto count = aLog.CountOf(entry.event_); count > 0) {
      text << "latchslip_events_total{event=\"" << entry.name_ << "\"} " << count << '\n';
    }
  }
  WriteType(text, "log_lines_dropped_total", "counter");
  text << "latchslip_log_lines_dropped_total " << aLog.Dropped() << '\n';
  for (const auto& [name, value] : aGauges) {
    WriteType(text, name, "gauge");
    text << "latchslip_" << name << ' ' << value << '\n';
  }
  return text.str();
}

} // namespace latchslip
