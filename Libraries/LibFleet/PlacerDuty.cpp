// The part of FleetMember that is the placer, or reports to it.

#include "LibFleet/FleetMember.h"
#include "LibFleet/ServicePlacer.h"

#include <algorithm>

namespace latchslip {

namespace {

// Between two reports to the placer: two fit into the time after which a silent
// placer is replaced, and load is evened out from means over seconds.
constexpr Duration kReportInterval = milliseconds(800);
// An instance that has not reported for this long is not counted any more.
constexpr Duration kInstanceSilence = seconds(4);
// A write that failed is sent again after this time.
constexpr Duration kWritePause = milliseconds(200);
// Weight of a report in a server's mean latency over all instances.
constexpr double kLatencyWeight = 0.2;
// Servers are taken to differ in speed by this factor from the typical at most,
// so that a noisy mean cannot empty or flood one.
constexpr double kMostSpeed = 2.5;

std::string
OwnershipKey(const std::string& aService)
{
  return std::string(kOwnershipPrefix) + aService;
}

} // namespace

// A claim names the owners' rows too: orders must not go out from older ones.
void
FleetMember::Claim()
{
  WaitingWrite write;
  write.value_ = SerializePlacerRow(settings_.self_);
  const std::string key(kPlacerKey);
  write.transaction_.conditions_.push_back({ key, VersionOf(key) });
  for (const auto& service : KeyedServices()) {
    const auto row = OwnershipKey(service);
    write.transaction_.conditions_.push_back({ row, VersionOf(row) });
  }
  write.transaction_.writes_.push_back({ key, write.value_ });
  if (election_.Current() && election_.Current()->instance_ != settings_.self_.instance_) {
    events_.Record(Event::PlacerSilent, "placer=" + election_.Current()->instance_);
  }
  writes_.push_back(std::move(write));
}

void
FleetMember::StartPlacers(Instant aNow)
{
  for (const auto& service : KeyedServices()) {
    if (placers_.contains(service)) {
      continue;
    }
    std::optional<KeyOwnership> stored;
    if (const auto row = fleetRows_.find(OwnershipKey(service)); row != fleetRows_.end()) {
      auto parsed = ParseOwnership(row->second.value_);
      if (!parsed) {
        // Without the fences of the past no order is safe.
        events_.Record(Event::RecordRejected,
                       "row=" + row->first + " reason=\"" + parsed.error().Describe() + "\"");
        continue;
      }
      stored = std::move(parsed).value();
    }
    auto& placer = placers_[service];
    placer = std::make_unique<ServicePlacer>(*this, service);
    placer->placer_.Start(aNow, std::move(stored));
  }
}

void
FleetMember::StopPlacers()
{
  placers_.clear();
  writes_.clear();
}

void
FleetMember::RunPlacers(Instant aNow)
{
  // Another instance may be the placer by now, and counts on this silence.
  if (aNow - storeHeardAt_ > settings_.placer_.renewalWithoutStore_) {
    return;
  }
  if (mirror_.IsKnown(FleetTable::Servers)) {
    StartPlacers(aNow);
  }
  for (const auto& [service, placer] : placers_) {
    if (aNow >= placer->placer_.NextTime()) {
      placer->placer_.SetServers(aNow, KeyServersOf(service));
      placer->placer_.OnTime(aNow, !isStoreLost_);
    }
  }
}

std::vector<KeyServer>
FleetMember::KeyServersOf(const std::string& aService) const
{
  std::vector<KeyServer> servers;
  std::vector<Duration> known;
  for (const auto& [id, record] : directory_.All()) {
    if (record.service_ != aService) {
      continue;
    }
    KeyServer server;
    server.id_ = id;
    server.address_ = record.address_;
    server.hasEnded_ = directory_.IsReplaced(record);
    server.isUsable_ = !record.isLeaving_ && !server.hasEnded_;
    servers.push_back(std::move(server));
    if (const auto latency = latencies_.find(id); latency != latencies_.end()) {
      known.push_back(latency->second);
    }
  }
  if (known.empty()) {
    return servers;
  }
  std::nth_element(
    known.begin(), known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2), known.end());
  const auto typical = static_cast<double>(known[known.size() / 2].count());
  for (auto& server : servers) {
    const auto latency = latencies_.find(server.id_);
    const double slots = directory_.Find(server.id_)->slots_;
    const double speed =
      latency == latencies_.end()
        ? 1
        : typical / static_cast<double>(std::max<Duration::rep>(1, latency->second.count()));
    server.weight_ = slots * std::clamp(speed, 1 / kMostSpeed, kMostSpeed);
  }
  return servers;
}

void
FleetMember::QueueWrite(const std::string& aService, const KeyOwnership& aOwnership)
{
  WaitingWrite write;
  write.service_ = aService;
  write.value_ = SerializeOwnership(aOwnership);
  const std::string placer(kPlacerKey);
  const auto row = OwnershipKey(aService);
  write.transaction_.conditions_ = { { placer, VersionOf(placer) }, { row, VersionOf(row) } };
  write.transaction_.writes_ = { { row, write.value_ } };
  writes_.push_back(std::move(write));
}

void
FleetMember::SendWrites(Instant aNow)
{
  if (writes_.empty() || writes_.front().isUnderWay_ || aNow < writes_.front().retryAt_) {
    return;
  }
  writes_.front().isUnderWay_ = true;
  actions_.Transact(writes_.front().transaction_);
}

void
FleetMember::OnTransactEnded(Instant aNow, const StoreReply& aReply)
{
  if (writes_.empty() || !writes_.front().isUnderWay_) {
    return;
  }
  auto& write = writes_.front();
  write.isUnderWay_ = false;
  switch (aReply.status_) {
    case StoreStatus::Unsure:
      events_.Record(Event::StoreUnsure, "row=" + write.transaction_.writes_.front().key_);
      [[fallthrough]];
    case StoreStatus::Unavailable:
      // The same write again is safe: at most one of the two meets its conditions.
      write.retryAt_ = aNow + kWritePause;
      return;
    case StoreStatus::Done:
    case StoreStatus::Conflict:
      break;
  }
  storeHeardAt_ = aNow;
  const auto ended = std::move(write);
  writes_.erase(writes_.begin());
  const auto& key = ended.transaction_.writes_.front().key_;
  const auto* stored = FindRow(aReply.rows_, key);
  const bool isOwn = stored != nullptr && stored->value_ == ended.value_;
  if (aReply.status_ == StoreStatus::Done || isOwn) {
    OnWriteDone(aNow, ended, aReply);
  } else {
    OnWriteConflict(aNow, ended, aReply);
  }
}

void
FleetMember::OnWriteDone(Instant aNow, const WaitingWrite& aWrite, const StoreReply& aReply)
{
  const auto& key = aWrite.transaction_.writes_.front().key_;
  if (const auto* row = FindRow(aReply.rows_, key)) {
    Learn({ key, row->version_, aWrite.value_ });
  }
  Spread();
  if (aWrite.service_.empty()) {
    election_.OnRow(aNow, settings_.self_);
    events_.Record(Event::PlacerClaimed, "row_version=" + std::to_string(VersionOf(key)));
    RunPlacers(aNow);
    return;
  }
  const auto placer = placers_.find(aWrite.service_);
  if (placer == placers_.end()) {
    return;
  }
  placer->second->placer_.OnWritten(aNow);
  actions_.OnOwnership(placer->second->placer_.Committed());
}

void
FleetMember::OnWriteConflict(Instant aNow, const WaitingWrite& aWrite, const StoreReply& aReply)
{
  for (const auto& row : aReply.rows_) {
    OnFleetRow(aNow, row);
  }
  if (aWrite.service_.empty()) {
    election_.OnClaimFailed(aNow);
    return;
  }
  const auto placer = placers_.find(aWrite.service_);
  if (placer == placers_.end()) {
    return;
  }
  const auto row = fleetRows_.find(OwnershipKey(aWrite.service_));
  auto stored = row == fleetRows_.end() ? FieldResult<KeyOwnership>(FieldError{ "row", "is gone" })
                                        : ParseOwnership(row->second.value_);
  if (stored) {
    placer->second->placer_.OnWriteFailed(aNow, std::move(stored).value());
  } else {
    events_.Record(Event::RecordRejected,
                   "row=ownership/" + aWrite.service_ + " reason=\"" + stored.error().Describe() +
                     "\"");
    placers_.erase(placer);
  }
}

void
FleetMember::OnOrderEnded(Instant aNow,
                          const std::string& aService,
                          OrderNumber aOrder,
                          const OrderOutcome& aOutcome)
{
  if (const auto placer = placers_.find(aService); placer != placers_.end()) {
    placer->second->placer_.OnOrderEnded(aNow, aOrder, aOutcome);
  }
}

InstanceReport
FleetMember::TakeReport()
{
  InstanceReport report;
  report.instance_ = settings_.self_.instance_;
  report.address_ = settings_.self_.address_;
  for (const auto& service : KeyedServices()) {
    report.keyCounts_[service] = counters_[service].Take();
    for (const auto* server : directory_.OfService(service)) {
      if (const auto latency = actions_.LatencyOf(server->id_); latency > Duration(0)) {
        report.latencies_[server->id_] = latency;
      }
    }
  }
  return report;
}

void
FleetMember::Report(Instant aNow)
{
  nextReport_ = aNow + kReportInterval;
  if (!election_.Current()) {
    return;
  }
  const auto report = TakeReport();
  if (election_.IsPlacer()) {
    OnReport(aNow, report);
    actions_.OnInstances(instances_.size());
    return;
  }
  actions_.SendReport(election_.Current()->address_, report);
}

ReportAnswer
FleetMember::OnReport(Instant aNow, const InstanceReport& aReport)
{
  heardInstances_[aReport.address_] = aNow;
  std::erase_if(heardInstances_,
                [&](const auto& aEntry) { return aNow - aEntry.second > kInstanceSilence; });
  ReportAnswer answer;
  answer.isWorking_ = election_.IsPlacer() && !isStoreLost_;
  for (const auto& [address, heardAt] : heardInstances_) {
    answer.instances_.push_back(address);
  }
  answer.fleetVersion_ = FleetVersion();
  if (!election_.IsPlacer()) {
    return answer;
  }
  instances_ = answer.instances_;
  for (const auto& [service, counts] : aReport.keyCounts_) {
    if (const auto placer = placers_.find(service); placer != placers_.end()) {
      placer->second->placer_.OnLoad(aNow, counts);
    }
  }
  LearnLatencies(aReport.latencies_);
  return answer;
}

void
FleetMember::LearnLatencies(const std::map<std::string, Duration>& aLatencies)
{
  for (const auto& [server, latency] : aLatencies) {
    const auto [entry, isNew] = latencies_.try_emplace(server, latency);
    if (!isNew) {
      const auto change = static_cast<double>((latency - entry->second).count()) * kLatencyWeight;
      entry->second += Duration(static_cast<Duration::rep>(change));
    }
  }
  std::erase_if(latencies_,
                [&](const auto& aEntry) { return directory_.Find(aEntry.first) == nullptr; });
}

void
FleetMember::OnReportAnswered(Instant aNow, const std::optional<ReportAnswer>& aAnswer)
{
  if (!aAnswer) {
    return;
  }
  if (aAnswer->isWorking_) {
    election_.OnPlacerHeard(aNow);
  }
  if (aAnswer->fleetVersion_ > FleetVersion() && election_.Current()) {
    FetchFrom(election_.Current()->address_);
  }
  if (!aAnswer->instances_.empty()) {
    instances_ = aAnswer->instances_;
    actions_.OnInstances(instances_.size());
  }
}

} // namespace latchslip
