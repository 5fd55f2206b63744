#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// A backend server as an operator declares it.
struct ServerDeclaration
{
  std::string name_;
  // IP number and port, "10.0.0.7:8080".
  std::string address_;
  std::string hall_;
  // A draining server gives its keys away and gets no new work.
  bool draining_ = false;

  bool operator==(const ServerDeclaration&) const = default;
};

struct ServiceDeclaration
{
  std::string name_;
  // Whether its servers check the fence of whoever gives them an order.
  bool checksOrders_ = true;
  unsigned slots_ = 0;
  unsigned connections_ = 0;
  std::vector<ServerDeclaration> servers_;

  const ServerDeclaration* FindServer(std::string_view aName) const;

  bool operator==(const ServiceDeclaration&) const = default;
};

// Interactive work goes ahead of deferrable work within the portions owed.
enum class LatencyClass
{
  Interactive,
  Deferrable,
};
inline constexpr NameTable<LatencyClass, 2> kLatencyClassNames{ { "interactive", "deferrable" } };

// What one group may use of one service.
struct SharingIntent
{
  std::string group_;
  std::string service_;
  // The weight of the group when capacity is short.
  double portion_ = 0;
  LatencyClass latencyClass_ = LatencyClass::Interactive;
  // How many of its requests may wait at one server.
  unsigned maxWaiting_ = 0;
  // How many slots of one server it may use at once; 0 means all.
  unsigned maxSlots_ = 0;

  bool operator==(const SharingIntent&) const = default;
};

// What placement weighs most.
enum class PlacementProfile
{
  UnavailabilityFirst,
  ChurnFirst,
};
inline constexpr NameTable<PlacementProfile, 2> kPlacementProfileNames{ { "unavailability-first",
                                                                          "churn-first" } };

// Everything that operators declare: the content of one intents file.
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

// Reads a declaration from JSON. The error names the field by its path, such as
// "services[0].slots", and says what is allowed. Unknown fields are errors.
FieldResult<Declaration>
ParseDeclaration(std::string_view aText);

// Writes a declaration as JSON in one fixed order, so that equal declarations
// have equal texts.
std::string
SerializeDeclaration(const Declaration& aDeclaration);

} // namespace latchslip
