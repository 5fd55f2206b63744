#pragma once

#include "LibScenario/SimulatedFleet.h"

namespace latchslip {

// One simulated instance: the real InstanceCore, with an outbox that runs its actions against the
// fakes and an event sink that counts its events.
class SimulatedFleet::SimulatedInstance
  : public Outbox
  , public EventSink
{
public:
  SimulatedInstance(SimulatedFleet& aFleet,
                    std::string aName,
                    std::string aHall,
                    Duration aClockOffset)
    : fleet_(aFleet)
    , name_(std::move(aName))
    , hall_(std::move(aHall))
    , clockOffset_(aClockOffset)
  {
  }

  // The instance's own clock. Clocks differ by a random offset, as monotonic clocks of machines do.
  Instant LocalTime() const { return fleet_.Now() + clockOffset_; }

  bool SendToPeer(const InstanceId& aTo, const PeerMessage& aMessage) override;
  void CallStore(CallTag aTag, const StoreCall& aCall) override
  {
    fleet_.CallStore(*this, aTag, aCall);
  }
  void SendGrant(CallTag aTag, const std::string&, const GrantCommand& aCommand) override
  {
    fleet_.SendGrant(*this, aTag, aCommand);
  }
  void SendWork(const WorkCommand& aCommand) override { fleet_.SendWork(*this, aCommand); }
  void CancelWork(WorkId aId) override { fleet_.CancelWork(*this, aId); }
  void AnswerCaller(CallerId aCaller, const WorkAnswer& aAnswer) override
  {
    fleet_.OnCallerAnswer(*this, aCaller, aAnswer);
  }
  void AnswerOperator(OperatorId aOperator, const OperatorAnswer& aAnswer) override
  {
    fleet_.OnOperatorAnswer(aOperator, aAnswer);
  }
  void Record(Event aEvent, std::string_view aDetail) override;

  SimulatedFleet& fleet_;
  std::string name_;
  std::string hall_;
  Duration clockOffset_;
  std::uint64_t incarnation_ = 0;
  std::unique_ptr<InstanceCore> core_;
  // Server of each request in flight; used to cancel it.
  std::map<WorkId, std::string> serverOfWork_;
  bool isLeaving_ = false;
  bool isStopped_ = false;
};

// One simulated backend server. state_ is null while the server is down.
struct SimulatedFleet::Server
{
  std::string name_;
  ServiceSettings settings_;
  std::string hall_;
  Duration clockOffset_{ 0 };
  std::uint64_t boot_ = 0;
  std::unique_ptr<ServerState> state_;
  // The host is lost: connections hang instead of being reset.
  bool isSilent_ = false;
  bool isShedding_ = false;
  std::uint64_t nextWork_ = 0;
  std::map<WorkId, std::uint64_t> workByCommand_;

  bool IsUp() const { return state_ != nullptr; }
  Instant ToLocalTime(Instant aNow) const { return aNow + clockOffset_; }
};

} // namespace latchslip
