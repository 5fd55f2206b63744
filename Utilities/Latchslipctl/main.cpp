#include "LibConfig/Declaration.h"
#include "LibConfig/JsonReader.h"
#include "LibConfig/Plan.h"
#include "LibDaemon/SettingSources.h"
#include "LibNet/HttpClient.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/io_context.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, operator_address, "127.0.0.1:7300", "Operators' listener of any instance.");
ABSL_FLAG(std::string,
          operator_token_file,
          "",
          "File with the operators' token, unless LATCHSLIP_OPERATOR_TOKEN is set.");
ABSL_FLAG(bool, json, false, "Print the answer as JSON.");
ABSL_FLAG(std::string, out, "", "Where plan writes the plan that confirm takes.");
ABSL_FLAG(bool, undo, false, "For drain-server: take the server back into use.");

namespace latchslip {

namespace {

constexpr int kExitDone = 0;
constexpr int kExitUsage = 2;
constexpr int kExitBadInput = 3;
constexpr int kExitConflict = 4;
constexpr int kExitUnreachable = 5;
constexpr Duration kRequestTimeout = seconds(15);

constexpr std::string_view kUsage =
  "latchslipctl COMMAND [flags]\n"
  "  check FILE          check an intents file without contacting an instance\n"
  "  plan FILE           print what would change; --out=PLAN keeps the plan\n"
  "  confirm PLAN        put exactly that plan in force\n"
  "  declaration         print the declaration in force\n"
  "  status              ownership, shares, instances and their revision\n"
  "  drain-server SERVICE SERVER   plan and confirm that its keys move to other servers\n"
  "  drain-instance      stop the instance at --operator_address once its requests are done\n"
  "The token comes from LATCHSLIP_OPERATOR_TOKEN or --operator_token_file.\n"
  "Exit codes: 0 done, 2 wrong usage, 3 bad input, 4 conflict, 5 not reached or not in force.\n";

// Sends one request to the operators' listener and waits for the answer.
HttpExchange
SendRequest(const std::string& aMethod, const std::string& aTarget, const std::string& aBody)
{
  HttpExchange answer;
  const auto token = ReadSecret(
    "LATCHSLIP_OPERATOR_TOKEN", "operator_token_file", absl::GetFlag(FLAGS_operator_token_file));
  if (!token) {
    answer.problem_ = token.error().Describe();
    return answer;
  }
  boost::asio::io_context context(1);
  const auto client = HttpClient::Create(context, 1);
  HttpRequest request;
  request.method_ = aMethod;
  request.target_ = aTarget;
  request.headers_ = { { "Authorization", "Bearer " + token.value() } };
  request.body_ = std::make_shared<const std::string>(aBody);
  client->Send(absl::GetFlag(FLAGS_operator_address),
               std::move(request),
               kRequestTimeout,
               [&](HttpExchange aExchange) { answer = std::move(aExchange); });
  context.run();
  return answer;
}

// Maps an answer to the exit code and prints the error, if any, to stderr.
int
ExitCodeOf(const HttpExchange& aAnswer)
{
  if (aAnswer.end_ != ExchangeEnd::Complete) {
    std::cerr << "latchslipctl: " << absl::GetFlag(FLAGS_operator_address)
              << " was not reached: " << aAnswer.problem_ << '\n';
    return kExitUnreachable;
  }
  if (aAnswer.response_.status_ == 200) {
    return kExitDone;
  }
  std::cerr << "latchslipctl: " << *aAnswer.response_.body_ << '\n';
  switch (aAnswer.response_.status_) {
    case 409:
      return kExitConflict;
    case 400:
    case 401:
    case 404:
      return kExitBadInput;
    default:
      return kExitUnreachable;
  }
}

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    std::cerr << "latchslipctl: the file \"" << aPath << "\" cannot be read\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int
Check(const std::string& aPath)
{
  const auto text = ReadFile(aPath);
  if (!text) {
    return kExitBadInput;
  }
  const auto declaration = ParseDeclaration(*text);
  if (!declaration) {
    std::cerr << "latchslipctl: " << aPath << ": " << declaration.error().Describe() << '\n';
    return kExitBadInput;
  }
  std::cout << aPath << " is fine: " << declaration.value().services_.size() << " services, "
            << declaration.value().intents_.size() << " intents\n";
  return kExitDone;
}

int
PrintPlan(const std::string& aText)
{
  if (!absl::GetFlag(FLAGS_out).empty()) {
    std::ofstream out(absl::GetFlag(FLAGS_out));
    out << aText;
    if (!out.flush()) {
      std::cerr << "latchslipctl: --out: the plan could not be written\n";
      return kExitBadInput;
    }
  }
  if (absl::GetFlag(FLAGS_json)) {
    std::cout << aText << '\n';
    return kExitDone;
  }
  const auto plan = ParsePlan(aText);
  if (!plan) {
    std::cerr << "latchslipctl: " << plan.error().Describe() << '\n';
    return kExitBadInput;
  }
  std::cout << "plan " << plan.value().Id() << " on revision " << plan.value().baseRevision_ << ", "
            << plan.value().changes_.size() << " changes\n";
  for (const auto& change : plan.value().changes_) {
    std::cout << "  " << change << '\n';
  }
  return kExitDone;
}

int
MakePlan(const std::string& aPath)
{
  const auto text = ReadFile(aPath);
  if (!text) {
    return kExitBadInput;
  }
  const auto answer = SendRequest("POST", "/v1/plan", *text);
  const auto code = ExitCodeOf(answer);
  return code == kExitDone ? PrintPlan(*answer.response_.body_) : code;
}

int
PrintList(const boost::json::object& aBody, std::string_view aName)
{
  const auto* list = aBody.if_contains(aName);
  if (list != nullptr && list->is_array()) {
    for (const auto& entry : list->get_array()) {
      std::cout << "  " << aName << ' ' << entry.get_string().c_str() << '\n';
    }
  }
  return kExitDone;
}

int
Confirm(const std::string& aPlan)
{
  const auto answer = SendRequest("POST", "/v1/confirm", aPlan);
  const auto code = ExitCodeOf(answer);
  if (code != kExitDone) {
    return code;
  }
  const auto body = ParseJson(*answer.response_.body_, "answer");
  if (absl::GetFlag(FLAGS_json) || !body || !body.value().is_object()) {
    std::cout << *answer.response_.body_ << '\n';
    return kExitDone;
  }
  const auto& object = body.value().get_object();
  std::cout << "revision " << boost::json::serialize(object.at("revision")) << " after "
            << boost::json::serialize(object.at("milliseconds")) << " ms\n";
  PrintList(object, "in_force");
  PrintList(object, "pending");
  return object.at("pending").as_array().empty() ? kExitDone : kExitUnreachable;
}

int
Print(const std::string& aMethod, const std::string& aTarget)
{
  const auto answer = SendRequest(aMethod, aTarget, "");
  const auto code = ExitCodeOf(answer);
  if (code == kExitDone) {
    std::cout << *answer.response_.body_ << '\n';
  }
  return code;
}

int
PrintStatus()
{
  const auto answer = SendRequest("GET", "/v1/status", "");
  const auto code = ExitCodeOf(answer);
  if (code != kExitDone || absl::GetFlag(FLAGS_json)) {
    if (code == kExitDone) {
      std::cout << *answer.response_.body_ << '\n';
    }
    return code;
  }
  const auto parsed = ParseJson(*answer.response_.body_, "status");
  const auto& status = parsed.value().get_object();
  const auto show = [](const boost::json::value& aValue) {
    return aValue.is_string() ? std::string(aValue.get_string()) : boost::json::serialize(aValue);
  };
  std::cout << show(status.at("self")) << " in hall " << show(status.at("hall")) << ", revision "
            << show(status.at("revision")) << ", view fresh " << show(status.at("view_fresh"))
            << ", store down " << show(status.at("store_down")) << '\n';
  for (const auto& instance : status.at("instances").as_array()) {
    std::cout << "  instance " << show(instance.at("id")) << " hall " << show(instance.at("hall"))
              << (instance.at("leaving").as_bool() ? " leaving" : "") << '\n';
  }
  for (const auto& service : status.at("services").as_array()) {
    std::cout << "  service " << show(service.at("name")) << " placement "
              << show(service.at("version")) << " placer " << show(service.at("placer")) << '\n';
    for (const auto& server : service.at("servers").as_array()) {
      std::cout << "    server " << show(server.at("name")) << ' ' << show(server.at("state"))
                << " slices " << show(server.at("slices")) << " holder "
                << show(server.at("holder")) << " fence " << show(server.at("fence")) << '\n';
    }
  }
  for (const auto& intent : status.at("intents").as_array()) {
    std::cout << "  intent " << show(intent.at("group")) << " on " << show(intent.at("service"))
              << " portion " << show(intent.at("portion")) << '\n';
  }
  return kExitDone;
}

int
DrainServer(const std::string& aService, const std::string& aServer)
{
  const auto current = SendRequest("GET", "/v1/declaration", "");
  const auto code = ExitCodeOf(current);
  if (code != kExitDone) {
    return code;
  }
  auto declaration = ParseDeclaration(*current.response_.body_);
  if (!declaration) {
    std::cerr << "latchslipctl: " << declaration.error().Describe() << '\n';
    return kExitBadInput;
  }
  bool isFound = false;
  for (auto& service : declaration.value().services_) {
    for (auto& server : service.servers_) {
      if (service.name_ == aService && server.name_ == aServer) {
        server.draining_ = !absl::GetFlag(FLAGS_undo);
        isFound = true;
      }
    }
  }
  if (!isFound) {
    std::cerr << "latchslipctl: no server " << aServer << " is declared for service " << aService
              << '\n';
    return kExitBadInput;
  }
  const auto plan = SendRequest("POST", "/v1/plan", SerializeDeclaration(declaration.value()));
  const auto planCode = ExitCodeOf(plan);
  return planCode == kExitDone ? Confirm(*plan.response_.body_) : planCode;
}

int
ConfirmFile(const std::string& aPath)
{
  const auto text = ReadFile(aPath);
  return text ? Confirm(*text) : kExitBadInput;
}

int
Run(const std::vector<std::string>& aWords)
{
  const auto is = [&](std::string_view aCommand, std::size_t aArguments) {
    return !aWords.empty() && aWords[0] == aCommand && aWords.size() == aArguments + 1;
  };
  if (is("check", 1)) {
    return Check(aWords[1]);
  }
  if (is("plan", 1)) {
    return MakePlan(aWords[1]);
  }
  if (is("confirm", 1)) {
    return ConfirmFile(aWords[1]);
  }
  if (is("status", 0)) {
    return PrintStatus();
  }
  if (is("declaration", 0)) {
    return Print("GET", "/v1/declaration");
  }
  if (is("drain-instance", 0)) {
    return Print("POST", "/v1/drain");
  }
  if (is("drain-server", 2)) {
    return DrainServer(aWords[1], aWords[2]);
  }
  std::cerr << kUsage;
  return kExitUsage;
}

} // namespace

} // namespace latchslip

int
main(int aCount, char** aArguments)
{
  absl::SetProgramUsageMessage({ latchslip::kUsage.data(), latchslip::kUsage.size() });
  const auto applied =
    latchslip::ApplyEnvironment({ "operator_address", "operator_token_file", "json", "out" });
  if (!applied) {
    std::cerr << "latchslipctl: " << applied.error().Describe() << '\n';
    return 2;
  }
  const auto rest = absl::ParseCommandLine(aCount, aArguments);
  return latchslip::Run({ rest.begin() + 1, rest.end() });
}
