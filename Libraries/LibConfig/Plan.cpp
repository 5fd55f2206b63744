#include "LibConfig/Plan.h"

#include "LibBase/KeyHash.h"
#include "LibConfig/JsonReader.h"

#include <algorithm>

namespace latchslip {

namespace {

constexpr double kMaxRevision = 9e15;

std::string
Describe(const ServiceDeclaration& aService)
{
  return "slots=" + std::to_string(aService.slots_) +
         " connections=" + std::to_string(aService.connections_) +
         " checks_orders=" + (aService.checksGrants_ ? "true" : "false");
}

std::string
Describe(const SharingIntent& aIntent)
{
  return "portion=" + std::to_string(aIntent.portion_) +
         " class=" + std::string(kLatencyClassNames.NameOf(aIntent.latencyClass_)) +
         " max_waiting=" + std::to_string(aIntent.maxWaiting_) +
         " max_slots=" + std::to_string(aIntent.maxSlots_);
}

std::string
Describe(const ServerDeclaration& aServer)
{
  return "address=" + aServer.address_ + " hall=" + aServer.hall_ +
         (aServer.draining_ ? " draining" : "");
}

void
CompareServers(const ServiceDeclaration& aCurrent,
               const ServiceDeclaration& aRequested,
               std::vector<std::string>& aChanges)
{
  for (const auto& requested : aRequested.servers_) {
    const auto* current = aCurrent.FindServer(requested.name_);
    const auto name = "server " + aRequested.name_ + "/" + requested.name_;
    if (current == nullptr) {
      aChanges.push_back("+ " + name + ": " + Describe(requested));
    } else if (*current != requested) {
      aChanges.push_back("~ " + name + ": " + Describe(*current) + " -> " + Describe(requested));
    }
  }
  for (const auto& current : aCurrent.servers_) {
    if (aRequested.FindServer(current.name_) == nullptr) {
      aChanges.push_back("- server " + aCurrent.name_ + "/" + current.name_);
    }
  }
}

void
CompareServices(const Declaration& aCurrent,
                const Declaration& aRequested,
                std::vector<std::string>& aChanges)
{
  for (const auto& requested : aRequested.services_) {
    const auto* current = aCurrent.FindService(requested.name_);
    if (current == nullptr) {
      aChanges.push_back("+ service " + requested.name_ + ": " + Describe(requested));
      CompareServers(ServiceDeclaration{}, requested, aChanges);
      continue;
    }
    if (Describe(*current) != Describe(requested)) {
      aChanges.push_back("~ service " + requested.name_ + ": " + Describe(*current) + " -> " +
                         Describe(requested));
    }
    CompareServers(*current, requested, aChanges);
  }
  for (const auto& current : aCurrent.services_) {
    if (aRequested.FindService(current.name_) == nullptr) {
      aChanges.push_back("- service " + current.name_);
    }
  }
}

void
CompareIntents(const Declaration& aCurrent,
               const Declaration& aRequested,
               std::vector<std::string>& aChanges)
{
  for (const auto& requested : aRequested.intents_) {
    const auto* current = aCurrent.FindIntent(requested.group_, requested.service_);
    const auto name = "intent " + requested.group_ + " on " + requested.service_;
    if (current == nullptr) {
      aChanges.push_back("+ " + name + ": " + Describe(requested));
    } else if (*current != requested) {
      aChanges.push_back("~ " + name + ": " + Describe(*current) + " -> " + Describe(requested));
    }
  }
  for (const auto& current : aCurrent.intents_) {
    if (aRequested.FindIntent(current.group_, current.service_) == nullptr) {
      aChanges.push_back("- intent " + current.group_ + " on " + current.service_);
    }
  }
}

} // namespace

std::string
Plan::Id() const
{
  const auto text = std::to_string(baseRevision_) + "\n" + SerializeDeclaration(declaration_);
  return std::to_string(HashKey(text));
}

Plan
MakePlan(std::uint64_t aBaseRevision, const Declaration& aCurrent, const Declaration& aRequested)
{
  Plan plan;
  plan.baseRevision_ = aBaseRevision;
  plan.declaration_ = aRequested;
  if (aCurrent.profile_ != aRequested.profile_) {
    plan.changes_.push_back(
      "~ profile: " + std::string(kPlacementProfileNames.NameOf(aCurrent.profile_)) + " -> " +
      std::string(kPlacementProfileNames.NameOf(aRequested.profile_)));
  }
  CompareServices(aCurrent, aRequested, plan.changes_);
  CompareIntents(aCurrent, aRequested, plan.changes_);
  return plan;
}

std::string
SerializePlan(const Plan& aPlan)
{
  boost::json::array changes;
  for (const auto& change : aPlan.changes_) {
    changes.emplace_back(change);
  }
  return boost::json::serialize(boost::json::object{
    { "plan_id", aPlan.Id() },
    { "base_revision", aPlan.baseRevision_ },
    { "changes", std::move(changes) },
    { "declaration", boost::json::parse(SerializeDeclaration(aPlan.declaration_)) } });
}

FieldResult<Plan>
ParsePlan(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "plan"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  BOOST_OUTCOME_TRY(const auto id, reader.Text("plan_id"));
  BOOST_OUTCOME_TRY(const auto base, reader.NumberOr("base_revision", -1, 0, kMaxRevision));
  BOOST_OUTCOME_TRY(const auto* changes, reader.List("changes"));
  if (base < 0) {
    return FieldError{ "base_revision", "is missing" };
  }
  const auto* declaration = value.get_object().if_contains("declaration");
  if (declaration == nullptr) {
    return FieldError{ "declaration", "is missing" };
  }
  Plan plan;
  plan.baseRevision_ = static_cast<std::uint64_t>(base);
  BOOST_OUTCOME_TRY(plan.declaration_, ParseDeclaration(boost::json::serialize(*declaration)));
  for (const auto& change : *changes) {
    if (change.is_string()) {
      plan.changes_.emplace_back(change.get_string());
    }
  }
  if (plan.Id() != id) {
    return FieldError{ "plan_id", "does not fit the plan; it was changed after it was made" };
  }
  return plan;
}

} // namespace latchslip
