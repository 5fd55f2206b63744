#include "LibNet/PlatformClient.h"

#include "LibConfig/JsonReader.h"
#include "LibStore/StoreJson.h"

namespace latchslip {

namespace {

// After it the outcome of a transaction is unknown.
constexpr Duration kTransactionTimeout = seconds(2);
constexpr Duration kReadTimeout = milliseconds(1500);

StoreReply
ToReply(const StoreCall& aCall, const HttpExchange& aExchange)
{
  StoreReply reply;
  const auto status = aExchange.response_.status_;
  const bool isAnswer = aExchange.end_ == ExchangeEnd::Complete && (status == 200 || status == 409);
  if (!isAnswer) {
    // A transaction certainly had no effect only if no byte was sent or the platform answered
    // with status 503; otherwise its outcome is unknown.
    const bool isCertain = aExchange.end_ == ExchangeEnd::NotSent ||
                           (aExchange.end_ == ExchangeEnd::Complete && status == 503);
    reply.status_ =
      aCall.isRead_ || isCertain ? StoreStatus::Unavailable : StoreStatus::Indeterminate;
    return reply;
  }
  auto rows = ParseRows(*aExchange.response_.body_);
  if (!rows) {
    reply.status_ = aCall.isRead_ ? StoreStatus::Unavailable : StoreStatus::Indeterminate;
    return reply;
  }
  reply.rows_ = std::move(rows).value();
  reply.status_ = status == 409 ? StoreStatus::Conflict : StoreStatus::Done;
  return reply;
}

} // namespace

PlatformClient::PlatformClient(HttpClient& aClient, std::string aAddress)
  : client_(aClient)
  , address_(std::move(aAddress))
{
}

void
PlatformClient::Call(const StoreCall& aCall, StoreCallback aCallback)
{
  HttpRequest request;
  request.method_ = "POST";
  request.target_ = aCall.isRead_ ? "/v1/read" : "/v1/transact";
  request.body_ = std::make_shared<const std::string>(
    aCall.isRead_ ? SerializeStamps(aCall.stamps_) : SerializeTransaction(aCall.transaction_));
  client_.Send(address_,
               std::move(request),
               aCall.isRead_ ? kReadTimeout : kTransactionTimeout,
               [aCall, callback = std::move(aCallback)](const HttpExchange& aExchange) {
                 callback(ToReply(aCall, aExchange));
               });
}

void
PlatformClient::ListInstances(ListCallback aCallback)
{
  HttpRequest request;
  request.method_ = "GET";
  request.target_ = "/v1/instances";
  client_.Send(address_,
               std::move(request),
               kReadTimeout,
               [callback = std::move(aCallback)](const HttpExchange& aExchange) {
                 if (aExchange.end_ != ExchangeEnd::Complete ||
                     aExchange.response_.status_ != 200) {
                   callback(std::nullopt);
                   return;
                 }
                 auto list = ParseInstanceList(*aExchange.response_.body_);
                 callback(list ? std::optional(std::move(list).value()) : std::nullopt);
               });
}

std::string
SerializeInstanceList(const std::vector<ListedInstance>& aList)
{
  boost::json::array instances;
  for (const auto& instance : aList) {
    instances.push_back(boost::json::object{ { "name", instance.name_ },
                                             { "peer_address", instance.peerAddress_ },
                                             { "hall", instance.hall_ },
                                             { "leaving", instance.leaving_ } });
  }
  return boost::json::serialize(boost::json::object{ { "instances", std::move(instances) } });
}

FieldResult<std::vector<ListedInstance>>
ParseInstanceList(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "instance list"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  BOOST_OUTCOME_TRY(const auto* entries, reader.List("instances"));
  std::vector<ListedInstance> list;
  for (const auto& entry : *entries) {
    BOOST_OUTCOME_TRY(const auto member, JsonReader::Create(entry, "instances"));
    ListedInstance instance;
    BOOST_OUTCOME_TRY(instance.name_, member.Text("name"));
    BOOST_OUTCOME_TRY(instance.peerAddress_, member.Text("peer_address"));
    BOOST_OUTCOME_TRY(instance.hall_, member.Text("hall"));
    BOOST_OUTCOME_TRY(instance.leaving_, member.FlagOr("leaving", false));
    list.push_back(std::move(instance));
  }
  return list;
}

} // namespace latchslip
