#pragma once

#include "LibBase/Event.h"
#include "LibFleet/ConfigurationProof.h"
#include "LibFleet/FleetReport.h"
#include "LibFleet/FleetView.h"
#include "LibFleet/PlacerElection.h"
#include "LibFleet/ReaderGuide.h"
#include "LibFleet/RelayWatch.h"
#include "LibFleet/ServerSpeeds.h"
#include "LibFleet/StartWait.h"
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

// Carries out what a member of the fleet decides, and hears what it learns.
class FleetActions
{
public:
  virtual ~FleetActions() = default;

  // The answer goes to OnTransactEnded.
  virtual void Transact(const Transaction& aTransaction) = 0;
  // How the store is to be followed from now on.
  virtual void Follow(Following aHow, const TableVersions& aKnown) = 0;
  // The answer goes to OnOrderEnded.
  virtual void Order(const std::string& aService, const KeyOrder& aOrder) = 0;
  // The answer goes to OnReportAnswered.
  virtual void SendReport(const std::string& aAddress, const InstanceReport& aReport) = 0;
  // Tells other instances what they have not asked for.
  virtual void SendNews(const std::vector<NewsBranch>& aBranches, const FleetNews& aNews) = 0;
  // The answer goes to OnNewsFetched.
  virtual void FetchNews(const std::string& aAddress, const TableVersions& aVersions) = 0;
  // Asks the store for the version of the configuration; the answer goes to
  // OnConfigurationRead.
  virtual void ReadConfigurationVersion() = 0;
  // Tells the keeper of the groups' limits; the answer goes to OnUsesAnswered.
  virtual void SendUses(const std::string& aAddress, const UsageReport& aReport) = 0;

  virtual void OnRoutes(std::shared_ptr<const RouteTable> aRoutes) = 0;
  virtual void OnDirectoryChanged() = 0;
  virtual void OnOwnership(const KeyOwnership& aOwnership) = 0;
  // Until when API keys may be honoured by the present routes.
  virtual void OnApiKeysProven(Instant aUntil) = 0;
  // Which instances there are, by address.
  virtual void OnInstances(const std::map<std::string, FleetPeer>& aPeers) = 0;
  // Whether neither the store nor a placer tells what changes.
  virtual void OnNewsStale(bool aIsStale) = 0;
  // What a server did for this instance since the last call.
  virtual ServerWork TakeWorkOf(const std::string& aServer) = 0;
};

// What an instance is told of itself and of the fleet when it starts.
struct FleetMemberSettings
{
  // What the placer's row says while this instance is the placer.
  PlacerRow self_;
  // Addresses where other instances may be found at the start.
  std::vector<std::string> seeds_;
  // What part of a processor this instance has: the strong become placers first.
  double processorShare_ = 1;
  OwnershipPlacerSettings placer_;
  std::uint32_t seed_ = 1;
  // The data hall of this instance.
  std::string hall_;
  // No API key is honoured any more this long after the store took the configuration that
  // takes it away, whoever can be reached meanwhile; no value when that is not promised.
  std::optional<Duration> apiKeyBound_{};
  // The span in which the requests of a group are counted against its limit.
  Duration limitWindow_ = seconds(5);
};

// One instance's part in the fleet. The placer follows the store's tables and
// tells the others what changes; the others report to it, and follow the store
// themselves only while no placer tells them. In a large fleet a few of each data hall,
// its readers, do that for the others of their hall. Whoever the row names is the
// placer. It does no I/O.
class FleetMember : private FleetViewListener
{
public:
  FleetMember(FleetMemberSettings aSettings,
              const RowDecoder& aDecoder,
              FleetActions& aActions,
              EventSink& aEvents);
  ~FleetMember() override;

  void OnView(Instant aNow, const TableView& aView);
  void OnStoreLost(Instant aNow);
  void OnStoreRegained(Instant aNow);
  void OnTransactEnded(Instant aNow, const StoreReply& aReply);
  void OnOrderEnded(Instant aNow,
                    const std::string& aService,
                    OrderNumber aOrder,
                    const OrderOutcome& aOutcome);
  // An answer of that life of a server says that it is about to end.
  void OnToldLeaving(Instant aNow, const std::string& aServer, std::uint64_t aLife);
  ReportAnswer OnReport(Instant aNow, const InstanceReport& aReport);
  // No value when no answer came. aRoundTrip is how long it took.
  void OnReportAnswered(Instant aNow,
                        const std::optional<ReportAnswer>& aAnswer,
                        Duration aRoundTrip = Duration(0));
  // What another instance is told that has these versions.
  FleetNews NewsSince(Instant aNow, const TableVersions& aVersions) const;
  // News from another instance that were not asked for.
  void OnNews(Instant aNow, const FleetNews& aNews);
  // News that were asked for; no value when none came.
  // aFrom is the address that was asked, aRoundTrip how long that took.
  void OnNewsFetched(Instant aNow,
                     const std::optional<FleetNews>& aNews,
                     Duration aRoundTrip = Duration(0),
                     const std::string& aFrom = {});
  // No value when the store did not answer. aAskedAt is when it was asked.
  void OnConfigurationRead(Instant aNow, Instant aAskedAt, std::optional<RowVersion> aVersion);
  // What another instance has met of the groups with limits; the answer is for it. No value
  // when this instance is not the placer, who is their keeper.
  std::optional<AdmittedShares> OnUsage(Instant aNow, const UsageReport& aReport);
  // No value when no answer came.
  void OnUsesAnswered(Instant aNow, const std::optional<AdmittedShares>& aParts);
  void CountKey(const std::string& aService, KeyNumber aKey);
  void OnTime(Instant aNow);

  const ServerDirectory& Directory() const { return view_.Directory(); }
  bool IsPlacer() const { return election_.IsPlacer(); }
  // Whether enough is known to serve.
  bool IsReady() const { return view_.Routes() && view_.IsKnown(FleetTable::Servers); }
  // Whether callers may be sent here: as above, and API keys, if they show any, can be
  // honoured.
  bool IsServing(Instant aNow) const;
  // Holds the groups' requests to their limits.
  GroupAdmission& Gate() { return limits_; }

private:
  class ServicePlacer;

  // A write of the placer; they go to the store one after the other.
  struct WaitingWrite
  {
    // What it says, when it is about the owners of keys.
    std::optional<KeyOwnership> ownership_;
    // What it follows on, if anything.
    std::optional<FleetView::OwnedService> former_;
    Transaction transaction_;
    bool isUnderWay_ = false;
    // This instance is no longer the placer that wanted it.
    bool isAbandoned_ = false;
    Instant retryAt_ = Instant::min();

    const std::string& Key() const { return transaction_.writes_.front().key_; }
  };

  // What the view hears.
  void OnRoutes(Instant aNow, std::shared_ptr<const RouteTable> aRoutes) override;
  void OnDirectoryChanged() override { actions_.OnDirectoryChanged(); }
  void OnOwnership(const KeyOwnership& aOwnership) override { actions_.OnOwnership(aOwnership); }
  void OnPlacer(Instant aNow, const std::optional<PlacerRow>& aPlacer) override;

  void ChooseFollowing(Instant aNow);
  Following HowToFollow(Instant aNow);
  // Whether this instance follows the store for others as well, or for itself in a fleet
  // that is too small to share that.
  bool IsReading(Instant aNow) const;
  // Whether others follow the store for this instance.
  bool IsReadFor() const;
  FleetPeer SelfAsPeer() const;
  // What those of its hall learn from a reader.
  void TellHall(const FleetNews& aNews);
  void AskReaders(Instant aNow);
  void NoteStaleness(Instant aNow);
  void FetchFromPeers(Instant aNow);

  // What concerns how fresh the configuration is, in ConfigurationDuty.cpp.
  // Whether API keys are only honoured while the configuration is proven to be the latest.
  bool NeedsProofs() const;
  // Whether this instance asks the store for proofs.
  bool AsksForProofs() const;
  void FollowProofs(Instant aNow);
  // A proof that another instance told, which was asked that long ago.
  void TakeProof(Instant aNow,
                 const std::optional<ConfigurationProof>& aProof,
                 Duration aRoundTrip);
  // At the time of aAsOf the store held no later configuration than that version.
  void AddProof(Instant aNow, Instant aAsOf, RowVersion aVersion);
  void NoteProof(Instant aNow);

  // What concerns the groups' limits, in LimitDuty.cpp.
  void FollowLimits(Instant aNow);
  void StartLimitCoordinator(Instant aNow);

  // The placer's part, in PlacerDuty.cpp.
  void Claim();
  void StartPlacers(Instant aNow);
  void StopPlacers();
  void RunPlacers(Instant aNow);
  void QueueWrite(const KeyOwnership& aOwnership);
  // Writes down how large the fleet is, once that is known and differs.
  void NoteFleetSize(Instant aNow);
  void SendWrites(Instant aNow);
  void OnClaimed(Instant aNow, const Row& aRow);
  void OnOwnershipWritten(Instant aNow, RowVersion aVersion, const WaitingWrite& aWrite);
  void OnWriteDone(Instant aNow, const WaitingWrite& aWrite, const StoreReply& aReply);
  void OnWriteConflict(Instant aNow, const WaitingWrite& aWrite, const StoreReply& aReply);
  std::vector<KeyServer> KeyServersOf(Instant aNow, const std::string& aService) const;
  // The median time of work of a service's servers; no value when none is known.
  std::optional<Duration> TypicalWorkTimeOf(const std::string& aService) const;
  // How fast a server is compared with the typical one.
  double SpeedOf(const ServerRecord& aServer, Duration aTypical) const;
  // Tells the others at once what this placer has learnt or written.
  void Spread(const FleetNews& aNews);
  // Notes the doubt and tells the others of it.
  void SpreadDoubt(Instant aNow, const HoldDoubt& aDoubt);
  // Whoever becomes the placer counts with it, the present one included: it may lose its
  // claim and make it again.
  void NoteDoubt(Instant aNow, const HoldDoubt& aDoubt);
  // Tells the tables to instances that have started.
  void SpreadTables(Instant aNow);
  // Whether this placer may still give orders, as far as it can know.
  bool MayOrder(Instant aNow) const;

  // The part of the reports, in ReportDuty.cpp.
  // What this instance has seen since it last reported.
  InstanceReport TakeReport();
  void Report(Instant aNow);
  // What the placer's answer tells of the other instances.
  void LearnInstances(Instant aNow, const ReportAnswer& aAnswer);
  ReportAnswer MakeReportAnswer(Instant aNow, const InstanceReport& aReport) const;
  void NoteInstances(Instant aNow, const InstanceReport& aReport);
  // Drops the instances that have not reported for long.
  void ForgetSilent(Instant aNow);
  // What the placer learns from a report.
  void TakeIn(Instant aNow, const InstanceReport& aReport);
  void LearnSpeeds(Instant aNow, const std::map<std::string, ServerWork>& aWork);

  FleetMemberSettings settings_;
  FleetActions& actions_;
  EventSink& events_;
  FleetView view_;
  std::minstd_rand random_;
  PlacerElection election_;
  RelayWatch relay_;
  ReaderGuide guide_;
  StartWait start_;
  Following following_ = Following::Starting;
  std::map<std::string, std::unique_ptr<ServicePlacer>> placers_;
  std::vector<WaitingWrite> writes_;
  std::map<std::string, KeyCounter> counters_;
  // Of the servers of keyed services, as the placer knows them.
  ServerSpeeds speeds_;
  // What an instance was like when it reported here last.
  struct HeardInstance
  {
    Instant heardAt_{ 0 };
    double processorShare_ = 0;
    // When it was told the tables.
    Instant tablesToldAt_ = Instant::min();
  };
  // By address.
  std::map<std::string, HeardInstance> heardInstances_;
  // The largest part of a processor that any of them has.
  double strongestShare_ = 0;
  Instant nextForget_ = Instant::min();
  // The instances that report to the placer, as it last said.
  FleetRoster roster_;
  // Since when any are known.
  std::optional<Instant> rosterSince_;
  // Addresses of instances that report to this placer and lack the tables.
  std::set<std::string> lacking_;
  // How many other instances reported here while the store was heard.
  std::size_t othersWithStore_ = 0;
  ConfigurationWatch configuration_;
  // Until when API keys may be honoured, as was last told.
  Instant apiKeysUntil_ = Instant::min();
  bool areApiKeysProven_ = false;
  bool isProofAskedFor_ = false;
  Instant nextProof_ = Instant::min();
  // Proofs from before are none: the store may show an older copy.
  Instant proofsFrom_ = Instant::min();
  StoreEpoch proofEpoch_ = 0;
  Instant reportedAt_ = Instant::min();
  LimitEnforcer limits_;
  // Counts only while this instance is the placer.
  LimitCoordinator keeper_;
  // Until when servers may hold keys by orders that they take late.
  std::map<std::string, Instant> doubts_;
  // The instance that was the placer before this one.
  std::string formerPlacer_;
  bool isStoreLost_ = false;
  bool isNewsStale_ = false;
  // When the placer answered last, whether it reaches the store or not.
  Instant placerHeardAt_ = Instant(0);
  Instant storeHeardAt_{ 0 };
  Instant nextReport_ = Instant::min();
  Instant nextFetch_ = Instant::min();
};

} // namespace latchslip
