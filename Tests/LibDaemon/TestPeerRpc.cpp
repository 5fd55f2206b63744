#include "../LibFleet/FleetMemberFixture.h"
#include "LibDaemon/LoopMonitor.h"
#include "LibDaemon/PeerRpc.h"
#include "LibNet/Deflate.h"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace latchslip {

namespace {

// Relays nothing.
class NoRelays : public HttpHandler
{
public:
  void OnRequest(std::uint64_t, HttpRequest, HttpResponder) override {}
  void OnClientDisconnected(std::uint64_t) override {}
};

// An instance from which others fetch the tables of a fleet with 3,000 servers.
class FetchesFromAReader : public FleetMemberTest
{
protected:
  static constexpr int kServers = 3000;
  // Instances have a fifth of a processor, and give up a fetch after 600 ms.
  static constexpr Duration kMaxTime = milliseconds(600) / 5;

  FetchesFromAReader()
  {
    Show(FleetTable::Configuration, 5, { { "config", 5, "1" } });
    std::vector<Row> rows;
    for (int number = 0; number < kServers; ++number) {
      rows.push_back({ ServerId(number), static_cast<RowVersion>(10 + number), RecordOf(number) });
    }
    Show(FleetTable::Servers, 4000, std::move(rows));
    Show(FleetTable::Fleet, 7, {});
  }

  // As long as the records of real servers, and with as much that differs.
  static std::string RecordOf(int aNumber)
  {
    const auto text = std::to_string(aNumber);
    return R"({"name":"i-)" + text + R"(","service":"rates","address":"10.2.)" + text +
           R"(:8000","zone":"hall-a","slots":4,"state":"ready","since":)" +
           std::to_string(1777213639588941 + aNumber * 7919LL) + R"(,"life":)" + text +
           R"(,"labels":{"build":")" + std::to_string(std::hash<std::string>{}(text)) + R"("}})";
  }
  static std::string ServerId(int aNumber) { return "i-" + std::to_string(100000 + aNumber); }

  FleetUpdate Fetch(const TableVersions& aVersions)
  {
    HttpRequest request;
    request.method_ = "POST";
    request.target_ = "/v1/fleet/since";
    request.body_ = std::make_shared<const std::string>(SerializeVersions(aVersions));
    std::shared_ptr<const std::string> body;
    rpc_.OnRequest(
      1, std::move(request), [&](const HttpResponse& aResponse) { body = aResponse.body_; });
    const bool isPlain = body->starts_with('{');
    return ParseUpdate(isPlain ? *body : Inflate(*body, std::size_t{ 1 } << 26).value()).value();
  }

  boost::asio::io_context context_;
  CountingEventSink log_;
  LoopMonitor loop_{ log_, ProcessorTimeUsed };
  NoRelays relays_;
  PeerRpc rpc_{ context_, member_, relays_, loop_, [] { return std::string(); } };
};

// Guards against a reader that is held for seconds by the fetches of instances that start together:
// all that depend on it had an old configuration.
TEST_F(FetchesFromAReader, ManyInstancesStartTogether_AllAreAnsweredInTime)
{
  HttpRequest request;
  request.method_ = "POST";
  request.target_ = "/v1/fleet/since";
  request.body_ = std::make_shared<const std::string>(SerializeVersions({}));
  const auto begin = ProcessorTimeUsed();
  std::size_t answered = 0;
  for (int instance = 0; instance < 50; ++instance) {
    rpc_.OnRequest(1, request, [&](const HttpResponse& aResponse) {
      answered += aResponse.status_ == 200 && !aResponse.body_->empty() ? 1 : 0;
    });
  }
  EXPECT_EQ(answered, 50U);
  EXPECT_LE(ProcessorTimeUsed() - begin, kMaxTime);
}

TEST_F(FetchesFromAReader, TableChangesBetweenTwo_SecondHasTheChange)
{
  EXPECT_EQ(Fetch({}).views_.at(1).rows_.size(), static_cast<std::size_t>(kServers));
  member_.OnView(
    now_, { FleetTable::Servers, 4001, false, 4000, { { { "i-new", 4001, "ready" }, false } } });
  EXPECT_EQ(Fetch({}).views_.at(1).rows_.size(), static_cast<std::size_t>(kServers) + 1);
}

TEST_F(FetchesFromAReader, CallersHaveDifferentVersions_EachGetsWhatItLacks)
{
  EXPECT_EQ(Fetch({}).views_.size(), 2U);
  EXPECT_EQ(Fetch({ 5, 0, 0 }).views_.size(), 1U);
  EXPECT_TRUE(Fetch({ 5, 4000, 7 }).views_.empty());
}

} // namespace

} // namespace latchslip
