#pragma once

#include "LibBase/Event.h"
#include "LibFleet/FleetReport.h"
#include "LibFleet/PlacerElection.h"
#include "LibFleet/RowMirror.h"
#include "LibGateway/RoutingTable.h"
#include "LibGateway/ServerDirectory.h"
#include "LibKeys/OwnershipPlacer.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace latchslip {

// Turns the text of rows that others write into types.
class RowDecoder
{
public:
  virtual ~RowDecoder() = default;

  // No value for rows of that table that hold no configuration.
  virtual FieldResult<std::optional<RoutingConfiguration>> DecodeConfiguration(
    const Row& aRow) const = 0;
  virtual FieldResult<ServerRecord> DecodeServer(const Row& aRow) const = 0;
};

// Carries out what a member of the fleet decides, and hears what it learns.
class FleetActions
{
public:
  virtual ~FleetActions() = default;

  // The answer goes to OnTransactEnded.
  virtual void Transact(const Transaction& aTransaction) = 0;
  // The answer goes to OnOrderEnded.
  virtual void Order(const std::string& aService, const KeyOrder& aOrder) = 0;
  // The answer goes to OnReportAnswered.
  virtual void SendReport(const std::string& aAddress, const InstanceReport& aReport) = 0;
  // Gives another instance views that it has not asked for.
  virtual void SendViews(const std::string& aAddress, const std::vector<TableView>& aViews) = 0;
  // The answer, if any, goes to OnViewsReceived.
  virtual void FetchViews(const std::string& aAddress, const TableVersions& aVersions) = 0;

  virtual void OnRoutes(std::shared_ptr<const RouteTable> aRoutes) = 0;
  virtual void OnDirectoryChanged() = 0;
  virtual void OnOwnership(const KeyOwnership& aOwnership) = 0;
  virtual void OnInstances(std::size_t aCount) = 0;
  // What this instance knows of a server's latency; zero for nothing.
  virtual Duration LatencyOf(const std::string& aServer) const = 0;
};

struct FleetMemberSettings
{
  PlacerRow self_;
  // Addresses where other instances may be found at the start.
  std::vector<std::string> seeds_;
  OwnershipPlacerSettings placer_;
  std::uint32_t seed_ = 1;
};

// One instance's part in the fleet: follows the store's tables, directly or by
// way of other instances, tells the placer what it sees, and is the placer when
// the row says so. It does no I/O.
class FleetMember
{
public:
  FleetMember(FleetMemberSettings aSettings,
              const RowDecoder& aDecoder,
              FleetActions& aActions,
              EventSink& aEvents);
  ~FleetMember();

  void OnView(Instant aNow, const TableView& aView);
  void OnStoreLost(Instant aNow);
  void OnStoreRegained(Instant aNow);
  // Any answer of the store.
  void OnStoreHeard(Instant aNow) { storeHeardAt_ = aNow; }
  void OnTransactEnded(Instant aNow, const StoreReply& aReply);
  void OnOrderEnded(Instant aNow,
                    const std::string& aService,
                    OrderNumber aOrder,
                    const OrderOutcome& aOutcome);
  ReportAnswer OnReport(Instant aNow, const InstanceReport& aReport);
  void OnReportAnswered(Instant aNow, const std::optional<ReportAnswer>& aAnswer);
  // What another instance is told that has these versions.
  std::vector<TableView> ViewsSince(const TableVersions& aVersions) const;
  // Views from another instance, asked for or not.
  void OnViewsReceived(Instant aNow, const std::vector<TableView>& aViews);
  void CountKey(const std::string& aService, KeyNumber aKey);
  void OnTime(Instant aNow);

  const ServerDirectory& Directory() const { return directory_; }
  bool IsPlacer() const { return election_.IsPlacer(); }
  bool IsStoreLost() const { return isStoreLost_; }
  // Whether enough is known to serve.
  bool IsReady() const { return routes_ && mirror_.IsKnown(FleetTable::Servers); }

private:
  class ServicePlacer;

  struct WaitingWrite
  {
    // Empty for a claim of the placer's row.
    std::string service_;
    Transaction transaction_;
    std::string value_;
    bool isUnderWay_ = false;
    Instant retryAt_ = Instant::min();
  };

  void Apply(Instant aNow, const TableView& aView);
  void OnConfigurationRow(const RowChange& aChange);
  void OnServerRow(Instant aNow, const RowChange& aChange);
  void OnFleetRow(Instant aNow, const Row& aRow);
  void OnPlacerRow(Instant aNow, const Row& aRow);
  void OnOwnershipRow(const Row& aRow);
  RowVersion VersionOf(const std::string& aKey) const;
  void Learn(const Row& aRow);
  void Claim();
  void OnClaimed(Instant aNow);
  void StartPlacers(Instant aNow);
  void StopPlacers();
  void QueueWrite(const std::string& aService, const KeyOwnership& aOwnership);
  void SendWrites(Instant aNow);
  void OnWriteDone(Instant aNow, const WaitingWrite& aWrite, const StoreReply& aReply);
  void OnWriteConflict(Instant aNow, const WaitingWrite& aWrite, const StoreReply& aReply);
  void RunPlacers(Instant aNow);
  std::vector<KeyServer> KeyServersOf(const std::string& aService) const;
  void LearnLatencies(const std::map<std::string, Duration>& aLatencies);
  InstanceReport TakeReport();
  void Report(Instant aNow);
  void FetchFromPeers(Instant aNow);
  void FetchFrom(const std::string& aAddress);
  RowVersion FleetVersion() const;
  TableView FleetView() const;
  void Spread();
  std::vector<std::string> KeyedServices() const;

  FleetMemberSettings settings_;
  const RowDecoder& decoder_;
  FleetActions& actions_;
  EventSink& events_;
  RowMirror mirror_;
  ServerDirectory directory_;
  PlacerElection election_;
  std::shared_ptr<const RouteTable> routes_;
  // The newest known state of each fleet row, own writes included.
  std::map<std::string, Row> fleetRows_;
  std::map<std::string, std::unique_ptr<ServicePlacer>> placers_;
  std::vector<WaitingWrite> writes_;
  std::map<std::string, KeyCounter> counters_;
  std::map<std::string, Duration> latencies_;
  // When each other instance reported last, by its address.
  std::map<std::string, Instant> heardInstances_;
  std::vector<std::string> instances_;
  bool isStoreLost_ = false;
  Instant storeHeardAt_{ 0 };
  Instant nextReport_ = Instant::min();
  Instant nextFetch_ = Instant::min();
  std::minstd_rand random_;
};

} // namespace latchslip
