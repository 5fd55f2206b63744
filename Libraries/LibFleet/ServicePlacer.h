#pragma once

#include "LibFleet/FleetMember.h"

namespace latchslip {

// The placer of one service, with the service's name on what it asks for.
class FleetMember::ServicePlacer : public PlacerActions
{
public:
  ServicePlacer(FleetMember& aMember, std::string aService)
    : placer_(aService, aMember.settings_.placer_, *this, aMember.events_)
    , member_(aMember)
    , service_(std::move(aService))
  {
  }

  void Order(const KeyOrder& aOrder) override { member_.actions_.Order(service_, aOrder); }
  bool HasEnded(const std::string& aServer) const override
  {
    return member_.Directory().HasEnded(aServer);
  }
  void Write(const KeyOwnership& aOwnership) override { member_.QueueWrite(aOwnership); }

  OwnershipPlacer placer_;

private:
  FleetMember& member_;
  std::string service_;
};

} // namespace latchslip
