#include "LibBase/Time.h"
#include "LibConfig/JsonReader.h"
#include "LibDaemon/Settings.h"
#include "LibNet/HttpServer.h"
#include "LibNet/PlatformClient.h"
#include "LibStandIn/ServeStandIn.h"
#include "LibStandIn/TableState.h"
#include "LibStore/StoreJson.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>
#include <boost/asio/steady_timer.hpp>
#include <iostream>

ABSL_FLAG(std::string, address, "", "Where to listen, IP number and port.");
ABSL_FLAG(std::string,
          instances,
          "",
          "The entry instances, as name=peer-address@hall, separated by commas.");
ABSL_FLAG(int, list_lag_ms, 1000, "How long a change of the list takes to show.");

namespace latchslip {

namespace {

// Stand-in for the platform, for tests and the run command: the table service and the list of
// instances over HTTP. POST /admin/fault injects faults of the table service (outage, hanging
// calls, delay, lost answers); POST /admin/instances changes the list.
class StandInPlatform : public HttpHandler
{
public:
  StandInPlatform(boost::asio::io_context& aContext, std::vector<ListedInstance> aList)
    : context_(aContext)
    , list_(std::move(aList))
  {
  }

  void OnRequest(std::uint64_t, HttpRequest aRequest, HttpResponder aRespond) override
  {
    const auto route = aRequest.method_ + " " + aRequest.target_;
    if (route == "POST /admin/fault") {
      SetFault(*aRequest.body_, aRespond);
    } else if (route == "POST /admin/instances") {
      ChangeList(*aRequest.body_, aRespond);
    } else if (route == "GET /admin/counters") {
      aRespond(MakeHttpResponse(200,
                                "{\"writes\":" + std::to_string(table_.Writes()) +
                                  ",\"reads\":" + std::to_string(table_.Reads()) +
                                  ",\"rows\":" + std::to_string(table_.Rows().size()) + "}"));
    } else if (route == "GET /v1/instances") {
      aRespond(MakeHttpResponse(200, SerializeInstanceList(list_)));
    } else if (isHanging_) {
      hangingRequests_.push_back(std::move(aRespond));
    } else if (isUnavailable_) {
      aRespond(MakeHttpResponse(503, R"({"error":"outage"})"));
    } else {
      RunAfter(delay_, [this, route, aRequest, respond = std::move(aRespond)] {
        Serve(route, *aRequest.body_, respond);
      });
    }
  }

  void OnClientDisconnected(std::uint64_t) override {}

private:
  // Runs an action after a delay, or at once if the delay is 0.
  void RunAfter(Duration aDelay, std::function<void()> aAction)
  {
    if (aDelay == Duration{ 0 }) {
      aAction();
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(context_, aDelay);
    timer->async_wait([timer, action = std::move(aAction)](boost::system::error_code aError) {
      if (!aError) {
        action();
      }
    });
  }

  void Serve(const std::string& aRoute, const std::string& aBody, const HttpResponder& aRespond)
  {
    if (aRoute == "POST /v1/read") {
      const auto stamps = ParseStamps(aBody);
      if (!stamps) {
        aRespond(MakeHttpResponse(400, stamps.error().Describe()));
        return;
      }
      aRespond(MakeHttpResponse(200, SerializeRows(table_.Read(stamps.value()).rows_)));
      return;
    }
    const auto transaction = ParseTransaction(aBody);
    if (aRoute != "POST /v1/transact" || !transaction) {
      aRespond(MakeHttpResponse(400, transaction ? aRoute : transaction.error().Describe()));
      return;
    }
    const auto reply = table_.Apply(transaction.value());
    if (answersToLose_ > 0) {
      --answersToLose_;
      aRespond(MakeLostResponse());
      return;
    }
    aRespond(MakeHttpResponse(reply.status_ == StoreStatus::Conflict ? 409 : 200,
                              SerializeRows(reply.rows_)));
  }

  FieldResult<void> ReadFault(const std::string& aBody)
  {
    BOOST_OUTCOME_TRY(const auto value, ParseJson(aBody, "fault"));
    BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
    BOOST_OUTCOME_TRY(reader.AllowOnly({ "outage", "hang", "delay_ms", "lose_answers" }));
    BOOST_OUTCOME_TRY(isUnavailable_, reader.FlagOr("outage", isUnavailable_));
    BOOST_OUTCOME_TRY(isHanging_, reader.FlagOr("hang", isHanging_));
    const auto known = static_cast<double>(delay_.count()) / 1000;
    BOOST_OUTCOME_TRY(const auto delay, reader.NumberOr("delay_ms", known, 0, 600000));
    BOOST_OUTCOME_TRY(const auto lose, reader.NumberOr("lose_answers", answersToLose_, 0, 1e6));
    delay_ = Duration(static_cast<std::int64_t>(delay * 1000));
    answersToLose_ = static_cast<int>(lose);
    if (!isHanging_) {
      hangingRequests_.clear();
    }
    return outcome::success();
  }

  void SetFault(const std::string& aBody, const HttpResponder& aRespond)
  {
    const auto result = ReadFault(aBody);
    aRespond(MakeHttpResponse(result ? 200 : 400, result ? "{}" : result.error().Describe()));
  }

  FieldResult<void> ReadListChange(const std::string& aBody)
  {
    BOOST_OUTCOME_TRY(const auto value, ParseJson(aBody, "instance"));
    BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
    BOOST_OUTCOME_TRY(const auto name, reader.Text("name"));
    BOOST_OUTCOME_TRY(const auto state, reader.Text("state"));
    BOOST_OUTCOME_TRY(const auto address, reader.TextOr("peer_address", ""));
    BOOST_OUTCOME_TRY(const auto hall, reader.TextOr("hall", ""));
    if (state != "live" && state != "leaving" && state != "gone") {
      return FieldError{ "state", "must be live, leaving or gone" };
    }
    const Duration lag = milliseconds(absl::GetFlag(FLAGS_list_lag_ms));
    RunAfter(lag, [this, name, state, address, hall] {
      std::erase_if(list_, [&](const auto& aListed) {
        return aListed.name_ == name && (state == "gone" || !address.empty());
      });
      if (!address.empty() && state != "gone") {
        list_.push_back({ name, address, hall, false });
      }
      for (auto& listed : list_) {
        listed.leaving_ = listed.name_ == name ? state == "leaving" : listed.leaving_;
      }
    });
    return outcome::success();
  }

  void ChangeList(const std::string& aBody, const HttpResponder& aRespond)
  {
    const auto result = ReadListChange(aBody);
    aRespond(MakeHttpResponse(result ? 200 : 400, result ? "{}" : result.error().Describe()));
  }

  boost::asio::io_context& context_;
  std::vector<ListedInstance> list_;
  TableState table_;
  bool isUnavailable_ = false;
  bool isHanging_ = false;
  Duration delay_{ 0 };
  int answersToLose_ = 0;
  std::vector<HttpResponder> hangingRequests_;
};

FieldResult<std::vector<ListedInstance>>
ParseInstancesFlag(const std::string& aText)
{
  std::vector<ListedInstance> list;
  for (const auto entry : absl::StrSplit(aText, ',', absl::SkipEmpty())) {
    const std::vector<std::string> parts = absl::StrSplit(entry, '=');
    const std::vector<std::string> placed =
      parts.size() == 2 ? absl::StrSplit(parts[1], '@') : std::vector<std::string>{};
    if (placed.size() != 2) {
      return FieldError{ "--instances", "has an entry that is not name=peer-address@hall" };
    }
    list.push_back({ parts[0], placed[0], placed[1], false });
  }
  return list;
}

int
Run()
{
  boost::asio::io_context context(1);
  const auto list = ParseInstancesFlag(absl::GetFlag(FLAGS_instances));
  if (!list) {
    std::cerr << "stand-in-platform: " << list.error().Describe() << '\n';
    return 2;
  }
  StandInPlatform platform(context, list.value());
  return ServeStandIn("stand-in-platform", absl::GetFlag(FLAGS_address), context, platform);
}

} // namespace

} // namespace latchslip

int
main(int aCount, char** aArguments)
{
  absl::ParseCommandLine(aCount, aArguments);
  return latchslip::Run();
}
