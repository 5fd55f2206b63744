#pragma once

#include "LibKeys/KeyOrder.h"
#include "LibKeys/KeyOwnership.h"

#include <optional>
#include <string>

namespace latchslip {

// What is known of a server life, also of one that is listed no more.
struct ServerLife
{
  std::string address_;
  bool isListed_ = false;
  // It said that it was about to end.
  bool isLeaving_ = false;
  // A later life has its address.
  bool hasEnded_ = false;
};

// Carries out what the placement decides, and tells it about servers.
class PlacerActions
{
public:
  virtual ~PlacerActions() = default;

  virtual void Order(const KeyOrder& aOrder) = 0;
  // A grant to that server was not answered and may be carried out late: until
  // aHolds from now it may hold keys. Other instances should know, lest this one
  // is lost.
  virtual void Doubt(Instant aNow, const std::string& aServer, Duration aHolds) = 0;
  // Writes the row of the ownership, provided that it still has the version this
  // placer knows and that this instance is still the placer.
  virtual void Write(const KeyOwnership& aOwnership) = 0;
  // No value for lives that were never listed here.
  virtual std::optional<ServerLife> LifeOf(const std::string& aServer) const = 0;
};

} // namespace latchslip
