#pragma once

#include "../CountingEventSink.h"
#include "LibFleet/FleetMember.h"

#include <gtest/gtest.h>
#include <string>
#include <utility>
#include <vector>

namespace latchslip {

// Decodes rows of a minimal format: the version number for a configuration with one keyed service;
// "leaving", "ready", "broken", the number of its incarnation, or "at:" and an address for a
// server, which otherwise has an address of its own.
class MinimalDecoder : public RowDecoder
{
public:
  FieldResult<std::optional<RoutingConfiguration>> DecodeConfiguration(
    const Row& aRow) const override
  {
    if (aRow.value_ == "broken") {
      return FieldError{ "configuration", "is broken" };
    }
    RoutingConfiguration configuration;
    configuration.version_ = std::stoull(aRow.value_);
    configuration.services_ = { { "rates", 100, true } };
    configuration.groups_ = groups_;
    if (hasLargeBodies_) {
      Route route;
      route.host_ = "a.example";
      route.pathPrefix_ = "/rates/";
      route.targets_ = { { "rates", 1 } };
      route.hasLargeBodies_ = true;
      configuration.routes_.push_back(route);
    }
    return std::optional(configuration);
  }

  FieldResult<ServerRecord> DecodeServer(const Row& aRow) const override
  {
    if (aRow.value_ == "broken") {
      return FieldError{ "server", "is broken" };
    }
    ServerRecord record{ aRow.key_,    "rates", aRow.key_ + ":80",
                         "hall",       4,       aRow.value_ == "leaving",
                         aRow.version_ };
    if (aRow.value_.starts_with("at:")) {
      record.address_ = aRow.value_.substr(3);
      return record;
    }
    const bool hasIncarnation = aRow.value_.find_first_not_of("0123456789") == std::string::npos;
    record.incarnation_ = hasIncarnation ? std::stoull(aRow.value_) : 0;
    return record;
  }

  std::optional<std::string> DecodeDrainedHall(std::string_view aKey) const override
  {
    constexpr std::string_view kPrefix = "drain/";
    return aKey.starts_with(kPrefix) ? std::optional<std::string>(aKey.substr(kPrefix.size()))
                                     : std::nullopt;
  }

  // The groups in each decoded configuration.
  std::vector<CallerGroup> groups_;
  // Each decoded configuration has a route for large bodies, which turns load management on.
  bool hasLargeBodies_ = false;
};

// Records the actions that a member requests.
class RecordingFleetActions
  : public FleetActions
  , private LoopTaskObserver
{
public:
  void Transact(const Transaction& aTransaction) override { transactions_.push_back(aTransaction); }
  void SetPollMode(StorePollMode aMode, const TableVersions& aKnown) override
  {
    pollMode_ = aMode;
    hasSetPollMode_ = true;
    hasPolledWithLongWaits_ = hasPolledWithLongWaits_ || aMode == StorePollMode::LongWaits;
    pollFrom_ = aKnown;
  }
  void SendCommand(const std::string&, const KeyCommand& aCommand) override
  {
    commands_.push_back(aCommand);
  }
  void SendReport(const std::string& aAddress, const InstanceReport& aReport) override
  {
    reports_.push_back(aAddress);
    lastReport_ = aReport;
  }
  void SendUpdate(const std::vector<UpdateBranch>& aBranches, const FleetUpdate& aUpdate) override
  {
    for (const auto& branch : aBranches) {
      updates_.emplace_back(branch.to_, aUpdate);
      for (const auto& address : branch.forwardTo_) {
        updates_.emplace_back(address, aUpdate);
      }
    }
  }
  void FetchUpdate(const std::string& aAddress, const TableVersions&) override
  {
    fetches_.push_back(aAddress);
  }
  void ReadConfigurationVersion() override { ++configurationReads_; }
  void SendUsage(const std::string& aAddress, const UsageReport& aReport) override
  {
    usages_.emplace_back(aAddress, aReport);
  }
  void OnApiKeysProven(Instant aUntil) override { apiKeysUntil_ = aUntil; }
  void OnRoutes(std::shared_ptr<const RouteTable> aRoutes) override
  {
    versions_.push_back(aRoutes->Configuration().version_);
  }
  void OnDirectoryChanged() override { ++directoryChanges_; }
  void OnOwnership(const KeyOwnership& aOwnership) override { ownership_ = aOwnership; }
  void OnStalenessChanged(bool aIsStale) override { isStale_ = aIsStale; }
  void OnInstances(const std::map<std::string, FleetPeer>& aPeers) override
  {
    instances_ = aPeers.size();
  }
  ServerWork TakeWorkOf(const std::string&) override { return { 1, milliseconds(20) }; }
  LoopTaskObserver& TaskObserver() override { return *this; }

  std::vector<Transaction> transactions_;
  StorePollMode pollMode_ = StorePollMode::LongWaits;
  TableVersions pollFrom_{};
  std::vector<KeyCommand> commands_;
  std::vector<std::string> reports_;
  InstanceReport lastReport_;
  bool hasSetPollMode_ = false;
  bool hasPolledWithLongWaits_ = false;
  std::vector<std::pair<std::string, FleetUpdate>> updates_;
  std::vector<std::string> fetches_;
  int configurationReads_ = 0;
  std::vector<std::pair<std::string, UsageReport>> usages_;
  std::optional<Instant> apiKeysUntil_;
  std::vector<std::uint64_t> versions_;
  int directoryChanges_ = 0;
  std::optional<KeyOwnership> ownership_;
  std::size_t instances_ = 0;
  bool isStale_ = false;

private:
  void OnTaskBegun(LoopTask) override {}
  void OnTaskEnded() override {}
};

inline constexpr const char* kSelf = "10.0.0.1:9";
inline constexpr const char* kOther = "10.0.0.2:9";
inline const RosterChange kBoth{ true, { { kSelf, "hall", 1 }, { kOther, "hall", 1 } }, {} };

// The outcome of a command that reached its server in the session that all of them share.
inline CommandOutcome
EndedAs(CommandStatus aStatus)
{
  CommandOutcome outcome;
  outcome.end_ = aStatus;
  outcome.session_ = 1;
  return outcome;
}

inline InstanceReport
ReportOf(const std::string& aInstance, const std::string& aAddress)
{
  InstanceReport report;
  report.instance_ = aInstance;
  report.address_ = aAddress;
  report.hall_ = "hall";
  return report;
}

// A fleet member with a simulated clock. The test passes it the store's tables and checks the
// recorded actions.
class FleetMemberTest : public testing::Test
{
protected:
  explicit FleetMemberTest(std::optional<Duration> aApiKeyBound = std::nullopt)
    : apiKeyBound_(aApiKeyBound)
  {
  }

  void Show(FleetTable aTable, RowVersion aVersion, std::vector<Row> aRows)
  {
    TableView view{ aTable, aVersion, true, 0, {} };
    for (auto& row : aRows) {
      view.rows_.push_back({ std::move(row), false });
    }
    member_.OnView(now_, view);
  }

  void ShowTables()
  {
    Show(FleetTable::Configuration, 5, { { "config", 5, "1" } });
    Show(FleetTable::Servers, 6, { { "s1", 2, "ready" }, { "s2", 3, "ready" } });
  }

  static std::string Placer(const std::string& aInstance,
                            const std::string& aAddress,
                            const std::string& aRun = "run1")
  {
    return SerializePlacerRow({ aInstance, aRun, aAddress });
  }

  void Advance(Duration aTime)
  {
    const auto end = now_ + aTime;
    while (now_ < end) {
      now_ += milliseconds(50);
      member_.OnTime(now_);
    }
  }

  void AnswerReports(Duration aTime, const TableVersions& aVersions)
  {
    const auto end = now_ + aTime;
    while (now_ < end) {
      const auto sent = fleet_.reports_.size();
      Advance(milliseconds(50));
      if (fleet_.reports_.size() > sent) {
        member_.OnReportAnswered(now_, ReportAnswer{ true, kBoth, aVersions });
      }
    }
  }

  void BecomePlacer()
  {
    ShowTables();
    Show(FleetTable::Fleet, 7, {});
    Advance(milliseconds(600));
    ASSERT_EQ(fleet_.transactions_.size(), 1U);
    Acknowledge(10);
    ASSERT_TRUE(member_.IsPlacer());
  }

  // Acknowledges the last transaction as version aVersion.
  void Acknowledge(RowVersion aVersion)
  {
    const auto& write = fleet_.transactions_.back().writes_.front();
    member_.OnTransactEnded(now_,
                            { StoreStatus::Done, { { write.key_, aVersion, write.value_ } } });
  }

  std::optional<Duration> apiKeyBound_;
  Instant now_ = seconds(100);
  CountingEventSink events_;
  MinimalDecoder decoder_;
  RecordingFleetActions fleet_;
  FleetMember member_{
    { { "i1", "run2", kSelf }, { "10.0.0.3:9" }, 1, {}, 1, "hall", apiKeyBound_ },
    decoder_,
    fleet_,
    events_
  };
};

} // namespace latchslip
