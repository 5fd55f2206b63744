#pragma once

#include "LibKeys/OwnershipPlacer.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace latchslip {

// Simulates servers that hold keys, a row in a store and placers, on a simulated clock. After each
// step it checks that no key is held by two running servers, and that the fence rises with each
// change of the holder.
class PlacerWorld : public EventSink
{
public:
  static constexpr Duration kStep = milliseconds(10);
  static constexpr Duration kOneWayLatency = milliseconds(2);

  struct Holding
  {
    FenceNumber fence_ = 0;
    Instant until_{ 0 };
  };

  struct Server
  {
    std::string id_;
    std::string address_;
    bool isUp_ = true;
    bool isListed_ = true;
    bool isLeaving_ = false;
    // A placer has learned from the address that this server has ended.
    bool isProvenEnded_ = false;
    // Of a service without keys, whose servers do not know commands.
    bool hasNoKeys_ = false;
    // Partitioned from all placers.
    bool isPartitioned_ = false;
    // Partitioned from all placers that are not isolated.
    bool isWithIsolatedPlacer_ = false;
    // Commands are executed late and not acknowledged.
    bool respondsLate_ = false;
    // Distinguishes the incarnations that run under one id.
    std::uint64_t incarnation_ = 1;
    // The incarnation that is listed; 0 for the running one.
    std::uint64_t listedIncarnation_ = 0;
    // How often its connections were lost without a restart.
    std::uint64_t lostConnections_ = 0;
    // How often it restarted because its machine lost power, which closes no connection.
    std::uint64_t restartsWithoutPower_ = 0;
    // Its connections are lost when no command reaches it for that long.
    Duration idleTime_ = Duration::max();
    Instant commandAt_ = Instant::max();
    // The placer reaches it only through other instances, so in no session.
    bool isRelayed_ = false;
    // How long the work in progress continues after a release, which is acknowledged only after
    // that.
    Duration workTime_{ 0 };
    std::map<KeyNumber, Holding> held_;
    std::map<KeyNumber, FenceNumber> seen_;
  };

  class Placer : public PlacerActions
  {
  public:
    Placer(PlacerWorld& aWorld, OwnershipPlacerSettings aSettings)
      : placer_("rates", aSettings, *this, aWorld)
      , world_(aWorld)
    {
    }
    void SendCommand(const KeyCommand& aCommand) override
    {
      if (!aCommand.isRelease_) {
        ++world_.grantsByFence_[aCommand.fence_];
        world_.firstGrants_ += aCommand.isRenewal_ ? 0 : 1;
      }
      world_.Deliver(*this, aCommand);
    }
    void RecordUncertainLease(Instant, const std::string& aServer, Duration aDuration) override
    {
      world_.uncertainLeases_[aServer] = world_.now_ + aDuration;
    }
    void RecordEnded(const std::string& aServer, std::uint64_t) override
    {
      world_.servers_.at(aServer).isProvenEnded_ = true;
    }
    void Write(const KeyOwnership& aOwnership) override
    {
      written_ = aOwnership;
      writtenAt_ = world_.now_;
    }
    std::optional<ServerIncarnation> FindIncarnation(const std::string& aServer) const override
    {
      return world_.FindIncarnation(aServer);
    }

    OwnershipPlacer placer_;
    std::optional<KeyOwnership> written_;
    Instant writtenAt_{ 0 };
    Instant startedAt_{ 0 };
    bool isRunning_ = false;
    // It reaches neither the store nor other instances from then on, and stops after its bound.
    std::optional<Instant> isolatedAt_;
    // When it stopped for that.
    std::optional<Instant> stoppedAt_;

  private:
    PlacerWorld& world_;
  };

  explicit PlacerWorld(std::uint32_t aSeed = 1)
    : random_(aSeed)
  {
  }

  void Record(Event, std::string_view) override {}

  Server& AddServer(const std::string& aId, const std::string& aAddress)
  {
    auto& server = servers_[aId];
    server.id_ = aId;
    server.address_ = aAddress;
    return server;
  }

  // Restarts the server under its id with empty state, and before its new record is listed.
  static void RestartUnlisted(Server& aServer)
  {
    if (aServer.listedIncarnation_ == 0) {
      aServer.listedIncarnation_ = aServer.incarnation_;
    }
    Restart(aServer);
  }

  // The session in which commands reach the server now.
  static ServerSession SessionOf(const Server& aServer)
  {
    const auto shown = aServer.incarnation_ - aServer.restartsWithoutPower_;
    return aServer.isRelayed_ ? 0 : shown * 1000 + aServer.lostConnections_;
  }

  // Restarts the server under its id with empty state.
  static void Restart(Server& aServer)
  {
    aServer.held_.clear();
    aServer.seen_.clear();
    aServer.isUp_ = true;
    ++aServer.incarnation_;
  }

  // Makes a new placer the one named in the row, without notice to the former one. The new placer
  // knows only what is in the store.
  Placer& TakeOver()
  {
    auto& placer = TakeOverFrom(stored_);
    if (stored_ && stored_->epoch_ < epoch_) {
      placer.placer_.BlockUntilLostGrantsExpire(now_);
    }
    return placer;
  }

  // Makes the placer the one named in the row, as it is.
  void Name(Placer& aPlacer) { named_ = &aPlacer; }

  // Like TakeOver, for an instance that has received all writes.
  Placer& TakeOverRemembering() { return TakeOverFrom(latest_); }

  void TakeCopy() { copy_ = stored_; }
  // Restores the store from the copy, in a new epoch.
  void ReturnFromCopy()
  {
    stored_ = copy_;
    ++epoch_;
  }

  void Stop(Placer& aPlacer)
  {
    aPlacer.isRunning_ = false;
    std::erase_if(pending_, [&](const Pending& aEntry) { return aEntry.placer_ == &aPlacer; });
  }

  // Tells the newest placer that the one before it has stopped, as that instance's report does.
  void ReportStopOfFormer()
  {
    const auto& former = placers_.at(placers_.size() - 2);
    placers_.back()->placer_.OnFormerPlacerStopped(now_, former->startedAt_);
  }

  void Pass(Duration aTime)
  {
    const auto end = now_ + aTime;
    while (now_ < end && !testing::Test::HasFailure()) {
      now_ += kStep;
      ExecuteDue();
      for (const auto& placer : placers_) {
        Run(*placer);
      }
      Check();
    }
  }

  // Number of keys that a running server holds as the owner in the row.
  std::size_t ServedKeys() const
  {
    std::size_t served = 0;
    for (const auto& [id, server] : servers_) {
      for (const auto& [key, holding] : server.held_) {
        const auto* range = stored_ ? stored_->Find(key) : nullptr;
        const bool isOwner = range != nullptr && range->owner_ == id && range->previous_.empty();
        served += server.isUp_ && holding.until_ > now_ && isOwner ? 1 : 0;
      }
    }
    return served;
  }

  // Each simulated key stands for a block of this many, to keep a step cheap.
  static constexpr KeyNumber kBlock = 256;
  static constexpr std::size_t kBlocks = (kLastKey + 1) / kBlock;

  Instant now_ = seconds(1000);
  std::map<std::string, Server> servers_;
  std::map<std::string, Instant> uncertainLeases_;
  std::optional<KeyOwnership> stored_;
  // The last write, which the store may have lost.
  std::optional<KeyOwnership> latest_;
  StoreEpoch epoch_ = 1;
  bool isStoreDown_ = false;
  // How long the store takes for a write.
  Duration writeTime_{ 0 };
  bool usesLoadManagement_ = false;
  // Number of grants sent, by fence.
  std::map<FenceNumber, std::size_t> grantsByFence_;
  OwnershipPlacerSettings settings_;
  std::vector<std::unique_ptr<Placer>> placers_;
  std::size_t changes_ = 0;
  // Number of commands sent to servers that execute them late.
  std::size_t lateCommands_ = 0;
  // Releases fail as not sent until then.
  Instant releasesUnsentUntil_ = Instant::min();
  // Maximum number of events (commands or answers) outstanding at once for one server.
  std::size_t maxOutstanding_ = 0;
  // Number of grants that were not renewals.
  std::size_t firstGrants_ = 0;
  std::minstd_rand random_;

private:
  Placer& TakeOverFrom(const std::optional<KeyOwnership>& aOwnership)
  {
    placers_.push_back(std::make_unique<Placer>(*this, settings_));
    auto& placer = *placers_.back();
    placer.isRunning_ = true;
    placer.startedAt_ = now_;
    named_ = &placer;
    placer.placer_.SetEpoch(epoch_);
    placer.placer_.SetLoadManagement(usesLoadManagement_);
    placer.placer_.Start(now_, aOwnership, uncertainLeases_);
    return placer;
  }

  struct Pending
  {
    Instant at_{ 0 };
    Placer* placer_ = nullptr;
    KeyCommand command_;
    // Arrival of the command at the server; otherwise arrival of its answer.
    bool isArrival_ = true;
    bool isAnswered_ = true;
    CommandOutcome outcome_;
  };

  std::optional<ServerIncarnation> FindIncarnation(const std::string& aServer) const
  {
    const auto found = servers_.find(aServer);
    if (found == servers_.end()) {
      return std::nullopt;
    }
    const auto& server = found->second;
    return ServerIncarnation{ server.address_,
                              server.isListed_,
                              server.isLeaving_,
                              server.isProvenEnded_,
                              IsSucceeded(server) };
  }

  // Whether a server with a higher id is listed at the address of this one. Like the order of the
  // records in the store, it does not prove that this one has ended.
  bool IsSucceeded(const Server& aServer) const
  {
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& aEntry) {
      const auto& other = aEntry.second;
      return other.id_ > aServer.id_ && other.address_ == aServer.address_ && other.isListed_ &&
             !other.isProvenEnded_;
    });
  }

  // Another server that answers at the address of a server that has ended; null if there is none.
  const Server* FindSuccessor(const Server& aServer) const
  {
    const auto other = std::find_if(servers_.begin(), servers_.end(), [&](const auto& aEntry) {
      const auto& server = aEntry.second;
      return server.isUp_ && server.address_ == aServer.address_ && !server.isPartitioned_;
    });
    return aServer.isUp_ || other == servers_.end() ? nullptr : &other->second;
  }

  // Such a placer gets no news of servers, and none of its writes ends.
  void RunIsolated(Placer& aPlacer)
  {
    const auto bound = aPlacer.placer_.HasShortIsolation() ? settings_.shortIsolatedRenewalTime_
                                                           : settings_.isolatedRenewalTime_;
    if (now_ - *aPlacer.isolatedAt_ >= bound) {
      aPlacer.stoppedAt_ = now_;
      Stop(aPlacer);
      return;
    }
    aPlacer.placer_.OnTime(now_, false);
  }

  void Run(Placer& aPlacer)
  {
    if (!aPlacer.isRunning_) {
      return;
    }
    if (aPlacer.isolatedAt_) {
      RunIsolated(aPlacer);
      return;
    }
    std::vector<KeyServer> listed;
    for (const auto& [id, server] : servers_) {
      if (server.isListed_ && !server.hasNoKeys_) {
        const bool isUsable = !server.isLeaving_ && !server.isProvenEnded_ && !IsSucceeded(server);
        const auto incarnation =
          server.listedIncarnation_ == 0 ? server.incarnation_ : server.listedIncarnation_;
        listed.push_back({ id, server.address_, 1, isUsable, incarnation });
      }
    }
    aPlacer.placer_.SetEpoch(epoch_);
    aPlacer.placer_.SetLoadManagement(usesLoadManagement_);
    aPlacer.placer_.SetServers(now_, listed);
    aPlacer.placer_.OnTime(now_, !isStoreDown_);
    if (!aPlacer.written_ || isStoreDown_ || now_ < aPlacer.writtenAt_ + writeTime_) {
      return;
    }
    const auto written = *std::exchange(aPlacer.written_, std::nullopt);
    if (&aPlacer != named_) {
      aPlacer.placer_.OnWriteFailed(now_, *stored_);
      Stop(aPlacer);
      return;
    }
    stored_ = written;
    latest_ = written;
    ++changes_;
    aPlacer.placer_.OnWritten(now_);
  }

  void Deliver(Placer& aPlacer, const KeyCommand& aCommand)
  {
    const auto found = servers_.find(aCommand.server_);
    const bool isReached = found != servers_.end() && !found->second.isPartitioned_ &&
                           (!found->second.isWithIsolatedPlacer_ || aPlacer.isolatedAt_);
    Pending pending{ now_ + kOneWayLatency, &aPlacer, aCommand, true, true, {} };
    if (isReached && now_ > found->second.commandAt_ &&
        now_ - found->second.commandAt_ >= found->second.idleTime_) {
      ++found->second.lostConnections_;
    }
    if (isReached) {
      found->second.commandAt_ = now_;
    }
    const bool isUnsent = aCommand.isRelease_ && now_ < releasesUnsentUntil_;
    if (!isReached || isUnsent) {
      pending.isArrival_ = false;
      pending.outcome_.end_ = CommandStatus::NotSent;
    } else if (const auto* successor = FindSuccessor(found->second)) {
      pending.isArrival_ = false;
      pending.outcome_.end_ =
        successor->hasNoKeys_ ? CommandStatus::Malformed : CommandStatus::OtherIncarnation;
    } else if (!found->second.isUp_) {
      pending.isArrival_ = false;
      pending.outcome_.end_ = CommandStatus::Refused;
    } else if (aCommand.session_ != 0 && aCommand.session_ != SessionOf(found->second)) {
      pending.isArrival_ = false;
      pending.outcome_.end_ = CommandStatus::SessionEnded;
    } else if (found->second.respondsLate_) {
      ++lateCommands_;
      pending.isAnswered_ = false;
      pending.at_ = now_ + seconds(2) + milliseconds(random_() % 10000);
      Pending lost{ now_ + milliseconds(1500), &aPlacer, aCommand, false, true, {} };
      lost.outcome_.end_ = CommandStatus::Unanswered;
      lost.outcome_.session_ = SessionOf(found->second);
      pending_.push_back(lost);
    }
    pending_.push_back(pending);
    const auto together =
      std::count_if(pending_.begin(), pending_.end(), [&](const Pending& aEntry) {
        return aEntry.command_.server_ == aCommand.server_;
      });
    maxOutstanding_ = std::max(maxOutstanding_, static_cast<std::size_t>(together));
  }

  void ExecuteDue()
  {
    std::vector<Pending> due;
    std::erase_if(pending_, [&](const Pending& aEntry) {
      if (aEntry.at_ > now_) {
        return false;
      }
      due.push_back(aEntry);
      return true;
    });
    for (auto& entry : due) {
      if (entry.isArrival_) {
        auto& server = servers_.at(entry.command_.server_);
        entry.outcome_ = Execute(server, entry.command_);
        entry.outcome_.session_ = SessionOf(server);
        if (entry.command_.isRelease_ && server.workTime_ > Duration(0)) {
          entry.isArrival_ = false;
          entry.at_ = now_ + server.workTime_;
          pending_.push_back(entry);
          continue;
        }
      }
      if (entry.isAnswered_ && entry.placer_->isRunning_) {
        entry.placer_->placer_.OnCommandEnded(now_, entry.command_.number_, entry.outcome_);
      }
    }
  }

  CommandOutcome Execute(Server& aServer, const KeyCommand& aCommand)
  {
    if (!aServer.isUp_) {
      return { CommandStatus::Refused, "" };
    }
    const auto first = (aCommand.first_ + kBlock - 1) / kBlock * kBlock;
    for (KeyNumber key = first; !aCommand.isRelease_ && key <= aCommand.last_; key += kBlock) {
      if (aServer.seen_[key] > aCommand.fence_) {
        return { CommandStatus::HigherFence, "" };
      }
    }
    for (KeyNumber key = first; key <= aCommand.last_; key += kBlock) {
      aServer.seen_[key] = std::max(aServer.seen_[key], aCommand.fence_);
      if (aCommand.isRelease_) {
        aServer.held_.erase(key);
        continue;
      }
      const auto held = aServer.held_.find(key);
      const bool isNew = held == aServer.held_.end() || held->second.until_ <= now_;
      const auto holder = aServer.id_ + " incarnation " + std::to_string(aServer.incarnation_);
      if (isNew && holders_[key] != holder) {
        EXPECT_GT(aCommand.fence_, fences_[key]) << "key " << key << " at " << holder;
        holders_[key] = holder;
      }
      fences_[key] = std::max(fences_[key], aCommand.fence_);
      // Clock drift of the server.
      constexpr double kSlow = 1.02;
      aServer.held_[key] = { aCommand.fence_,
                             now_ +
                               Duration(static_cast<Duration::rep>(
                                 static_cast<double>(aCommand.leaseDuration_.count()) * kSlow)) };
    }
    return { CommandStatus::Done, aCommand.isRelease_ ? "warm" : "" };
  }

  void Check()
  {
    std::map<KeyNumber, std::string> holders;
    for (auto& [id, server] : servers_) {
      for (const auto& [key, holding] : server.held_) {
        if (!server.isUp_ || holding.until_ <= now_) {
          continue;
        }
        const auto [entry, isFirst] = holders.try_emplace(key, id);
        ASSERT_TRUE(isFirst) << "key " << key << " is held by " << entry->second << " and " << id
                             << " at " << now_.count();
      }
    }
  }

  std::optional<KeyOwnership> copy_;
  Placer* named_ = nullptr;
  std::vector<Pending> pending_;
  std::map<KeyNumber, std::string> holders_;
  std::map<KeyNumber, FenceNumber> fences_;
};

} // namespace latchslip
