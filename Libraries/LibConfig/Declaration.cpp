#include "LibConfig/Declaration.h"

#include "LibConfig/JsonReader.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <set>

namespace latchslip {

namespace {

constexpr unsigned kMaxSlots = 1024;
constexpr unsigned kMaxConnections = 65536;
// Connections that a holder needs in addition to one per slot.
constexpr unsigned kControlConnections = 2;
constexpr unsigned kDefaultMaxWaiting = 256;
constexpr double kMaxPortion = 1e6;

// Whether the text is an IP address and port. Host names are not resolved.
bool
IsAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(aText.substr(0, colon), error);
  const auto port = aText.substr(colon + 1);
  unsigned number = 0;
  const auto parsed = std::from_chars(port.data(), port.data() + port.size(), number);
  return !error && parsed.ec == std::errc{} && parsed.ptr == port.data() + port.size() &&
         number >= 1 && number <= 65535;
}

FieldResult<ServerDeclaration>
ReadServer(const boost::json::value& aValue, const std::string& aPath)
{
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(aValue, aPath));
  BOOST_OUTCOME_TRY(reader.AllowOnly({ "name", "address", "hall", "draining" }));
  ServerDeclaration server;
  BOOST_OUTCOME_TRY(server.name_, reader.Text("name"));
  BOOST_OUTCOME_TRY(server.address_, reader.Text("address"));
  BOOST_OUTCOME_TRY(server.hall_, reader.Text("hall"));
  BOOST_OUTCOME_TRY(server.draining_, reader.FlagOr("draining", false));
  if (!IsAddress(server.address_)) {
    return FieldError{ reader.PathOf("address"),
                       "must be an IP address and a port, such as 10.0.0.7:8080" };
  }
  return server;
}

FieldResult<ServiceDeclaration>
ReadService(const boost::json::value& aValue, const std::string& aPath)
{
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(aValue, aPath));
  BOOST_OUTCOME_TRY(
    reader.AllowOnly({ "name", "checks_orders", "slots", "connections", "servers" }));
  ServiceDeclaration service;
  BOOST_OUTCOME_TRY(service.name_, reader.Text("name"));
  BOOST_OUTCOME_TRY(service.checksGrants_, reader.FlagOr("checks_orders", true));
  BOOST_OUTCOME_TRY(const auto slots, reader.NumberOr("slots", 0, 1, kMaxSlots));
  BOOST_OUTCOME_TRY(const auto connections, reader.NumberOr("connections", 0, 1, kMaxConnections));
  if (slots == 0 || connections == 0) {
    return FieldError{ reader.PathOf(slots == 0 ? "slots" : "connections"), "is missing" };
  }
  if (connections < slots + kControlConnections) {
    return FieldError{ reader.PathOf("connections"),
                       "must be at least slots + " + std::to_string(kControlConnections) +
                         ", for the requests, the grant and cancellations" };
  }
  service.slots_ = static_cast<unsigned>(slots);
  service.connections_ = static_cast<unsigned>(connections);
  BOOST_OUTCOME_TRY(const auto* servers, reader.List("servers"));
  std::set<std::string> names;
  for (std::size_t index = 0; index < servers->size(); ++index) {
    const auto path = reader.PathOf("servers") + "[" + std::to_string(index) + "]";
    BOOST_OUTCOME_TRY(auto server, ReadServer((*servers)[index], path));
    if (!names.insert(server.name_).second) {
      return FieldError{ path + ".name", "is not unique: " + server.name_ };
    }
    service.servers_.push_back(std::move(server));
  }
  if (service.servers_.empty()) {
    return FieldError{ reader.PathOf("servers"), "must name at least one server" };
  }
  return service;
}

FieldResult<SharingIntent>
ReadIntent(const boost::json::value& aValue, const std::string& aPath)
{
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(aValue, aPath));
  BOOST_OUTCOME_TRY(
    reader.AllowOnly({ "group", "service", "portion", "class", "max_waiting", "max_slots" }));
  SharingIntent intent;
  BOOST_OUTCOME_TRY(intent.group_, reader.Text("group"));
  BOOST_OUTCOME_TRY(intent.service_, reader.Text("service"));
  BOOST_OUTCOME_TRY(intent.portion_, reader.NumberOr("portion", 1, 0.001, kMaxPortion));
  BOOST_OUTCOME_TRY(const auto className, reader.TextOr("class", "interactive"));
  const auto latencyClass = kLatencyClassNames.ValueOf(className);
  if (!latencyClass) {
    return FieldError{ reader.PathOf("class"), "must be interactive or deferrable" };
  }
  intent.latencyClass_ = *latencyClass;
  BOOST_OUTCOME_TRY(const auto waiting,
                    reader.NumberOr("max_waiting", kDefaultMaxWaiting, 1, 100000));
  BOOST_OUTCOME_TRY(const auto slots, reader.NumberOr("max_slots", 0, 0, kMaxSlots));
  intent.maxWaiting_ = static_cast<unsigned>(waiting);
  intent.maxSlots_ = static_cast<unsigned>(slots);
  return intent;
}

FieldResult<void>
ReadServices(const JsonReader& aReader, Declaration& aDeclaration)
{
  BOOST_OUTCOME_TRY(const auto* services, aReader.List("services"));
  for (std::size_t index = 0; index < services->size(); ++index) {
    const auto path = "services[" + std::to_string(index) + "]";
    BOOST_OUTCOME_TRY(auto service, ReadService((*services)[index], path));
    if (aDeclaration.FindService(service.name_) != nullptr) {
      return FieldError{ path + ".name", "is not unique: " + service.name_ };
    }
    aDeclaration.services_.push_back(std::move(service));
  }
  return outcome::success();
}

FieldResult<void>
ReadIntents(const JsonReader& aReader, Declaration& aDeclaration)
{
  BOOST_OUTCOME_TRY(const auto* intents, aReader.List("intents"));
  for (std::size_t index = 0; index < intents->size(); ++index) {
    const auto path = "intents[" + std::to_string(index) + "]";
    BOOST_OUTCOME_TRY(auto intent, ReadIntent((*intents)[index], path));
    if (aDeclaration.FindService(intent.service_) == nullptr) {
      return FieldError{ path + ".service", "names an undeclared service: " + intent.service_ };
    }
    if (aDeclaration.FindIntent(intent.group_, intent.service_) != nullptr) {
      return FieldError{ path, "duplicates the intent of the same group for the same service" };
    }
    aDeclaration.intents_.push_back(std::move(intent));
  }
  return outcome::success();
}

} // namespace

const ServerDeclaration*
ServiceDeclaration::FindServer(std::string_view aName) const
{
  const auto found = std::find_if(
    servers_.begin(), servers_.end(), [&](const auto& aServer) { return aServer.name_ == aName; });
  return found == servers_.end() ? nullptr : &*found;
}

const ServiceDeclaration*
Declaration::FindService(std::string_view aName) const
{
  const auto found = std::find_if(services_.begin(), services_.end(), [&](const auto& aService) {
    return aService.name_ == aName;
  });
  return found == services_.end() ? nullptr : &*found;
}

const SharingIntent*
Declaration::FindIntent(std::string_view aGroup, std::string_view aService) const
{
  const auto found = std::find_if(intents_.begin(), intents_.end(), [&](const auto& aIntent) {
    return aIntent.group_ == aGroup && aIntent.service_ == aService;
  });
  return found == intents_.end() ? nullptr : &*found;
}

bool
Declaration::HasGroup(std::string_view aGroup) const
{
  return std::any_of(intents_.begin(), intents_.end(), [&](const auto& aIntent) {
    return aIntent.group_ == aGroup;
  });
}

FieldResult<Declaration>
ParseDeclaration(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "document"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  BOOST_OUTCOME_TRY(reader.AllowOnly({ "profile", "services", "intents" }));
  Declaration declaration;
  BOOST_OUTCOME_TRY(const auto profileName, reader.TextOr("profile", "unavailability-first"));
  const auto profile = kPlacementProfileNames.ValueOf(profileName);
  if (!profile) {
    return FieldError{ "profile", "must be unavailability-first or churn-first" };
  }
  declaration.profile_ = *profile;
  BOOST_OUTCOME_TRY(ReadServices(reader, declaration));
  BOOST_OUTCOME_TRY(ReadIntents(reader, declaration));
  return declaration;
}

std::string
SerializeDeclaration(const Declaration& aDeclaration)
{
  boost::json::array services;
  for (const auto& service : aDeclaration.services_) {
    boost::json::array servers;
    for (const auto& server : service.servers_) {
      servers.push_back(boost::json::object{ { "name", server.name_ },
                                             { "address", server.address_ },
                                             { "hall", server.hall_ },
                                             { "draining", server.draining_ } });
    }
    services.push_back(boost::json::object{ { "name", service.name_ },
                                            { "checks_orders", service.checksGrants_ },
                                            { "slots", service.slots_ },
                                            { "connections", service.connections_ },
                                            { "servers", std::move(servers) } });
  }
  boost::json::array intents;
  for (const auto& intent : aDeclaration.intents_) {
    intents.push_back(
      boost::json::object{ { "group", intent.group_ },
                           { "service", intent.service_ },
                           { "portion", intent.portion_ },
                           { "class", kLatencyClassNames.NameOf(intent.latencyClass_) },
                           { "max_waiting", intent.maxWaiting_ },
                           { "max_slots", intent.maxSlots_ } });
  }
  return boost::json::serialize(
    boost::json::object{ { "profile", kPlacementProfileNames.NameOf(aDeclaration.profile_) },
                         { "services", std::move(services) },
                         { "intents", std::move(intents) } });
}

} // namespace latchslip
