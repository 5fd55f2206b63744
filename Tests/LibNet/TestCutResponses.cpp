// Servers that break their responses off: no part of a response may be taken for a whole one.

#include "CuttingServer.h"
#include "SendAndWait.h"

#include <gtest/gtest.h>
#include <memory>
#include <optional>

namespace latchslip {

namespace {

constexpr std::size_t kMaxConnections = 2;
const std::string kId = "q1";

class ServerThatBreaksOff : public testing::TestWithParam<std::size_t>
{
protected:
  const ResponseForm& Form() const { return ResponseForms().at(GetParam()); }

  HttpExchange Send() { return SendNamedAndWait(context_, *client_, server_.Address(), kId); }

  // Whether the bytes before the cut are a whole response: one without a length ends with its
  // connection, unless that is reset.
  bool IsWhole(const ResponseCut& aCut) const
  {
    const auto headSize = whole_.find("\r\n\r\n") + 4;
    return Form().isUnframed_ && !aCut.isReset_ && aCut.at_ >= headSize;
  }

  boost::asio::io_context context_;
  CuttingServer server_{ context_, [this](const std::string& aId) { return Form().make_(aId); } };
  std::unique_ptr<HttpClient> client_ = HttpClient::Create(context_, kMaxConnections);
  const std::string whole_ = Form().make_(kId);
};

TEST_P(ServerThatBreaksOff, ResponseIsCutAtAnyByte_ExchangeIsBroken)
{
  for (const auto& cut : CutsOf(whole_.size())) {
    server_.cut_ = cut;
    const auto exchange = Send();
    EXPECT_EQ(exchange.end_, IsWhole(cut) ? ExchangeEnd::Complete : ExchangeEnd::Broken)
      << "at " << cut.at_ << " reset " << cut.isReset_ << " in pieces " << cut.isInPieces_;
    EXPECT_FALSE(exchange.end_ == ExchangeEnd::Complete && exchange.response_.isFramed_);
    EXPECT_EQ(client_->OpenConnections(), 0U);
  }
}

// The same responses are delivered when they are not cut, so that the test above means something.
TEST_P(ServerThatBreaksOff, ResponseIsWhole_IsDelivered)
{
  for (const bool isInPieces : { false, true }) {
    server_.cut_ = { whole_.size(), false, isInPieces };
    const auto exchange = Send();
    ASSERT_EQ(exchange.end_, ExchangeEnd::Complete) << exchange.problem_;
    EXPECT_EQ(exchange.response_.status_, 200U);
    EXPECT_EQ(*exchange.response_.body_, Form().name_ == "no-body" ? "" : "hello, world");
  }
}

INSTANTIATE_TEST_SUITE_P(Forms,
                         ServerThatBreaksOff,
                         testing::Range(std::size_t{ 0 }, ResponseForms().size()),
                         [](const testing::TestParamInfo<std::size_t>& aInfo) {
                           auto name = ResponseForms().at(aInfo.param).name_;
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

// Instances probe a server by connecting to it. Guards against the connection of such a probe being
// used although the server has ended it.
TEST(ServerThatEndsConnections, ProbeSucceededAndConnectionIsEnded_NextRequestUsesAnother)
{
  boost::asio::io_context context;
  using tcp = boost::asio::ip::tcp;
  for (const bool isReset : { false, true }) {
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    const auto client = HttpClient::Create(context, kMaxConnections);
    ExchangeOptions options;
    options.connectTimeout_ = seconds(1);
    std::optional<bool> isReached;
    client->Probe(address, options, [&](bool aIsReached) { isReached = aIsReached; });
    auto socket = acceptor.accept();
    context.restart();
    while (!isReached) {
      context.run_one();
    }
    EXPECT_TRUE(*isReached);
    if (isReset) {
      socket.set_option(boost::asio::socket_base::linger(true, 0));
    }
    socket.close();
    acceptor.close();
    options.timeout_ = seconds(1);
    const auto exchange =
      SendAndWait(context, *client, address, MakeNamedRequest("GET", kId), options);
    EXPECT_EQ(exchange.end_, ExchangeEnd::NotSent);
  }
}

} // namespace

} // namespace latchslip
