#include "LibNet/CallerProtocol.h"
#include "LibNet/HttpServer.h"
#include "Utilities/LatchslipLoad/LoadRun.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <gtest/gtest.h>
#include <optional>
#include <thread>
#include <unistd.h>

namespace latchslip {

namespace {

// Answers every request with the outcome "answered", as an instance does after executing it.
class AnsweringHandler : public HttpHandler
{
public:
  void OnRequest(std::uint64_t, HttpRequest, HttpResponder aRespond) override
  {
    auto response = MakeHttpResponse(200, "{}");
    response.headers_.emplace_back(kOutcomeHeader, "answered");
    aRespond(std::move(response));
  }
  void OnClientDisconnected(std::uint64_t) override {}
};

// Four targets on loopback, one of which has stopped listening.
class LoadOnFourTargets : public testing::Test
{
protected:
  LoadOnFourTargets()
  {
    const int base = 23000 + (::getpid() * 7) % 1000;
    for (int offset = 0; offset < 1000 && settings_.targets_.size() < 4; ++offset) {
      Listen("127.0.0.1:" + std::to_string(23000 + (base - 23000 + offset) % 1000));
    }
    servers_[1].reset();
    settings_.streams_ = { { "rates", "agencies", true } };
    settings_.requests_ = 2000;
    settings_.workers_ = 64;
    settings_.prefix_ = "test-";
    thread_ = std::thread([this] { serving_.run(); });
  }

  ~LoadOnFourTargets() override
  {
    serving_.stop();
    thread_.join();
  }

  void Listen(const std::string& aAddress)
  {
    auto server = HttpServer::Create(serving_, aAddress, {}, handler_);
    if (server) {
      servers_.push_back(std::move(server).value());
      settings_.targets_.push_back(aAddress);
    }
  }

  boost::asio::io_context serving_{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_{
    serving_.get_executor()
  };
  AnsweringHandler handler_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::thread thread_;
  LoadSettings settings_;
};

TEST_F(LoadOnFourTargets, OneTargetRefusesConnections_RequestsAreSentToTheOthers)
{
  boost::asio::io_context context(1);
  const auto records = RunLoad(context, settings_);
  ASSERT_EQ(records.size(), settings_.requests_);
  const auto answered =
    std::count_if(records.begin(), records.end(), [](const CallerRecord& aRecord) {
      return aRecord.outcome_ == RequestOutcome::Answered;
    });
  EXPECT_EQ(static_cast<std::size_t>(answered), settings_.requests_);
}

} // namespace

} // namespace latchslip
