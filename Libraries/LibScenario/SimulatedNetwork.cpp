#include "LibScenario/SimulatedFleet.h"

#include "LibScenario/SimulatedFleetParts.h"

#include <boost/json.hpp>

namespace latchslip {

namespace {

constexpr std::uint64_t kMinDelayMicros = 200;
constexpr std::uint64_t kDelayJitterMicros = 800;
constexpr Duration kGrantTimeout = milliseconds(450);
constexpr Duration kStoreTimeout = seconds(2);
constexpr Duration kWorkTimeoutSlack = seconds(1);

} // namespace

bool
SimulatedFleet::SimulatedInstance::SendToPeer(const InstanceId& aTo, const PeerMessage& aMessage)
{
  const std::string name(NameOfInstance(aTo));
  const auto found = fleet_.instances_.find(name);
  const bool hasLink = found != fleet_.instances_.end() && found->second->core_ &&
                       found->second->core_->Members().Self() == aTo;
  if (!hasLink) {
    return false;
  }
  ++fleet_.controlMessages_;
  const auto from = core_->Members().Self();
  fleet_.Deliver(name_, name, [&world = fleet_, name, from, aTo, aMessage] {
    auto& peer = *world.instances_.at(name);
    if (peer.core_->Members().Self() == aTo) {
      peer.core_->OnPeerMessage(peer.LocalTime(), from, aMessage);
    }
  });
  return true;
}

void
SimulatedFleet::SimulatedInstance::Record(Event aEvent, std::string_view)
{
  ++fleet_.eventCounts_[aEvent];
}

Duration
SimulatedFleet::NetworkDelay()
{
  return Duration(kMinDelayMicros + random_() % kDelayJitterMicros);
}

bool
SimulatedFleet::IsPartitioned(const std::string& aOne, const std::string& aOther) const
{
  return partitions_.contains(std::minmax(aOne, aOther));
}

void
SimulatedFleet::RunAtDestination(const std::string& aTo, std::function<void()> aAction)
{
  if (frozen_.contains(aTo)) {
    pausedActions_[aTo].push_back([this, aTo, action = std::move(aAction)]() mutable {
      RunAtDestination(aTo, std::move(action));
    });
    return;
  }
  const auto instance = instances_.find(aTo);
  if (instance != instances_.end() && !instance->second->core_) {
    return;
  }
  aAction();
}

void
SimulatedFleet::Deliver(const std::string& aFrom,
                        const std::string& aTo,
                        std::function<void()> aAction)
{
  if (IsPartitioned(aFrom, aTo)) {
    heldMessages_[{ aFrom, aTo }].push_back(std::move(aAction));
    return;
  }
  // Messages in one direction keep their order, as on a TCP connection.
  auto& last = lastArrival_[{ aFrom, aTo }];
  last = std::max(last, Now() + NetworkDelay());
  queue_.ScheduleAt(last, [this, aFrom, aTo, action = std::move(aAction)]() mutable {
    if (IsPartitioned(aFrom, aTo)) {
      heldMessages_[{ aFrom, aTo }].push_back(std::move(action));
      return;
    }
    RunAtDestination(aTo, std::move(action));
  });
}

void
SimulatedFleet::ConnectPeers(SimulatedInstance& aOne)
{
  for (auto& [name, other] : instances_) {
    if (name == aOne.name_ || !other->core_) {
      continue;
    }
    for (const auto& [from, to] :
         { std::pair(&aOne, other.get()), std::pair(other.get(), &aOne) }) {
      const auto peer = to->core_->Members().Self();
      Deliver(to->name_, from->name_, [from = from, peer, hall = to->hall_] {
        from->core_->OnPeerUp(from->LocalTime(), peer, hall);
      });
    }
  }
}

void
SimulatedFleet::RecordStored(const Transaction& aTransaction)
{
  for (const auto& write : aTransaction.writes_) {
    const auto& row = table_.Rows().at(write.key_);
    if (write.key_ == kConfigurationKey) {
      const auto token = TokenOfConfigurationRow(write.value_);
      invariants_.OnRowStored(write.key_, row.version_, token);
      invariants_.OnConfigurationStored(Now(), row.version_, token);
    } else if (write.key_.starts_with(kPlacementPrefix)) {
      invariants_.OnRowStored(
        write.key_, row.version_, ParsePlacement(write.value_).value().token_);
    }
  }
}

void
SimulatedFleet::ServeStore(const std::string& aInstance,
                           std::uint64_t aIncarnation,
                           CallTag aTag,
                           const StoreCall& aCall)
{
  StoreReply reply;
  if (!storeFaults_.isUnavailable_) {
    reply = aCall.isRead_ ? table_.Read(aCall.stamps_) : table_.Apply(aCall.transaction_);
    if (!aCall.isRead_ && reply.status_ == StoreStatus::Done) {
      RecordStored(aCall.transaction_);
    }
    if (!aCall.isRead_ && storeFaults_.answersToLose_ > 0) {
      --storeFaults_.answersToLose_;
      reply = { StoreStatus::Indeterminate, {} };
    }
  }
  Deliver("store", aInstance, [this, aInstance, aIncarnation, aTag, reply] {
    auto& instance = *instances_.at(aInstance);
    if (instance.incarnation_ == aIncarnation) {
      instance.core_->OnStoreReply(instance.LocalTime(), aTag, reply);
    }
  });
}

void
SimulatedFleet::CallStore(SimulatedInstance& aFrom, CallTag aTag, const StoreCall& aCall)
{
  const auto name = aFrom.name_;
  const auto incarnation = aFrom.incarnation_;
  Deliver(name, "store", [this, name, incarnation, aTag, aCall] {
    queue_.ScheduleAfter(storeFaults_.delay_, [this, name, incarnation, aTag, aCall] {
      ServeStore(name, incarnation, aTag, aCall);
    });
  });
  // Timeout of the call. A write may still be committed later, so its result is indeterminate.
  queue_.ScheduleAfter(kStoreTimeout, [this, name, incarnation, aTag, isRead = aCall.isRead_] {
    RunAtDestination(name, [this, name, incarnation, aTag, isRead] {
      auto& instance = *instances_.at(name);
      if (instance.incarnation_ == incarnation) {
        const auto status = isRead ? StoreStatus::Unavailable : StoreStatus::Indeterminate;
        instance.core_->OnStoreReply(instance.LocalTime(), aTag, { status, {} });
      }
    });
  });
}

SimulatedFleet::Server*
SimulatedFleet::FindServer(const std::string& aName)
{
  const auto found = servers_.find(aName);
  return found == servers_.end() || !found->second->IsUp() ? nullptr : found->second.get();
}

void
SimulatedFleet::SendGrant(SimulatedInstance& aFrom, CallTag aTag, const GrantCommand& aCommand)
{
  const auto instance = aFrom.name_;
  const auto incarnation = aFrom.incarnation_;
  const auto sentAt = Now();
  Deliver(instance, aCommand.server_, [this, instance, incarnation, aTag, aCommand, sentAt] {
    auto* server = FindServer(aCommand.server_);
    if (server == nullptr) {
      RefuseConnection(aCommand.server_, instance, incarnation, aTag);
      return;
    }
    const auto reply = server->state_->OnGrant(server->ToLocalTime(Now()), aCommand);
    if (reply.accepted_ && server->settings_.checksGrants_) {
      const Instant until(aCommand.validUntil_);
      invariants_.OnGranted(Now(),
                            server->settings_.name_,
                            server->name_,
                            until - server->clockOffset_,
                            aCommand.ranges_);
    }
    Deliver(aCommand.server_, instance, [this, instance, incarnation, aTag, reply, sentAt] {
      auto& side = *instances_.at(instance);
      // The HTTP client's timeout: later answers are dropped.
      if (side.incarnation_ == incarnation && Now() - sentAt <= kGrantTimeout) {
        side.core_->OnGrantReply(side.LocalTime(), aTag, reply);
      }
    });
  });
}

void
SimulatedFleet::RefuseConnection(const std::string& aServer,
                                 const std::string& aInstance,
                                 std::uint64_t aIncarnation,
                                 CallTag aTag)
{
  if (servers_.at(aServer)->isSilent_) {
    return;
  }
  Deliver(aServer, aInstance, [this, aInstance, aIncarnation, aTag] {
    auto& side = *instances_.at(aInstance);
    if (side.incarnation_ == aIncarnation) {
      side.core_->OnConnectionRefused(side.LocalTime(), aTag);
    }
  });
}

void
SimulatedFleet::ReplyWork(const std::string& aServer,
                          const std::string& aInstance,
                          std::uint64_t aIncarnation,
                          WorkId aId,
                          const WorkReply& aReply)
{
  Deliver(aServer, aInstance, [this, aInstance, aIncarnation, aId, aReply] {
    auto& instance = *instances_.at(aInstance);
    if (instance.incarnation_ == aIncarnation && instance.serverOfWork_.erase(aId) != 0) {
      instance.core_->OnWorkReply(instance.LocalTime(), aId, aReply);
    }
  });
}

void
SimulatedFleet::SendWork(SimulatedInstance& aFrom, const WorkCommand& aCommand)
{
  const auto instance = aFrom.name_;
  const auto incarnation = aFrom.incarnation_;
  aFrom.serverOfWork_[aCommand.id_] = aCommand.server_;
  const auto& server = *servers_.at(aCommand.server_);
  if (!server.IsUp() && !server.isSilent_) {
    WorkReply refused;
    refused.outcome_ = WorkOutcome::NotSent;
    ReplyWork(aCommand.server_, instance, incarnation, aCommand.id_, refused);
    return;
  }
  Deliver(instance, aCommand.server_, [this, instance, incarnation, aCommand] {
    ServeWork(instance, incarnation, aCommand);
  });
  const auto timeout = aCommand.request_.deadline_ - aFrom.LocalTime() + kWorkTimeoutSlack;
  queue_.ScheduleAfter(timeout, [this, instance, incarnation, id = aCommand.id_] {
    RunAtDestination(instance, [this, instance, incarnation, id] {
      auto& side = *instances_.at(instance);
      if (side.incarnation_ == incarnation && side.serverOfWork_.erase(id) != 0) {
        side.core_->OnWorkReply(side.LocalTime(), id, WorkReply{});
      }
    });
  });
}

void
SimulatedFleet::ServeWork(const std::string& aInstance,
                          std::uint64_t aIncarnation,
                          const WorkCommand& aCommand)
{
  auto* server = FindServer(aCommand.server_);
  if (server == nullptr) {
    return;
  }
  if (server->isShedding_) {
    WorkReply shed;
    shed.outcome_ = WorkOutcome::Shed;
    ReplyWork(aCommand.server_, aInstance, aIncarnation, aCommand.id_, shed);
    return;
  }
  ServerWork work;
  work.id_ = ++server->nextWork_;
  work.requestId_ = aCommand.request_.requestId_;
  work.group_ = aCommand.request_.group_;
  work.hash_ = aCommand.hash_;
  work.fence_ = aCommand.fence_;
  work.validUntil_ = aCommand.validUntil_;
  const auto exceeded = server->state_->SlotsExceeded();
  WorkReply reply;
  switch (server->state_->OnWork(server->ToLocalTime(Now()), work)) {
    case StartResult::Refused:
      reply.outcome_ = WorkOutcome::Refused;
      break;
    case StartResult::Shed:
      reply.outcome_ = WorkOutcome::Shed;
      break;
    case StartResult::Expired:
      reply.outcome_ = WorkOutcome::Expired;
      break;
    case StartResult::Started:
      invariants_.OnWorkStarted(Now(),
                                server->settings_.name_,
                                server->name_,
                                server->settings_.checksGrants_,
                                aCommand.hash_,
                                work.id_);
      server->workByCommand_[aCommand.id_] = work.id_;
      queue_.ScheduleAfter(
        server->settings_.serviceTime_,
        [this,
         name = server->name_,
         boot = server->boot_,
         aInstance,
         aIncarnation,
         aCommand,
         id = work.id_] {
          RunAtDestination(name, [this, name, boot, aInstance, aIncarnation, aCommand, id] {
            EndWork(*servers_.at(name), aInstance, aIncarnation, aCommand, boot, id);
          });
        });
      return;
  }
  if (server->state_->SlotsExceeded() != exceeded) {
    invariants_.OnSlotsExceeded(Now(), server->name_);
  }
  ReplyWork(aCommand.server_, aInstance, aIncarnation, aCommand.id_, reply);
}

void
SimulatedFleet::EndWork(Server& aServer,
                        const std::string& aInstance,
                        std::uint64_t aIncarnation,
                        const WorkCommand& aCommand,
                        std::uint64_t aBoot,
                        std::uint64_t aWork)
{
  if (!aServer.IsUp() || aServer.boot_ != aBoot) {
    return;
  }
  const bool isRunning = aServer.workByCommand_.erase(aCommand.id_) != 0;
  invariants_.OnWorkEnded(aServer.settings_.name_, aServer.name_, aWork);
  if (!isRunning) {
    return;
  }
  WorkReply reply;
  reply.outcome_ = WorkOutcome::Refused;
  if (aServer.state_->Finish(aServer.ToLocalTime(Now()), aWork)) {
    invariants_.OnExecuted(Now(), aCommand.request_.requestId_);
    busy_[aServer.name_] += aServer.settings_.serviceTime_;
    ++executedByGroup_[{ aServer.settings_.name_, aCommand.request_.group_ }];
    reply.outcome_ = WorkOutcome::Answered;
    reply.status_ = 200;
    reply.body_ = std::make_shared<const std::string>(
      ExpectedBody(aCommand.request_.requestId_, aCommand.request_.key_));
  }
  ReplyWork(aServer.name_, aInstance, aIncarnation, aCommand.id_, reply);
}

void
SimulatedFleet::CancelWork(SimulatedInstance& aFrom, WorkId aId)
{
  const auto found = aFrom.serverOfWork_.find(aId);
  if (found == aFrom.serverOfWork_.end()) {
    return;
  }
  const auto instance = aFrom.name_;
  const auto incarnation = aFrom.incarnation_;
  const auto name = found->second;
  Deliver(instance, name, [this, instance, incarnation, name, aId] {
    auto* server = FindServer(name);
    if (server == nullptr) {
      return;
    }
    const auto running = server->workByCommand_.find(aId);
    if (running == server->workByCommand_.end() || !server->state_->Cancel(running->second)) {
      return;
    }
    invariants_.OnWorkEnded(server->settings_.name_, name, running->second);
    server->workByCommand_.erase(running);
    WorkReply reply;
    reply.outcome_ = WorkOutcome::Cancelled;
    ReplyWork(name, instance, incarnation, aId, reply);
  });
}

std::string
SimulatedFleet::ExpectedBody(const std::string& aRequestId, const std::string& aKey) const
{
  return "answer to " + aRequestId + " for " + aKey;
}

void
SimulatedFleet::OnCallerAnswer(SimulatedInstance&, CallerId aCaller, const WorkAnswer& aAnswer)
{
  const auto found = callers_.find(aCaller);
  if (found == callers_.end()) {
    return;
  }
  const auto caller = found->second;
  callers_.erase(found);
  invariants_.OnAnswered(
    Now(), caller.requestId_, aAnswer, ExpectedBody(caller.requestId_, caller.key_));
  outcomes_[caller.requestId_] = { aAnswer.outcome_, aAnswer.reason_ };
  switch (aAnswer.outcome_) {
    case RequestOutcome::Answered: {
      ++counts_.answered_;
      const auto [gap, isNew] =
        gaps_[caller.service_].emplace(caller.key_, std::pair(Now(), Duration{ 0 }));
      if (!isNew) {
        gap->second.second = std::max(gap->second.second, Now() - gap->second.first);
        gap->second.first = Now();
      }
      break;
    }
    case RequestOutcome::NotRun:
      ++counts_.notRun_;
      break;
    case RequestOutcome::Unknown:
      ++counts_.unknown_;
      break;
  }
}

void
SimulatedFleet::OnOperatorAnswer(OperatorId aOperator, const OperatorAnswer& aAnswer)
{
  const auto found = planOfOperator_.find(aOperator);
  if (found == planOfOperator_.end()) {
    return;
  }
  const auto space = found->second.find(' ');
  auto& confirmation = confirmations_[found->second.substr(space + 1)];
  if (found->second.starts_with("plan")) {
    confirmation.plan_ = aAnswer.body_;
    return;
  }
  confirmation.status_ = aAnswer.status_;
  confirmation.answer_ = aAnswer.body_;
  confirmation.answeredAt_ = Now();
  if (aAnswer.status_ == 200) {
    const auto body = boost::json::parse(aAnswer.body_).get_object();
    const auto revision = body.at("revision").to_number<RowVersion>();
    const auto& row = table_.Rows().at(std::string(kConfigurationKey));
    if (row.version_ == revision) {
      invariants_.OnConfigurationConfirmed(revision, TokenOfConfigurationRow(row.value_));
    }
  }
}

} // namespace latchslip
