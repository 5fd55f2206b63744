#pragma once

#include "LibBase/Event.h"
#include "LibBase/LoopTask.h"
#include "LibFleet/ConfigurationProof.h"
#include "LibFleet/FleetReport.h"
#include "LibFleet/FleetView.h"
#include "LibFleet/PlacerElection.h"
#include "LibFleet/PlacerMonitor.h"
#include "LibFleet/ReaderPoller.h"
#include "LibFleet/ServerSpeeds.h"
#include "LibFleet/StartupDeadline.h"
#include "LibFleet/UpdateCache.h"
#include "LibKeys/OwnershipPlacer.h"
#include "LibLimit/LimitCoordinator.h"
#include "LibLimit/LimitEnforcer.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace latchslip {

// The side effects that a FleetMember requests: calls to the store, to other instances and to
// servers, and notifications to the gateway of this instance.
class FleetActions
{
public:
  virtual ~FleetActions() = default;

  // Sends a transaction to the store; the result is passed to OnTransactEnded.
  virtual void Transact(const Transaction& aTransaction) = 0;
  // Changes how the store's tables are polled; aKnown holds the version of each table that this
  // instance has.
  virtual void SetPollMode(StorePollMode aMode, const TableVersions& aKnown) = 0;
  // Sends a key command to a server; the result is passed to OnCommandEnded.
  virtual void SendCommand(const std::string& aService, const KeyCommand& aCommand) = 0;
  // Sends a report to the placer at aAddress; the result is passed to OnReportAnswered.
  virtual void SendReport(const std::string& aAddress, const InstanceReport& aReport) = 0;
  // Pushes an update to other instances along the branches of an update tree.
  virtual void SendUpdate(const std::vector<UpdateBranch>& aBranches,
                          const FleetUpdate& aUpdate) = 0;
  // Requests everything newer than aVersions from the instance at aAddress; the result is passed to
  // OnUpdateFetched.
  virtual void FetchUpdate(const std::string& aAddress, const TableVersions& aVersions) = 0;
  // Reads the version of the configuration from the store; the result is passed to
  // OnConfigurationRead.
  virtual void ReadConfigurationVersion() = 0;
  // Sends this instance's usage of the groups' limits to the limit coordinator; the result is
  // passed to OnUsageAnswered.
  virtual void SendUsage(const std::string& aAddress, const UsageReport& aReport) = 0;

  // A new configuration is in force.
  virtual void OnRoutes(std::shared_ptr<const RouteTable> aRoutes) = 0;
  // Server records were added, changed or removed.
  virtual void OnDirectoryChanged() = 0;
  // The owners of a service's keys changed.
  virtual void OnOwnership(const KeyOwnership& aOwnership) = 0;
  // API keys of the current routes may be accepted until aUntil; called whenever that time changes.
  virtual void OnApiKeysProven(Instant aUntil) = 0;
  // The instances of the fleet, by address; called on every change of the roster.
  virtual void OnInstances(const std::map<std::string, FleetPeer>& aPeers) = 0;
  // Called when the data becomes stale, which means that neither the store nor the placer can be
  // reached, and when it no longer is.
  virtual void OnStalenessChanged(bool aIsStale) = 0;
  // Returns and resets the counters of the work that aServer did for this instance.
  virtual ServerWork TakeWorkOf(const std::string& aServer) = 0;
  // Told of the tasks that hold the event loop.
  virtual LoopTaskObserver& TaskObserver() = 0;
};

// Static parameters of a FleetMember.
struct FleetMemberSettings
{
  // The contents of the placer row while this instance is the placer.
  PlacerRow self_;
  // Peer addresses to contact at startup, as long as no roster is known.
  std::vector<std::string> seeds_;
  // Number of processors available to this instance, possibly a fraction. Instances with more of
  // them are preferred as placer.
  double processorShare_ = 1;
  OwnershipPlacerSettings placer_;
  std::uint32_t seed_ = 1;
  // The data hall of this instance.
  std::string hall_;
  // A revoked API key is rejected at the latest this long after the store accepted the
  // configuration that revokes it, whatever can be reached meanwhile; no value if there is no such
  // guarantee.
  std::optional<Duration> apiKeyBound_{};
  // Window over which the requests of a group are counted against its limit.
  Duration limitWindow_ = seconds(5);
  // Rate of the network link of this instance in Mbit/s; 0 if not stated.
  double linkMbps_ = 0;
};

// The control plane of one instance. One instance of the fleet is the placer, elected through a row
// in the store (see PlacerElection). It polls the store's tables closely, pushes changes to the
// others, places keys on servers and coordinates the groups' limits. The other instances report to
// the placer, and poll the store themselves only while they cannot rely on the placer for updates.
// In a large fleet two instances of each data hall, the readers, poll the store on behalf of their
// hall. It does no I/O: FleetActions carries out its decisions.
class FleetMember : private FleetViewListener
{
public:
  FleetMember(FleetMemberSettings aSettings,
              const RowDecoder& aDecoder,
              FleetActions& aActions,
              EventSink& aEvents);
  ~FleetMember() override;

  // The store returned a table or the changes of one.
  void OnView(Instant aNow, const TableView& aView);
  // Calls to the store fail from now on.
  void OnStoreLost(Instant aNow);
  // The store answers again.
  void OnStoreRegained(Instant aNow);
  // Result of FleetActions::Transact. Transactions are sent one at a time.
  void OnTransactEnded(Instant aNow, const StoreReply& aReply);
  // Result of FleetActions::SendCommand.
  void OnCommandEnded(Instant aNow,
                      const std::string& aService,
                      CommandNumber aCommand,
                      const CommandOutcome& aOutcome);
  // A response of that incarnation of a server announced that the server is about to shut down.
  void OnServerReportedLeaving(Instant aNow,
                               const std::string& aServer,
                               std::uint64_t aIncarnation);
  // Handles a report of another instance and returns the response to it.
  ReportAnswer OnReport(Instant aNow, const InstanceReport& aReport);
  // Result of FleetActions::SendReport; no value if no response arrived. aRoundTrip is the time
  // from sending the report to the response.
  void OnReportAnswered(Instant aNow,
                        const std::optional<ReportAnswer>& aAnswer,
                        Duration aRoundTrip = Duration(0));
  // Returns everything newer than aVersions, for an instance that has those.
  FleetUpdate UpdateSince(Instant aNow, const TableVersions& aVersions) const;
  // Identifies the tables in the result of UpdateSince.
  UpdateKey KeyOfUpdateSince(const TableVersions& aVersions) const;
  // Handles an update pushed by another instance.
  void OnUpdate(Instant aNow, const FleetUpdate& aUpdate);
  // Result of FleetActions::FetchUpdate; no value if no response arrived. aFrom is the address that
  // was asked, aRoundTrip the time from the request to the response.
  void OnUpdateFetched(Instant aNow,
                       const std::optional<FleetUpdate>& aUpdate,
                       Duration aRoundTrip = Duration(0),
                       const std::string& aFrom = {});
  // Result of FleetActions::ReadConfigurationVersion; no value if the store did not answer.
  // aRequestedAt is the time at which the read was sent.
  void OnConfigurationRead(Instant aNow, Instant aRequestedAt, std::optional<RowVersion> aVersion);
  // Handles another instance's usage of the groups' limits and returns the admitted shares of those
  // groups. No value if this instance is not the placer, which is the limit coordinator.
  std::optional<AdmittedShares> OnUsage(Instant aNow, const UsageReport& aReport);
  // Result of FleetActions::SendUsage; no value if no response arrived.
  void OnUsageAnswered(Instant aNow, const std::optional<AdmittedShares>& aParts);
  // Counts a request for a key of a keyed service, for the load reports.
  void CountKey(const std::string& aService, KeyNumber aKey);
  // Runs all periodic work; the caller calls it every few tens of milliseconds.
  void OnTime(Instant aNow);

  const ServerDirectory& Directory() const { return view_.Directory(); }
  bool IsPlacer() const { return election_.IsPlacer(); }
  // Whether the routes and the servers are known.
  bool IsReady() const { return view_.Routes() && view_.IsKnown(FleetTable::Servers); }
  // Whether callers may be sent to this instance: it is ready, and if the routes have groups, API
  // keys can be accepted.
  bool IsServing(Instant aNow) const;
  // Admission control by the groups' limits.
  GroupAdmission& GroupLimits() { return limits_; }

private:
  class ServicePlacer;

  // A pending write to the store. Writes are sent strictly one after the other.
  struct PendingWrite
  {
    // The owners that the write stores; no value for the other rows.
    std::optional<KeyOwnership> ownership_;
    // The owners that the write replaces; no value if there were none.
    std::optional<FleetView::OwnedService> former_;
    Transaction transaction_;
    bool isInFlight_ = false;
    // This instance lost the placer role after the write was sent; its result is ignored.
    bool isAbandoned_ = false;
    Instant retryAt_ = Instant::min();

    const std::string& Key() const { return transaction_.writes_.front().key_; }
  };

  // The address of that incarnation of a server answered a command as another one.
  void OnServerEnded(const std::string& aServer, std::uint64_t aIncarnation);

  // FleetViewListener.
  void OnRoutes(Instant aNow, std::shared_ptr<const RouteTable> aRoutes) override;
  void OnDirectoryChanged() override;
  void OnOwnership(const KeyOwnership& aOwnership) override { actions_.OnOwnership(aOwnership); }
  void OnPlacer(Instant aNow, const std::optional<PlacerRow>& aPlacer) override;

  // Applies the poll mode that SelectPollMode returns.
  void UpdatePollMode(Instant aNow);
  // Decides how this instance polls the store at present.
  StorePollMode SelectPollMode(Instant aNow);
  // Whether this instance polls the store for the configuration although the placer sends updates:
  // it is a reader, or the fleet is too small to have readers.
  bool PollsConfiguration(Instant aNow) const;
  // Whether readers poll the store on behalf of this instance.
  bool DependsOnReaders() const;
  FleetPeer SelfAsPeer() const;
  // Whether this instance reaches the store, as others are told.
  StoreReachability Reachability() const;
  // Pushes an update to the instances of this instance's data hall.
  void SendUpdateToHall(const FleetUpdate& aUpdate);
  // Requests updates from a reader while the placer cannot be relied on.
  void RequestFromReader(Instant aNow);
  // Reports a change of whether this instance's data is stale.
  void ReportStaleness(Instant aNow);
  // Requests updates from a random instance while the store is out of reach.
  void FetchFromPeers(Instant aNow);

  // Freshness of the configuration; see the comment in FleetMemberConfiguration.cpp.

  // Whether API keys are accepted only while the configuration is proven to be the latest.
  bool NeedsProofs() const;
  // Whether this instance reads proofs from the store itself.
  bool ReadsProofs() const;
  // Reads a proof when one is due, and brings the next report forward when the last proof is about
  // to expire.
  void RenewProof(Instant aNow);
  // Handles a proof received from another instance, aRoundTrip after it was requested.
  void OnProofReceived(Instant aNow,
                       const std::optional<ConfigurationProof>& aProof,
                       Duration aRoundTrip);
  // Records that at aAsOf the store held no configuration later than aVersion.
  void AddProof(Instant aNow, Instant aAsOf, RowVersion aVersion);
  // Reports a change of the time until which API keys may be accepted.
  void PublishProof(Instant aNow);

  // The groups' limits; see FleetMemberLimits.cpp.

  // Reports usage to the limit coordinator when due; on the placer, broadcasts the admitted shares.
  void UpdateLimits(Instant aNow);
  // Starts with an empty limit coordinator after this instance became the placer.
  void StartLimitCoordinator(Instant aNow);

  // The placer role; see FleetMemberPlacer.cpp.

  // Queues a write that makes this instance the placer.
  void ClaimPlacerRole();
  // Creates the placers of keyed services that have none yet.
  void StartPlacers(Instant aNow);
  // Drops all placers and queued writes after the placer role was lost.
  void StopPlacers();
  // Runs the placers that are due, as long as MaySendCommands.
  void RunPlacers(Instant aNow);
  // Queues a write of a service's key owners.
  void QueueWrite(const KeyOwnership& aOwnership);
  // Stores the fleet's size class once it is known and differs from the stored one.
  void StoreFleetSize(Instant aNow);
  // Sends the first queued write unless one is in flight or its retry delay has not passed.
  void SendWrites(Instant aNow);
  void OnClaimed(Instant aNow, const Row& aRow);
  void OnOwnershipWritten(Instant aNow, RowVersion aVersion, const PendingWrite& aWrite);
  void OnWriteDone(Instant aNow, const PendingWrite& aWrite, const StoreReply& aReply);
  void OnWriteConflict(Instant aNow, const PendingWrite& aWrite, const StoreReply& aReply);
  // The servers of a service with their weights for key placement.
  std::vector<KeyServer> KeyServersOf(Instant aNow, const std::string& aService) const;
  // Median service time of a service's servers; no value when none is known.
  std::optional<Duration> MedianServiceTimeOf(const std::string& aService) const;
  // Speed of a server relative to the median of its service, clamped to a factor of kMaxSpeedFactor
  // in both directions.
  double SpeedOf(const ServerRecord& aServer, Duration aMedian) const;
  // Pushes an update to all instances.
  void Broadcast(const FleetUpdate& aUpdate);
  // Records an uncertain lease here and on all other instances.
  void BroadcastUncertainLease(Instant aNow, const UncertainLease& aLease);
  // Records an uncertain lease. Every instance keeps them in case it becomes the placer, the
  // current placer included: it may lose its claim and make it again.
  void KeepUncertainLease(Instant aNow, const UncertainLease& aLease);
  // Sends the tables to instances that reported that they have just started.
  void SendTables(Instant aNow);
  bool UsesLoadManagement() const;
  // The ownership of the service that this instance takes over as the placer, if there is one.
  std::optional<KeyOwnership> OwnershipToTakeOver(const std::string& aService) const;
  // Whether this instance may still send key commands as the placer.
  bool MaySendCommands(Instant aNow) const;

  // Reports to the placer; see FleetMemberReports.cpp.

  // Returns this instance's report and resets the counters in it.
  InstanceReport TakeReport();
  // Sends a report to the placer, or handles it directly if this instance is the placer.
  void Report(Instant aNow);
  // Applies the roster and the largest processor share from the placer's response.
  void ApplyReportAnswer(Instant aNow, const ReportAnswer& aAnswer);
  ReportAnswer MakeReportAnswer(Instant aNow, const InstanceReport& aReport) const;
  // Records that the sender of a report is alive.
  void RecordReporter(Instant aNow, const InstanceReport& aReport);
  // Removes the instances whose reports have ceased.
  void RemoveSilentInstances(Instant aNow);
  // Handles the load and the server statistics of a report; placer only.
  void ProcessReport(Instant aNow, const InstanceReport& aReport);
  void RecordServerWork(Instant aNow, const std::map<std::string, ServerWork>& aWork);

  FleetMemberSettings settings_;
  FleetActions& actions_;
  EventSink& events_;
  FleetView view_;
  std::minstd_rand random_;
  PlacerElection election_;
  PlacerMonitor placerMonitor_;
  ReaderPoller readerPoller_;
  StartupDeadline startupDeadline_;
  StorePollMode pollMode_ = StorePollMode::Starting;
  std::map<std::string, std::unique_ptr<ServicePlacer>> placers_;
  std::vector<PendingWrite> writes_;
  std::map<std::string, KeyCounter> counters_;
  // Speeds of the servers of keyed services; kept on the placer only.
  ServerSpeeds speeds_;
  // State of an instance that sends reports to this one.
  struct Reporter
  {
    Instant lastReportAt_{ 0 };
    // In processors.
    double dutyCapacity_ = 0;
    // When the tables were last sent to it.
    Instant tablesSentAt_ = Instant::min();
  };
  // Instances that report here, by address.
  std::map<std::string, Reporter> reporters_;
  // The highest duty capacity among them.
  double highestCapacity_ = 0;
  Instant nextRemovalAt_ = Instant::min();
  // The instances of the fleet: on the placer those that report to it, elsewhere those in its last
  // response.
  FleetRoster roster_;
  // Since when the roster is known: from the first response of a placer, or since this instance
  // became the placer.
  std::optional<Instant> rosterSince_;
  // Addresses of reporting instances that still need the tables.
  std::set<std::string> awaitingTables_;
  // How many other instances reported here when the store was last reachable.
  std::size_t reportersAtStoreContact_ = 0;
  ConfigurationFreshness freshness_;
  // The time last passed to OnApiKeysProven.
  Instant apiKeysUntil_ = Instant::min();
  bool areApiKeysProven_ = false;
  bool isProofReadPending_ = false;
  Instant nextProofReadAt_ = Instant::min();
  // Proofs requested before this time are ignored: after a restore, the store may still serve an
  // older copy.
  Instant proofsValidFrom_ = Instant::min();
  StoreEpoch proofEpoch_ = 0;
  Instant reportedAt_ = Instant::min();
  LimitEnforcer limits_;
  // Used only while this instance is the placer.
  LimitCoordinator limitCoordinator_;
  // Uncertain leases: until when each server may hold keys because of a command whose outcome is
  // unknown.
  std::map<std::string, Instant> uncertainLeases_;
  // The instance that was the placer before this one; empty if there is none, or once it is known
  // to have stopped.
  std::string formerPlacer_;
  // Version of the row by which it became the placer.
  RowVersion formerClaim_ = 0;
  // When that row became known here.
  Instant formerClaimSeenAt_ = Instant::min();
  // When it was known to have stopped. The placers of the services may start after that.
  std::optional<Instant> formerPlacerStoppedAt_;
  bool isStoreLost_ = false;
  bool isStale_ = false;
  // When the placer last answered a report, whether or not it reached the store.
  Instant placerContactAt_ = Instant(0);
  Instant storeContactAt_{ 0 };
  Instant nextReport_ = Instant::min();
  Instant nextFetch_ = Instant::min();
};

} // namespace latchslip
