// Reports in FleetMember: sends them to the placer, and handles those that other instances send to
// this one.

#include "LibFleet/FleetMember.h"
#include "LibFleet/ServicePlacer.h"

#include <algorithm>

namespace latchslip {

namespace {

// Report interval: two reports fit into the time after which a silent placer is replaced, and load
// is balanced by means over seconds.
constexpr Duration kReportInterval = milliseconds(800);
// Report interval of a starting instance until a placer answers; it doesn't serve callers yet.
constexpr Duration kStartReportInterval = milliseconds(100);
// A placer that takes longer than this to answer is overloaded or slowed, and will send changes
// late, as each takes it many steps. It is well above a round trip within a region with a busy
// processor.
constexpr Duration kSlowAnswerTime = milliseconds(150);
// The store counts as reachable for this time after its last answer; it answers a placer more
// often. It is less than the time after which silent instances are removed, so that a placer that
// loses all connections at once still has the number of the others.
constexpr Duration kStoreContactTime = milliseconds(1500);
// An instance that has not reported for this long is removed from the roster.
constexpr Duration kRemovalTimeout = seconds(4);
// Interval between searches for such instances, and for servers that are no longer listed: one at
// each report would cost a placer as many steps as the square of their number.
constexpr Duration kRemovalInterval = milliseconds(200);

} // namespace

InstanceReport
FleetMember::TakeReport()
{
  InstanceReport report;
  report.instance_ = settings_.self_.instance_;
  report.address_ = settings_.self_.address_;
  report.processorShare_ = settings_.processorShare_;
  report.linkMbps_ = settings_.linkMbps_;
  report.hall_ = settings_.hall_;
  report.rosterDigest_ = roster_.Digest();
  report.lacksTables_ = !IsReady();
  for (const auto& service : view_.KeyedServices()) {
    report.keyCounts_[service] = counters_[service].Take();
    for (const auto* server : view_.Directory().OfService(service)) {
      if (const auto work = actions_.TakeWorkOf(server->id_); work.answers_ > 0) {
        report.work_[server->id_] = work;
      }
    }
  }
  return report;
}

void
FleetMember::Report(Instant aNow)
{
  nextReport_ = aNow + kReportInterval;
  reportedAt_ = aNow;
  if (!election_.Current()) {
    return;
  }
  const auto report = TakeReport();
  if (election_.IsPlacer()) {
    OnReport(aNow, report);
    limits_.SetInstances(roster_.Size());
    actions_.OnInstances(roster_.Peers());
    return;
  }
  actions_.SendReport(election_.Current()->address_, report);
}

ReportAnswer
FleetMember::OnReport(Instant aNow, const InstanceReport& aReport)
{
  RecordReporter(aNow, aReport);
  if (aNow - storeContactAt_ < kStoreContactTime) {
    reportersAtStoreContact_ = reporters_.size() - reporters_.count(settings_.self_.address_);
  }
  if (election_.IsPlacer()) {
    ProcessReport(aNow, aReport);
  }
  return MakeReportAnswer(aNow, aReport);
}

void
FleetMember::RecordReporter(Instant aNow, const InstanceReport& aReport)
{
  auto& reporter = reporters_[aReport.address_];
  reporter.lastReportAt_ = aNow;
  reporter.dutyCapacity_ = DutyCapacity(aReport.processorShare_, aReport.linkMbps_);
  highestCapacity_ = std::max(highestCapacity_, reporter.dutyCapacity_);
  if (election_.IsPlacer()) {
    limitCoordinator_.OnInstanceContact(aNow, aReport.address_);
    roster_.Put({ aReport.address_, aReport.hall_, aReport.processorShare_, aReport.linkMbps_ });
    if (aReport.lacksTables_) {
      awaitingTables_.insert(aReport.address_);
    }
  }
  if (aNow >= nextRemovalAt_) {
    nextRemovalAt_ = aNow + kRemovalInterval;
    RemoveSilentInstances(aNow);
    speeds_.Keep(
      [this](const std::string& aServer) { return view_.Directory().Find(aServer) != nullptr; });
  }
}

void
FleetMember::RemoveSilentInstances(Instant aNow)
{
  std::erase_if(reporters_, [&](const auto& aEntry) {
    return aNow - aEntry.second.lastReportAt_ > kRemovalTimeout;
  });
  highestCapacity_ = 0;
  for (const auto& [address, reporter] : reporters_) {
    highestCapacity_ = std::max(highestCapacity_, reporter.dutyCapacity_);
  }
  if (!election_.IsPlacer()) {
    return;
  }
  std::vector<std::string> silent;
  for (const auto& [address, peer] : roster_.Peers()) {
    if (!reporters_.contains(address)) {
      silent.push_back(address);
    }
  }
  for (const auto& address : silent) {
    roster_.Remove(address);
  }
}

ReportAnswer
FleetMember::MakeReportAnswer(Instant aNow, const InstanceReport& aReport) const
{
  ReportAnswer answer;
  answer.proof_ = freshness_.CurrentProof(aNow);
  // A placer that has been suspended may not know yet that the store was silent meanwhile.
  const bool hasHeardStore = !isStoreLost_ && aNow - storeContactAt_ < kStoreContactTime;
  answer.isWorking_ = election_.IsPlacer() && hasHeardStore;
  if (election_.IsPlacer()) {
    answer.roster_ = roster_.ChangesSince(aReport.rosterDigest_);
  }
  answer.highestCapacity_ = highestCapacity_;
  answer.lastChanges_ = view_.LastChanges();
  return answer;
}

void
FleetMember::ProcessReport(Instant aNow, const InstanceReport& aReport)
{
  if (aReport.instance_ == formerPlacer_) {
    // An instance that reports here regards this one as the placer, so it has stopped being it.
    for (const auto& [service, placer] : placers_) {
      placer->placer_.OnFormerPlacerStopped(aNow, formerClaimSeenAt_);
    }
    formerPlacer_.clear();
    formerPlacerStoppedAt_ = aNow;
  }
  for (const auto& [service, counts] : aReport.keyCounts_) {
    if (const auto placer = placers_.find(service); placer != placers_.end()) {
      placer->second->placer_.OnLoad(aNow, counts);
    }
  }
  RecordServerWork(aNow, aReport.work_);
}

void
FleetMember::RecordServerWork(Instant aNow, const std::map<std::string, ServerWork>& aWork)
{
  for (const auto& [server, work] : aWork) {
    speeds_.Add(aNow, server, work);
  }
}

void
FleetMember::OnReportAnswered(Instant aNow,
                              const std::optional<ReportAnswer>& aAnswer,
                              Duration aRoundTrip)
{
  if (aAnswer) {
    placerContactAt_ = aNow;
    limits_.OnCoordinatorContact(aNow);
    OnProofReceived(aNow, aAnswer->proof_, aRoundTrip);
  }
  // A placer that cannot reach the store is as good as any other while this instance cannot reach
  // it either; replacing it when the store returns would have no benefit.
  if (aAnswer && (aAnswer->isWorking_ || isStoreLost_)) {
    election_.OnPlacerResponsive(aNow);
  }
  if (!aAnswer || !aAnswer->isWorking_) {
    placerMonitor_.OnFailure(PlacerFault::NoAnswer);
    if (!IsReady()) {
      nextReport_ = std::min(nextReport_, aNow + kStartReportInterval);
    }
    return;
  }
  startupDeadline_.OnPlacerAnswered(aNow);
  ApplyReportAnswer(aNow, *aAnswer);
  // In a large fleet the readers receive the changes that a slowed placer sends late.
  if (aRoundTrip > kSlowAnswerTime && !DependsOnReaders()) {
    placerMonitor_.OnFailure(PlacerFault::SlowAnswer);
  } else {
    placerMonitor_.OnAnswer(aNow, aAnswer->lastChanges_, view_.Versions());
  }
}

void
FleetMember::ApplyReportAnswer(Instant aNow, const ReportAnswer& aAnswer)
{
  if (!aAnswer.roster_.IsEmpty()) {
    rosterSince_ = rosterSince_.value_or(aNow);
    roster_.Apply(aAnswer.roster_);
    limits_.SetInstances(roster_.Size());
    actions_.OnInstances(roster_.Peers());
  }
  if (aAnswer.highestCapacity_ > 0) {
    election_.SetCapacityDeficit(
      CapacityDeficit(SelfAsPeer().DutyCapacity(), aAnswer.highestCapacity_));
  }
}

} // namespace latchslip
