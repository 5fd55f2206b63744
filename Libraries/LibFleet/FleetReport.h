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

// What an instance tells the placer once a second.
struct InstanceReport
{
  std::string instance_;
  // Where the other instances reach it.
  std::string address_;
  // How often each key of each keyed service was asked for since the last report.
  std::map<std::string, std::vector<KeyCount>> keyCounts_;
  // What the servers of keyed services did for this instance since the last report.
  std::map<std::string, ServerWork> work_;
  // What part of a processor this instance has; 0 when it is not told.
  double processorShare_ = 0;
  // Its data hall.
  std::string hall_;
  // Which instances it knows of, by the digest of its roster.
  std::uint64_t rosterDigest_ = 0;
  // It has started and must be told the configuration and the servers.
  bool lacksTables_ = false;
};

// What the placer answers.
struct ReportAnswer
{
  // Whether it is the placer and reaches the store.
  bool isWorking_ = false;
  // Of the instances that it has heard lately, itself included, those that the reporter
  // does not know of.
  RosterChange roster_;
  // The last change of each table that it knows.
  TableVersions lastChanges_{};
  // The largest part of a processor that any of them has; 0 when it is not told.
  double strongestShare_ = 0;
  // How lately it knew that its configuration was the latest; no value when it never did.
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
