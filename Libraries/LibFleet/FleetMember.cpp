#include "LibFleet/FleetMember.h"

#include "LibFleet/ServicePlacer.h"

#include <algorithm>

namespace latchslip {

namespace {

// Between two questions for news while the store is out of reach.
constexpr Duration kFetchInterval = milliseconds(500);
// A placer that answered within this time also tells what changes: two reports.
constexpr Duration kNewsBound = milliseconds(1800);
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
{
}

FleetMember::~FleetMember() = default;

void
FleetMember::OnView(Instant aNow, const TableView& aView)
{
  storeHeardAt_ = aNow;
  const auto before = view_.LastChanges();
  if (!view_.Take(aNow, aView)) {
    return;
  }
  if (!election_.IsPlacer() || aView.rows_.empty()) {
    return;
  }
  // The configuration is followed by everybody.
  if (aView.table_ == FleetTable::Servers) {
    FleetNews news;
    news.views_.push_back(aView);
    // The others have heard of the last change, not of the quiet since.
    news.views_.back().base_ = before.at(static_cast<std::size_t>(aView.table_));
    Spread(news);
  }
}

void
FleetMember::OnNews(Instant aNow, const FleetNews& aNews)
{
  if (aNews.isLastForNow_) {
    relay_.OnFailure(RelayEnd::Announced);
    ChooseFollowing(aNow);
  }
  for (const auto& doubt : aNews.doubts_) {
    auto& until = doubts_.try_emplace(doubt.server_, Instant::min()).first->second;
    until = std::max(until, aNow + doubt.holds_);
  }
  // What the store itself tells goes first on the tables that others write.
  const bool ownRowsOnly = following_ != Following::Relayed && !isStoreLost_;
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
FleetMember::OnRoutes(std::shared_ptr<const RouteTable> aRoutes)
{
  actions_.OnRoutes(std::move(aRoutes));
}

void
FleetMember::OnPlacer(Instant aNow, const std::optional<PlacerRow>& aPlacer)
{
  const bool wasPlacer = election_.IsPlacer();
  election_.OnRow(aNow, aPlacer);
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
FleetMember::CountKey(const std::string& aService, KeyNumber aKey)
{
  counters_[aService].Count(aKey);
}

void
FleetMember::OnTime(Instant aNow)
{
  if (view_.Directory().Expire(aNow)) {
    events_.Record(Event::ServerUnlisted,
                   "servers=" + std::to_string(view_.Directory().All().size()));
    actions_.OnDirectoryChanged();
  }
  if (!isStoreLost_ && view_.Routes() && writes_.empty() && election_.ShouldClaim(aNow)) {
    Claim();
  }
  if (election_.IsPlacer()) {
    RunPlacers(aNow);
  }
  SendWrites(aNow);
  if (aNow >= nextReport_) {
    Report(aNow);
  }
  ChooseFollowing(aNow);
  NoteStaleness(aNow);
  if (isStoreLost_ && aNow >= nextFetch_) {
    FetchFromPeers(aNow);
  }
}

void
FleetMember::ChooseFollowing(Instant aNow)
{
  auto following = Following::Alone;
  if (election_.IsPlacer()) {
    following = Following::Closely;
  } else if (IsReady() && relay_.IsRelayed(aNow, view_.Versions())) {
    following = Following::Relayed;
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
  auto addresses = instances_;
  addresses.insert(addresses.end(), settings_.seeds_.begin(), settings_.seeds_.end());
  std::erase(addresses, settings_.self_.address_);
  if (addresses.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> draw(0, addresses.size() - 1);
  actions_.FetchNews(addresses[draw(random_)], view_.Versions());
}

} // namespace latchslip
