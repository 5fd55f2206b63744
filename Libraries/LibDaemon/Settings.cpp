#include "LibDaemon/Settings.h"

#include "LibNet/Address.h"
#include "LibNet/PeerProof.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/strings/escaping.h>

ABSL_FLAG(std::string, instance_name, "", "Name of this instance, as the platform's list has it.");
ABSL_FLAG(std::string, hall, "", "Data hall of this instance.");
ABSL_FLAG(std::string, caller_address, "", "Where callers are served, IP number and port.");
ABSL_FLAG(std::string,
          operator_address,
          "",
          "Where operators and metrics are served, IP number and port.");
ABSL_FLAG(std::string,
          peer_address,
          "",
          "Where other instances reach this one, IP number and port.");
ABSL_FLAG(std::string,
          platform_address,
          "",
          "The platform's table service and instance list, IP number and port.");
ABSL_FLAG(std::string,
          peer_secret_file,
          "",
          "File with the fleet's secret, unless LATCHSLIP_PEER_SECRET is set.");
ABSL_FLAG(std::string,
          operator_token_file,
          "",
          "File with the operators' token, unless LATCHSLIP_OPERATOR_TOKEN is set.");
ABSL_FLAG(int,
          heartbeat_interval_ms,
          200,
          "Between two heartbeats to the peers that watch this instance.");
ABSL_FLAG(int, silence_limit_ms, 400, "After this long a silence a watched peer is suspected.");
ABSL_FLAG(int,
          gone_after_ms,
          1000,
          "An instance absent from the platform's list for this long has stopped.");
ABSL_FLAG(int, grant_term_ms, 500, "How long a grant is valid on the server's clock.");
ABSL_FLAG(int, grant_renew_ms, 150, "Between two renewals of a grant.");
ABSL_FLAG(int, clock_margin_ms, 20, "Allowance for clocks of different rates over one term.");
ABSL_FLAG(int,
          view_bound_ms,
          3000,
          "A view unconfirmed for this long, with most peers unheard, is not served from.");
ABSL_FLAG(int, store_poll_ms, 1000, "Between two reads of the table service for newer rows.");
ABSL_FLAG(int, list_poll_ms, 500, "Between two reads of the platform's list of instances.");
ABSL_FLAG(int, report_interval_ms, 1000, "Between two load reports of a server to its placer.");
ABSL_FLAG(int, rebalance_interval_ms, 1000, "Between two rounds of evening out load.");
ABSL_FLAG(int,
          claim_writes_per_second,
          30,
          "Transactions that claims of request ids may use per second.");
ABSL_FLAG(int, max_header_bytes, 16384, "Largest header of a caller's request.");
ABSL_FLAG(int, max_body_bytes, 16777216, "Largest body of a caller's request.");
ABSL_FLAG(int, max_caller_connections, 1024, "Connections of callers at once.");
ABSL_FLAG(int,
          transfer_timeout_ms,
          20000,
          "For a request to arrive whole, and for its answer to be taken.");
ABSL_FLAG(int,
          idle_timeout_ms,
          60000,
          "How long a caller's connection may stay open without a request.");
ABSL_FLAG(int, max_in_flight, 4096, "Requests of callers in flight at once.");
ABSL_FLAG(int, max_parked_ms, 1000, "How long a request may wait for its key to find an owner.");
ABSL_FLAG(int,
          confirm_wait_ms,
          5000,
          "How long a confirmation waits for all instances to have it in force.");
ABSL_FLAG(int,
          drain_grace_ms,
          1000,
          "How long a leaving instance still takes connections, while the balancer learns of it.");
ABSL_FLAG(int,
          drain_timeout_ms,
          30000,
          "After this long a leaving instance stops even with work in flight.");
ABSL_FLAG(bool, check_settings, false, "Check the settings, say what is wrong, and exit.");

namespace latchslip {

namespace {

const std::vector<std::string>&
FlagNames()
{
  static const std::vector<std::string> kNames{
    "instance_name",          "hall",
    "caller_address",         "operator_address",
    "peer_address",           "platform_address",
    "peer_secret_file",       "operator_token_file",
    "heartbeat_interval_ms",  "silence_limit_ms",
    "gone_after_ms",          "grant_term_ms",
    "grant_renew_ms",         "clock_margin_ms",
    "view_bound_ms",          "store_poll_ms",
    "list_poll_ms",           "report_interval_ms",
    "rebalance_interval_ms",  "claim_writes_per_second",
    "max_header_bytes",       "max_body_bytes",
    "max_caller_connections", "transfer_timeout_ms",
    "idle_timeout_ms",        "max_in_flight",
    "max_parked_ms",          "confirm_wait_ms",
    "drain_grace_ms",         "drain_timeout_ms",
    "check_settings",
  };
  return kNames;
}

FieldResult<std::string>
RequireNonEmpty(std::string_view aFlag, const std::string& aValue)
{
  if (aValue.empty()) {
    return FieldError{ "--" + std::string(aFlag),
                       "must be set, here or by " + EnvironmentVariableOf(aFlag) };
  }
  return aValue;
}

FieldResult<std::string>
RequireAddress(std::string_view aFlag, const std::string& aValue)
{
  BOOST_OUTCOME_TRY(const auto text, RequireNonEmpty(aFlag, aValue));
  if (!ParseAddress(text)) {
    return FieldError{ "--" + std::string(aFlag),
                       "\"" + text + "\" is not an IP address and a port, such as 10.0.0.7:8080" };
  }
  return text;
}

FieldResult<int>
RequireInRange(std::string_view aFlag, int aValue, int aMin, int aMax)
{
  if (aValue < aMin || aValue > aMax) {
    return FieldError{ "--" + std::string(aFlag),
                       "is " + std::to_string(aValue) + " but must be from " +
                         std::to_string(aMin) + " to " + std::to_string(aMax) };
  }
  return aValue;
}

FieldResult<Duration>
RequireMilliseconds(std::string_view aFlag, int aValue, int aMin, int aMax)
{
  BOOST_OUTCOME_TRY(const auto value, RequireInRange(aFlag, aValue, aMin, aMax));
  return Duration(milliseconds(value));
}

FieldResult<void>
ReadIdentity(DaemonSettings& aSettings)
{
  BOOST_OUTCOME_TRY(aSettings.name_,
                    RequireNonEmpty("instance_name", absl::GetFlag(FLAGS_instance_name)));
  if (aSettings.name_.find('#') != std::string::npos) {
    return FieldError{ "--instance_name", "must not contain #" };
  }
  BOOST_OUTCOME_TRY(aSettings.hall_, RequireNonEmpty("hall", absl::GetFlag(FLAGS_hall)));
  BOOST_OUTCOME_TRY(aSettings.callerAddress_,
                    RequireAddress("caller_address", absl::GetFlag(FLAGS_caller_address)));
  BOOST_OUTCOME_TRY(aSettings.operatorAddress_,
                    RequireAddress("operator_address", absl::GetFlag(FLAGS_operator_address)));
  BOOST_OUTCOME_TRY(aSettings.peerAddress_,
                    RequireAddress("peer_address", absl::GetFlag(FLAGS_peer_address)));
  BOOST_OUTCOME_TRY(aSettings.platformAddress_,
                    RequireAddress("platform_address", absl::GetFlag(FLAGS_platform_address)));
  BOOST_OUTCOME_TRY(
    aSettings.peerSecret_,
    ReadSecret("LATCHSLIP_PEER_SECRET", "peer_secret_file", absl::GetFlag(FLAGS_peer_secret_file)));
  BOOST_OUTCOME_TRY(aSettings.operatorToken_,
                    ReadSecret("LATCHSLIP_OPERATOR_TOKEN",
                               "operator_token_file",
                               absl::GetFlag(FLAGS_operator_token_file)));
  // Random per process, so that peers can distinguish a restart from a pause.
  aSettings.incarnation_ = absl::BytesToHexString(MakeNonce().substr(0, 4));
  return outcome::success();
}

FieldResult<void>
ReadGrantTimings(InstanceTiming& aTiming)
{
  BOOST_OUTCOME_TRY(
    aTiming.heartbeatInterval_,
    RequireMilliseconds(
      "heartbeat_interval_ms", absl::GetFlag(FLAGS_heartbeat_interval_ms), 20, 5000));
  BOOST_OUTCOME_TRY(
    aTiming.membership_.silenceLimit_,
    RequireMilliseconds("silence_limit_ms", absl::GetFlag(FLAGS_silence_limit_ms), 50, 60000));
  BOOST_OUTCOME_TRY(
    aTiming.membership_.goneAfter_,
    RequireMilliseconds("gone_after_ms", absl::GetFlag(FLAGS_gone_after_ms), 0, 600000));
  BOOST_OUTCOME_TRY(
    aTiming.grant_.term_,
    RequireMilliseconds("grant_term_ms", absl::GetFlag(FLAGS_grant_term_ms), 100, 60000));
  BOOST_OUTCOME_TRY(
    aTiming.grant_.renewInterval_,
    RequireMilliseconds("grant_renew_ms", absl::GetFlag(FLAGS_grant_renew_ms), 20, 20000));
  BOOST_OUTCOME_TRY(
    aTiming.grant_.margin_,
    RequireMilliseconds("clock_margin_ms", absl::GetFlag(FLAGS_clock_margin_ms), 1, 10000));
  if (aTiming.grant_.renewInterval_ * 3 > aTiming.grant_.term_) {
    return FieldError{ "--grant_renew_ms", "must be at most a third of --grant_term_ms" };
  }
  if (aTiming.heartbeatInterval_ * 2 > aTiming.membership_.silenceLimit_) {
    return FieldError{ "--heartbeat_interval_ms", "must be at most half of --silence_limit_ms" };
  }
  aTiming.placer_.formerGrantTimeout_ = aTiming.grant_.term_ + aTiming.grant_.margin_ * 2;
  return outcome::success();
}

FieldResult<void>
ReadIntervals(InstanceTiming& aTiming)
{
  BOOST_OUTCOME_TRY(
    aTiming.maxViewAge_,
    RequireMilliseconds("view_bound_ms", absl::GetFlag(FLAGS_view_bound_ms), 500, 600000));
  BOOST_OUTCOME_TRY(
    aTiming.storePollInterval_,
    RequireMilliseconds("store_poll_ms", absl::GetFlag(FLAGS_store_poll_ms), 50, 60000));
  BOOST_OUTCOME_TRY(
    aTiming.reportInterval_,
    RequireMilliseconds("report_interval_ms", absl::GetFlag(FLAGS_report_interval_ms), 100, 60000));
  BOOST_OUTCOME_TRY(
    aTiming.placer_.rebalanceInterval_,
    RequireMilliseconds(
      "rebalance_interval_ms", absl::GetFlag(FLAGS_rebalance_interval_ms), 100, 600000));
  BOOST_OUTCOME_TRY(
    const auto claims,
    RequireInRange(
      "claim_writes_per_second", absl::GetFlag(FLAGS_claim_writes_per_second), 1, 1000));
  aTiming.claim_.rate_ = claims;
  BOOST_OUTCOME_TRY(
    aTiming.maxParkedTime_,
    RequireMilliseconds("max_parked_ms", absl::GetFlag(FLAGS_max_parked_ms), 0, 60000));
  BOOST_OUTCOME_TRY(
    aTiming.confirmTimeout_,
    RequireMilliseconds("confirm_wait_ms", absl::GetFlag(FLAGS_confirm_wait_ms), 100, 60000));
  BOOST_OUTCOME_TRY(
    const auto inFlight,
    RequireInRange("max_in_flight", absl::GetFlag(FLAGS_max_in_flight), 1, 1000000));
  aTiming.maxInFlight_ = static_cast<std::size_t>(inFlight);
  return outcome::success();
}

FieldResult<void>
ReadLimits(DaemonSettings& aSettings)
{
  auto& limits = aSettings.callerLimits_;
  BOOST_OUTCOME_TRY(
    const auto header,
    RequireInRange("max_header_bytes", absl::GetFlag(FLAGS_max_header_bytes), 1024, 1048576));
  BOOST_OUTCOME_TRY(
    const auto body,
    RequireInRange("max_body_bytes", absl::GetFlag(FLAGS_max_body_bytes), 0, 33554432));
  BOOST_OUTCOME_TRY(
    const auto connections,
    RequireInRange(
      "max_caller_connections", absl::GetFlag(FLAGS_max_caller_connections), 1, 100000));
  limits.headerBytes_ = static_cast<std::size_t>(header);
  limits.bodyBytes_ = static_cast<std::size_t>(body);
  limits.connections_ = static_cast<std::size_t>(connections);
  BOOST_OUTCOME_TRY(
    limits.transfer_,
    RequireMilliseconds(
      "transfer_timeout_ms", absl::GetFlag(FLAGS_transfer_timeout_ms), 100, 600000));
  BOOST_OUTCOME_TRY(
    limits.idle_,
    RequireMilliseconds("idle_timeout_ms", absl::GetFlag(FLAGS_idle_timeout_ms), 100, 3600000));
  BOOST_OUTCOME_TRY(
    aSettings.listPoll_,
    RequireMilliseconds("list_poll_ms", absl::GetFlag(FLAGS_list_poll_ms), 50, 60000));
  BOOST_OUTCOME_TRY(
    aSettings.drainGrace_,
    RequireMilliseconds("drain_grace_ms", absl::GetFlag(FLAGS_drain_grace_ms), 0, 600000));
  BOOST_OUTCOME_TRY(
    aSettings.drainTimeout_,
    RequireMilliseconds("drain_timeout_ms", absl::GetFlag(FLAGS_drain_timeout_ms), 100, 3600000));
  return outcome::success();
}

} // namespace

std::vector<SettingEntry>
ListDaemonSettings()
{
  std::vector<SettingEntry> entries;
  for (const auto& name : FlagNames()) {
    const auto* flag = absl::FindCommandLineFlag(name);
    entries.push_back({ name, EnvironmentVariableOf(name), flag->DefaultValue(), flag->Help() });
  }
  return entries;
}

FieldResult<DaemonSettings>
ReadDaemonSettings(int aCount, char** aArguments)
{
  BOOST_OUTCOME_TRY(ApplyEnvironment(FlagNames()));
  const auto rest = absl::ParseCommandLine(aCount, aArguments);
  if (rest.size() > 1) {
    return FieldError{ rest[1], "is not a flag; latchslipd takes no other arguments" };
  }
  DaemonSettings settings;
  BOOST_OUTCOME_TRY(ReadIdentity(settings));
  BOOST_OUTCOME_TRY(ReadGrantTimings(settings.timing_));
  BOOST_OUTCOME_TRY(ReadIntervals(settings.timing_));
  BOOST_OUTCOME_TRY(ReadLimits(settings));
  settings.isCheckOnly_ = absl::GetFlag(FLAGS_check_settings);
  return settings;
}

} // namespace latchslip
