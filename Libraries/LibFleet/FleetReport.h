#pragma once

#include "LibBase/Result.h"
#include "LibFleet/ConfigurationProof.h"
#include "LibFleet/FleetRoster.h"
#include "LibFleet/FleetStore.h"
#include "LibGateway/ServerWork.h"
#include "LibKeys/KeyLoad.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace latchslip {

// A periodic report of an instance to the placer; it serves as a heartbeat as well.
struct InstanceReport
{
  std::string instance_;
  // Peer address of the sender, IP address and port.
  std::string address_;
  // Requests for each key of each keyed service since the last report, by service.
  std::map<std::string, std::vector<KeyCount>> keyCounts_;
  // Work that the servers of keyed services did for this instance since the last report, by server.
  std::map<std::string, ServerWork> work_;
  // Number of processors available to the sender, possibly a fraction; 0 if not stated.
  double processorShare_ = 0;
  // Rate of the sender's network link in Mbit/s; 0 if not stated.
  double linkMbps_ = 0;
  // Data hall of the sender.
  std::string hall_;
  // Digest of the sender's roster, so that the response can carry only the difference.
  std::uint64_t rosterDigest_ = 0;
  // The sender has started and needs the configuration and the server records.
  bool lacksTables_ = false;
};

// The placer's response to a report.
struct ReportAnswer
{
  // Whether the responder is the placer and reaches the store.
  bool isWorking_ = false;
  // Changes of the roster since the one whose digest the report named.
  RosterChange roster_;
  // Version of the last change of each table that the placer has.
  TableVersions lastChanges_{};
  // The highest duty capacity of all instances, in processors; 0 if not stated.
  double highestCapacity_ = 0;
  // Proof that the placer's configuration is the latest; no value if it never had one.
  std::optional<ConfigurationProof> proof_{};
};

std::string
SerializeReport(const InstanceReport& aReport);
FieldResult<InstanceReport>
ParseReport(std::string_view aText);

std::string
SerializeReportAnswer(const ReportAnswer& aAnswer);
FieldResult<ReportAnswer>
ParseReportAnswer(std::string_view aText);

} // namespace latchslip
