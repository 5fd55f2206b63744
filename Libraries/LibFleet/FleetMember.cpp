#include "LibFleet/FleetMember.h"

#include "LibFleet/ServicePlacer.h"
#include "LibStore/StoreEpoch.h"

#include <algorithm>

namespace latchslip {

namespace {

// Between two questions for news while the store is out of reach.
constexpr Duration kFetchInterval = milliseconds(500);
// A placer that answered within this time also tells what changes: two reports.
constexpr Duration kNewsBound = milliseconds(1800);
// The instances of a fleet are all known to its placer two reports after the first.
constexpr Duration kRosterSettle = milliseconds(1600);
// With this part of a processor an instance is strong enough to be the placer of a
// large fleet: a tenth took seconds to answer the reports of 90 instances.
constexpr double kStrongShare = 0.5;

} // namespace

FleetMember::FleetMember(FleetMemberSettings aSettings,
                         const RowDecoder& aDecoder,
                         FleetActions& aActions,
                         EventSink& aEvents)
  : settings_(std::move(aSettings))
  , actions_(aActions)
  , events_(aEvents)
  , view_(aDecoder, *this, aEvents)
  , random_(settings_.seed_)
  // How strong the others are is told by the first placer; until then, by what is
  // enough for anything.
  , election_(settings_.self_,
              std::uniform_real_distribution<double>(0, 1)(random_),
              WeaknessBeside(settings_.processorShare_, kStrongShare))
  , keeper_(settings_.limitWindow_)
{
}

FleetMember::~FleetMember() = default;

void
FleetMember::OnView(Instant aNow, const TableView& aView)
{
  storeHeardAt_ = aNow;
  const auto table = static_cast<std::size_t>(aView.table_);
  const auto version = view_.Versions().at(table);
  const auto lastChange = view_.LastChanges().at(table);
  if (aView.version_ < version && !aView.rows_.empty()) {
    events_.Record(Event::OlderViewDropped,
                   "table=" + std::string(kFleetTableNames.NameOf(aView.table_)) + " version=" +
                     DescribeVersion(aView.version_) + " known=" + DescribeVersion(version) +
                     " rows=" + std::to_string(aView.rows_.size()));
  }
  if (!view_.Take(aNow, aView)) {
    return;
  }
  if (following_ == Following::Starting) {
    ChooseFollowing(aNow);
  }
  const bool isReader = roster_.IsReader(settings_.self_.address_);
  const bool tellsOthers = election_.IsPlacer() || isReader;
  if (aView.table_ == FleetTable::Fleet || version == 0 || !tellsOthers) {
    return;
  }
  auto changes = view_.ChangesSince(aView.table_, version);
  // In a small fleet the configuration is followed by everybody.
  const bool isFollowedByAll = aView.table_ == FleetTable::Configuration && !roster_.HasReaders();
  if (changes.rows_.empty() || isFollowedByAll) {
    return;
  }
  FleetNews news;
  news.views_.push_back(std::move(changes));
  // The others have heard of the last change, not of the quiet since.
  news.views_.back().base_ = lastChange;
  if (election_.IsPlacer()) {
    Spread(news);
  } else {
    TellHall(news);
  }
}

FleetNews
FleetMember::NewsSince(Instant aNow, const TableVersions& aVersions) const
{
  auto news = view_.NewsSince(aVersions);
  news.proof_ = configuration_.Tell(aNow);
  const bool isFollowing = following_ != Following::Told && following_ != Following::Starting;
  if (isFollowing) {
    news.sight_ = isStoreLost_ ? StoreSight::Lost : StoreSight::Heard;
  }
  return news;
}

void
FleetMember::OnNewsFetched(Instant aNow,
                           const std::optional<FleetNews>& aNews,
                           Duration aRoundTrip,
                           const std::string& aFrom)
{
  guide_.OnAnswer(aNow, aFrom, aNews ? aNews->sight_ : StoreSight::None);
  if (!aNews) {
    return;
  }
  if (following_ == Following::Told && aNews->sight_ == StoreSight::Lost) {
    OnStoreLost(aNow);
  } else if (following_ == Following::Told && aNews->sight_ == StoreSight::Heard) {
    OnStoreRegained(aNow);
  }
  OnNews(aNow, *aNews);
  TakeProof(aNow, aNews->proof_, aRoundTrip);
}

void
FleetMember::OnNews(Instant aNow, const FleetNews& aNews)
{
  if (aNews.isLastForNow_) {
    relay_.OnFailure(RelayEnd::Announced);
    ChooseFollowing(aNow);
  }
  limits_.OnAdmittedShares(aNow, aNews.parts_);
  for (const auto& doubt : aNews.doubts_) {
    NoteDoubt(aNow, doubt);
  }
  // What the store itself tells goes first on the tables that others write.
  const bool isFollowing = following_ == Following::Alone || following_ == Following::Closely;
  const bool ownRowsOnly = isFollowing && !isStoreLost_;
  if (!aNews.views_.empty() && !ownRowsOnly) {
    events_.Record(Event::ViewFromPeer,
                   "tables=" + std::to_string(aNews.views_.size()) +
                     " following=" + std::string(kFollowingNames.NameOf(following_)));
  }
  if (!view_.Take(aNow, aNews, ownRowsOnly)) {
    // Some were missed; the store has them all.
    relay_.OnFailure(RelayEnd::NewsMissed);
    ChooseFollowing(aNow);
  }
}

void
FleetMember::NoteDoubt(Instant aNow, const HoldDoubt& aDoubt)
{
  auto& until = doubts_.try_emplace(aDoubt.server_, Instant::min()).first->second;
  until = std::max(until, aNow + aDoubt.holds_);
}

void
FleetMember::OnRoutes(Instant aNow, std::shared_ptr<const RouteTable> aRoutes)
{
  keeper_.SetGroups(aNow, aRoutes->Configuration().groups_);
  actions_.OnRoutes(std::move(aRoutes));
}

void
FleetMember::OnPlacer(Instant aNow, const std::optional<PlacerRow>& aPlacer)
{
  const bool wasPlacer = election_.IsPlacer();
  election_.OnRow(aNow, aPlacer);
  start_.OnFleetRead(aNow, aPlacer.has_value());
  relay_.OnFailure(RelayEnd::PlacerChanged);
  nextReport_ = aNow;
  if (wasPlacer && !election_.IsPlacer()) {
    events_.Record(Event::PlacerClaimLost,
                   "placer=" + (aPlacer ? aPlacer->instance_ : std::string("-")));
    StopPlacers();
  }
}

void
FleetMember::OnStoreLost(Instant aNow)
{
  if (isStoreLost_) {
    return;
  }
  isStoreLost_ = true;
  nextFetch_ = aNow;
  view_.Directory().OnStoreLost(aNow);
  events_.Record(Event::StoreUnavailable,
                 "heard_ago_us=" + std::to_string((aNow - storeHeardAt_).count()));
  if (election_.IsPlacer()) {
    FleetNews news;
    news.isLastForNow_ = true;
    Spread(news);
  }
}

void
FleetMember::OnStoreRegained(Instant aNow)
{
  if (!isStoreLost_) {
    return;
  }
  isStoreLost_ = false;
  view_.Directory().OnStoreRegained(aNow);
  events_.Record(Event::StoreRecovered,
                 "following=" + std::string(kFollowingNames.NameOf(following_)));
}

void
FleetMember::OnToldLeaving(Instant aNow, const std::string& aServer, std::uint64_t aLife)
{
  if (!view_.Directory().RecordLeaving(aNow, aServer, aLife)) {
    return;
  }
  const bool isListedSo = view_.Directory().Find(aServer)->isLeaving_;
  events_.Record(Event::ServerToldLeaving,
                 "server=" + aServer + " listed_so=" + (isListedSo ? "true" : "false"));
  actions_.OnDirectoryChanged();
}

void
FleetMember::CountKey(const std::string& aService, KeyNumber aKey)
{
  counters_[aService].Count(aKey);
}

void
FleetMember::OnTime(Instant aNow)
{
  start_.OnStart(aNow);
  if (view_.Directory().Expire(aNow)) {
    events_.Record(Event::ServerUnlisted,
                   "servers=" + std::to_string(view_.Directory().All().size()));
    actions_.OnDirectoryChanged();
  }
  if (!isStoreLost_ && writes_.empty() && election_.ShouldClaim(aNow)) {
    Claim();
  }
  if (election_.IsPlacer()) {
    RunPlacers(aNow);
    SpreadTables(aNow);
    NoteFleetSize(aNow);
  }
  SendWrites(aNow);
  FollowLimits(aNow);
  FollowProofs(aNow);
  if (aNow >= nextReport_) {
    Report(aNow);
  }
  ChooseFollowing(aNow);
  NoteStaleness(aNow);
  AskReaders(aNow);
  // Readers alone are asked by those that they guide: two that are told by others would
  // keep each other from the store.
  if (isStoreLost_ && following_ != Following::Told && aNow >= nextFetch_) {
    FetchFromPeers(aNow);
  }
}

Following
FleetMember::HowToFollow(Instant aNow)
{
  if (election_.IsPlacer()) {
    return Following::Closely;
  }
  if (!IsReady()) {
    const bool isWaiting =
      following_ == Following::Starting && view_.Size() != FleetSize::Small && !start_.IsOver(aNow);
    return isWaiting ? Following::Starting : Following::Alone;
  }
  if (relay_.IsRelayed(aNow, view_.Versions())) {
    guide_.OnRelayed();
    return IsReading(aNow) ? Following::Relayed : Following::Told;
  }
  if (IsReadFor()) {
    guide_.OnRelayEnded(aNow);
    return guide_.IsGuided(aNow) ? Following::Told : Following::Alone;
  }
  // What a reader says is relied on: a long question would hide for seconds that the store
  // turns it away.
  return roster_.HasReaders() ? Following::Closely : Following::Alone;
}

bool
FleetMember::IsReading(Instant aNow) const
{
  if (roster_.HasReaders()) {
    return roster_.IsReader(settings_.self_.address_);
  }
  // The first answers of a placer name only those that it has heard so far.
  const bool isSettled = rosterSince_ && aNow - *rosterSince_ >= kRosterSettle;
  return isSettled || view_.Size() == FleetSize::Small;
}

bool
FleetMember::IsReadFor() const
{
  return roster_.HasReaders() && !roster_.IsReader(settings_.self_.address_);
}

FleetPeer
FleetMember::SelfAsPeer() const
{
  return { settings_.self_.address_, settings_.hall_, settings_.processorShare_ };
}

void
FleetMember::TellHall(const FleetNews& aNews)
{
  std::vector<FleetPeer> receivers;
  for (const auto& [address, peer] : roster_.Peers()) {
    if (peer.hall_ == settings_.hall_) {
      receivers.push_back(peer);
    }
  }
  actions_.SendNews(PlanNewsTree(std::move(receivers), SelfAsPeer()), aNews);
}

void
FleetMember::AskReaders(Instant aNow)
{
  if (!IsReadFor() || !guide_.IsDue(aNow)) {
    return;
  }
  const auto readers = roster_.ReadersFrom(settings_.hall_);
  if (const auto address = guide_.Next(aNow, readers, random_)) {
    actions_.FetchNews(*address, view_.Versions());
  }
}

void
FleetMember::ChooseFollowing(Instant aNow)
{
  const auto following = HowToFollow(aNow);
  if (following == Following::Told && relay_.IsRelayed(aNow, view_.Versions())) {
    OnStoreRegained(aNow);
  }
  if (following == following_) {
    return;
  }
  following_ = following;
  events_.Record(Event::FollowingChanged,
                 "following=" + std::string(kFollowingNames.NameOf(following)) +
                   " store_heard_ago_us=" + std::to_string((aNow - storeHeardAt_).count()) + " " +
                   relay_.Describe(aNow, view_.Versions()));
  actions_.Follow(following, view_.Versions());
  if (following == Following::Relayed) {
    OnStoreRegained(aNow);
  }
}

void
FleetMember::NoteStaleness(Instant aNow)
{
  const bool isHeard = election_.IsPlacer() || aNow - placerHeardAt_ < kNewsBound;
  const bool isStale = isStoreLost_ && !isHeard;
  if (isStale != isNewsStale_) {
    isNewsStale_ = isStale;
    actions_.OnNewsStale(isStale);
  }
}

void
FleetMember::FetchFromPeers(Instant aNow)
{
  nextFetch_ = aNow + kFetchInterval;
  // In a large fleet the others only know what its readers tell them.
  const bool hasReaders = roster_.HasReaders();
  auto addresses = hasReaders ? std::vector<std::string>() : settings_.seeds_;
  for (const auto& [address, peer] : roster_.Peers()) {
    if (!hasReaders || roster_.IsReader(address)) {
      addresses.push_back(address);
    }
  }
  std::erase(addresses, settings_.self_.address_);
  if (addresses.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> draw(0, addresses.size() - 1);
  actions_.FetchNews(addresses[draw(random_)], view_.Versions());
}

} // namespace latchslip
