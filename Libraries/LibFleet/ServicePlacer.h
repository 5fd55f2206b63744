#pragma once

#include "LibFleet/FleetMember.h"

namespace latchslip {

// Connects the OwnershipPlacer of one service to its FleetMember: adds the service's name to
// commands and writes, and looks up servers in the directory.
class FleetMember::ServicePlacer : public PlacerActions
{
public:
  ServicePlacer(FleetMember& aMember, std::string aService)
    : placer_(aService, aMember.settings_.placer_, *this, aMember.events_)
    , member_(aMember)
    , service_(std::move(aService))
  {
  }

  void SendCommand(const KeyCommand& aCommand) override
  {
    member_.actions_.SendCommand(service_, aCommand);
  }
  std::optional<ServerIncarnation> FindIncarnation(const std::string& aServer) const override
  {
    const auto& directory = member_.Directory();
    const auto* record = directory.FindAny(aServer);
    if (record == nullptr) {
      return std::nullopt;
    }
    return ServerIncarnation{ record->address_,
                              directory.Find(aServer) != nullptr,
                              record->IsLeaving(),
                              directory.IsProvenEnded(aServer),
                              directory.HasEnded(aServer) };
  }
  void RecordUncertainLease(Instant aNow, const std::string& aServer, Duration aDuration) override
  {
    member_.BroadcastUncertainLease(aNow, { aServer, aDuration });
  }
  void RecordEnded(const std::string& aServer, std::uint64_t aIncarnation) override
  {
    member_.OnServerEnded(aServer, aIncarnation);
  }
  void Write(const KeyOwnership& aOwnership) override { member_.QueueWrite(aOwnership); }

  OwnershipPlacer placer_;
  // When the placer is next given the servers. Their weights change slowly; a change of the
  // directory makes it due at once.
  Instant nextServersAt_ = Instant::min();

private:
  FleetMember& member_;
  std::string service_;
};

} // namespace latchslip
