#pragma once

#include "LibFleet/FleetMember.h"

namespace latchslip {

// The key of the row that names the placer.
inline constexpr std::string_view kPlacerKey = "placer";
// The keys of the rows that say who owns the keys of a service begin so.
inline constexpr std::string_view kOwnershipPrefix = "ownership/";

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
  void Write(const KeyOwnership& aOwnership) override { member_.QueueWrite(service_, aOwnership); }

  OwnershipPlacer placer_;

private:
  FleetMember& member_;
  std::string service_;
};

} // namespace latchslip
