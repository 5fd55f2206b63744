#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// A backend server as declared by an operator.
struct ServerDeclaration
{
  std::string name_;
  // IP address and port, "10.0.0.7:8080".
  std::string address_;
  std::string hall_;
  // A draining server's keys are moved away, and it gets no new work.
  bool draining_ = false;

  bool operator==(const ServerDeclaration&) const = default;
};

struct ServiceDeclaration
{
  std::string name_;
  // Whether its servers check grants: such a server rejects commands with a lower fence than
  // the highest it has seen, and runs no work without a valid grant. In the documents this
  // field is checks_orders.
  bool checksGrants_ = true;
  // Requests that one server runs at once.
  unsigned slots_ = 0;
  unsigned connections_ = 0;
  std::vector<ServerDeclaration> servers_;

  const ServerDeclaration* FindServer(std::string_view aName) const;

  bool operator==(const ServiceDeclaration&) const = default;
};

// Interactive work is started before deferrable work, within the portions of the groups.
enum class LatencyClass
{
  Interactive,
  Deferrable,
};
inline constexpr NameTable<LatencyClass, 2> kLatencyClassNames{ { "interactive", "deferrable" } };

// The share of one service that a group may use.
struct SharingIntent
{
  std::string group_;
  std::string service_;
  // Weight of the group in fair queueing while capacity is short.
  double portion_ = 0;
  LatencyClass latencyClass_ = LatencyClass::Interactive;
  // Maximum number of its requests that may wait at one server.
  unsigned maxWaiting_ = 0;
  // Maximum number of slots of one server it may use at once; 0 means all.
  unsigned maxSlots_ = 0;

  bool operator==(const SharingIntent&) const = default;
};

// Which the placer minimizes first: unavailability of keys, or churn (moves of slices).
enum class PlacementProfile
{
  UnavailabilityFirst,
  ChurnFirst,
};
inline constexpr NameTable<PlacementProfile, 2> kPlacementProfileNames{ { "unavailability-first",
                                                                          "churn-first" } };

// The complete configuration as operators declare it: the content of one intents file.
struct Declaration
{
  PlacementProfile profile_ = PlacementProfile::UnavailabilityFirst;
  std::vector<ServiceDeclaration> services_;
  std::vector<SharingIntent> intents_;

  const ServiceDeclaration* FindService(std::string_view aName) const;
  const SharingIntent* FindIntent(std::string_view aGroup, std::string_view aService) const;
  bool HasGroup(std::string_view aGroup) const;

  bool operator==(const Declaration&) const = default;
};

// Parses a declaration from JSON. The error contains the path of the field, such as
// "services[0].slots", and the allowed values. Unknown fields are errors.
FieldResult<Declaration>
ParseDeclaration(std::string_view aText);

// Serializes a declaration to JSON in a fixed order, so that equal declarations have equal
// texts.
std::string
SerializeDeclaration(const Declaration& aDeclaration);

} // namespace latchslip
