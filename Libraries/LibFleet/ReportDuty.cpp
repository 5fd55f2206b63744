// The part of FleetMember that reports to the placer, and takes reports as one.

#include "LibFleet/FleetMember.h"
#include "LibFleet/ServicePlacer.h"

#include <algorithm>

namespace latchslip {

namespace {

// Between two reports to the placer: two fit into the time after which a silent
// placer is replaced, and load is evened out from means over seconds.
constexpr Duration kReportInterval = milliseconds(800);
// The same for an instance that has started, until a placer answers: it serves nobody.
constexpr Duration kStartReportInterval = milliseconds(100);
// A placer that takes longer to answer is slowed itself: it hears of changes in
// many steps, and each takes as long. Well above the way there and back within a
// region with a busy processor.
constexpr Duration kSlowAnswer = milliseconds(150);
// The store was heard lately: it answers a placer more often than this. Less than
// the time after which silent instances are forgotten, so that whoever is cut off
// from all at once still knows how many they were.
constexpr Duration kStoreLately = milliseconds(1500);
// An instance that has not reported for this long is not counted any more.
constexpr Duration kInstanceSilence = seconds(4);
// Between two looks for such instances: one at each report would cost a placer of 295
// instances as many steps as their count squared every 0.8 s.
constexpr Duration kForgetInterval = milliseconds(200);

} // namespace

InstanceReport
FleetMember::TakeReport()
{
  InstanceReport report;
  report.instance_ = settings_.self_.instance_;
  report.address_ = settings_.self_.address_;
  report.processorShare_ = settings_.processorShare_;
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
  NoteInstances(aNow, aReport);
  if (aNow - storeHeardAt_ < kStoreLately) {
    othersWithStore_ = heardInstances_.size() - heardInstances_.count(settings_.self_.address_);
  }
  if (election_.IsPlacer()) {
    TakeIn(aNow, aReport);
  }
  return MakeReportAnswer(aNow, aReport);
}

void
FleetMember::NoteInstances(Instant aNow, const InstanceReport& aReport)
{
  auto& heard = heardInstances_[aReport.address_];
  heard.heardAt_ = aNow;
  heard.processorShare_ = aReport.processorShare_;
  strongestShare_ = std::max(strongestShare_, aReport.processorShare_);
  if (election_.IsPlacer()) {
    keeper_.OnInstanceContact(aNow, aReport.address_);
    roster_.Put({ aReport.address_, aReport.hall_, aReport.processorShare_ });
    if (aReport.lacksTables_) {
      lacking_.insert(aReport.address_);
    }
  }
  if (aNow >= nextForget_) {
    nextForget_ = aNow + kForgetInterval;
    ForgetSilent(aNow);
  }
}

void
FleetMember::ForgetSilent(Instant aNow)
{
  std::erase_if(heardInstances_, [&](const auto& aEntry) {
    return aNow - aEntry.second.heardAt_ > kInstanceSilence;
  });
  strongestShare_ = 0;
  for (const auto& [address, heard] : heardInstances_) {
    strongestShare_ = std::max(strongestShare_, heard.processorShare_);
  }
  if (!election_.IsPlacer()) {
    return;
  }
  std::vector<std::string> silent;
  for (const auto& [address, peer] : roster_.Peers()) {
    if (!heardInstances_.contains(address)) {
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
  answer.proof_ = configuration_.Tell(aNow);
  answer.isWorking_ = election_.IsPlacer() && !isStoreLost_;
  if (election_.IsPlacer()) {
    answer.roster_ = roster_.ChangesSince(aReport.rosterDigest_);
  }
  answer.strongestShare_ = strongestShare_;
  answer.lastChanges_ = view_.LastChanges();
  return answer;
}

void
FleetMember::TakeIn(Instant aNow, const InstanceReport& aReport)
{
  if (aReport.instance_ == formerPlacer_) {
    // Whoever reports here knows that it is the placer no more.
    for (const auto& [service, placer] : placers_) {
      placer->placer_.OnFormerPlacerStopped(aNow);
    }
    formerPlacer_.clear();
  }
  for (const auto& [service, counts] : aReport.keyCounts_) {
    if (const auto placer = placers_.find(service); placer != placers_.end()) {
      placer->second->placer_.OnLoad(aNow, counts);
    }
  }
  LearnSpeeds(aNow, aReport.work_);
}

void
FleetMember::LearnSpeeds(Instant aNow, const std::map<std::string, ServerWork>& aWork)
{
  for (const auto& [server, work] : aWork) {
    speeds_.Add(aNow, server, work);
  }
  speeds_.Keep(
    [this](const std::string& aServer) { return view_.Directory().Find(aServer) != nullptr; });
}

void
FleetMember::OnReportAnswered(Instant aNow,
                              const std::optional<ReportAnswer>& aAnswer,
                              Duration aRoundTrip)
{
  if (aAnswer) {
    placerHeardAt_ = aNow;
    limits_.OnCoordinatorContact(aNow);
    TakeProof(aNow, aAnswer->proof_, aRoundTrip);
  }
  // A placer without the store is as good as any other while the store is away
  // from here as well; to replace it at the store's return would help nobody.
  if (aAnswer && (aAnswer->isWorking_ || isStoreLost_)) {
    election_.OnPlacerHeard(aNow);
  }
  if (!aAnswer || !aAnswer->isWorking_) {
    relay_.OnFailure(RelayEnd::NoAnswer);
    if (!IsReady()) {
      nextReport_ = std::min(nextReport_, aNow + kStartReportInterval);
    }
    return;
  }
  start_.OnPlacerAnswered(aNow);
  LearnInstances(aNow, *aAnswer);
  // In a large fleet its readers see what a slowed placer sees late.
  if (aRoundTrip > kSlowAnswer && !IsReadFor()) {
    relay_.OnFailure(RelayEnd::SlowAnswer);
  } else {
    relay_.OnAnswer(aNow, aAnswer->lastChanges_, view_.Versions());
  }
}

void
FleetMember::LearnInstances(Instant aNow, const ReportAnswer& aAnswer)
{
  if (!aAnswer.roster_.IsEmpty()) {
    rosterSince_ = rosterSince_.value_or(aNow);
    roster_.Apply(aAnswer.roster_);
    limits_.SetInstances(roster_.Size());
    actions_.OnInstances(roster_.Peers());
  }
  if (aAnswer.strongestShare_ > 0) {
    election_.SetWeakness(WeaknessBeside(settings_.processorShare_, aAnswer.strongestShare_));
  }
}

} // namespace latchslip
