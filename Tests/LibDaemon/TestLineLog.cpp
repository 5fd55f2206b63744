#include "LibDaemon/GatewayMetrics.h"
#include "LibDaemon/LineLog.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace latchslip {

namespace {

class LineLogOnPipe : public testing::Test
{
protected:
  LineLogOnPipe()
  {
    EXPECT_EQ(::pipe(pipe_), 0);
    ::fcntl(pipe_[0], F_SETFL, O_NONBLOCK);
  }
  ~LineLogOnPipe() override
  {
    ::close(pipe_[0]);
    ::close(pipe_[1]);
  }

  std::string Read()
  {
    std::string text;
    char bytes[4096];
    for (auto count = ::read(pipe_[0], bytes, sizeof(bytes)); count > 0;
         count = ::read(pipe_[0], bytes, sizeof(bytes))) {
      text.append(bytes, static_cast<std::size_t>(count));
    }
    return text;
  }

  int pipe_[2]{};
};

TEST_F(LineLogOnPipe, EventRecorded_WritesOneLineOfPairs)
{
  LineLog log(pipe_[1], "edge-1", {});
  log.Record(Event::StoreRecovered, "following=alone");
  log.Flush();
  const auto text = Read();
  EXPECT_NE(text.find(" instance=edge-1 event=E131 name=StoreRecovered following=alone\n"),
            std::string::npos)
    << text;
}

TEST_F(LineLogOnPipe, ValueContainsLineBreak_WritesOneLine)
{
  LineLog log(pipe_[1], "edge-1", {});
  log.Record(Event::GatewayRefusal, "request=a\nevent=E1 forged");
  log.Flush();
  const auto text = Read();
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
}

TEST_F(LineLogOnPipe, ReaderStuck_RecordingContinuesAndDroppedLinesAreCounted)
{
  LineLogLimits limits;
  limits.stateLinesPerSecond_ = 1e9;
  LineLog log(pipe_[1], "edge-1", limits);
  constexpr int kEvents = 20000;
  for (int index = 0; index < kEvents; ++index) {
    log.Record(Event::ServerListed, "server=" + std::string(50, 'x'));
    log.Flush();
  }
  EXPECT_GT(log.Dropped(), 0U);
  EXPECT_EQ(log.CountOf(Event::ServerListed), static_cast<std::uint64_t>(kEvents));
}

TEST_F(LineLogOnPipe, ManySuccesses_FailuresAreStillWritten)
{
  LineLogLimits limits;
  limits.requestLinesPerSecond_ = 10;
  LineLog log(pipe_[1], "edge-1", limits);
  for (int index = 0; index < 1000; ++index) {
    log.Record(Event::GatewayAnswer, "request=good");
  }
  log.Record(Event::GatewayRefusal, "request=bad");
  log.Flush();
  const auto text = Read();
  EXPECT_NE(text.find("request=bad"), std::string::npos);
  EXPECT_NE(text.find("LogLinesDropped count="), std::string::npos);
  EXPECT_LT(std::count(text.begin(), text.end(), '\n'), 30);
}

TEST_F(LineLogOnPipe, Metrics_CountAnswersLatenciesAndEvents)
{
  LineLog log(pipe_[1], "edge-1", {});
  log.Record(Event::GatewayRefusal, "");
  GatewayMetrics metrics;
  metrics.OnAnswer(200, milliseconds(30));
  metrics.OnAnswer(200, milliseconds(90));
  metrics.OnAnswer(503, milliseconds(1));
  RequestStatistics statistics;
  statistics.OnAnswer("a.example/rates/", 200, milliseconds(30));
  statistics.OnRefusal("a.example/rates/", RefusalReason::NoOwner, milliseconds(60));
  statistics.OnAttempt("s1", AttemptEnd::WrongServer);
  StoreCallCounts calls{};
  calls[1][2] = 7;
  LoopMonitor loop(log, [] { return Duration(0); });
  loop.OnTimer(milliseconds(30), milliseconds(20));
  const ReturnCounts returns{ 9, 6, 1, 2 };
  ResponseMonitor responses(log);
  HttpExchange exceeding;
  exceeding.excess_ = ResponseExcess::Body;
  exceeding.otherResponses_ = 4;
  responses.OnExchangeEnded("s1", "q1", exceeding);
  const auto text =
    metrics.Render(log, statistics, calls, loop, returns, responses, { { "requests_waiting", 3 } });
  EXPECT_NE(text.find("latchslip_answers_total{status=\"200\"} 2\n"), std::string::npos) << text;
  EXPECT_NE(text.find("latchslip_latency_ms_bucket{le=\"50\"} 2\n"), std::string::npos) << text;
  EXPECT_NE(text.find("latchslip_latency_ms_bucket{le=\"+Inf\"} 3\n"), std::string::npos);
  EXPECT_NE(text.find("latchslip_events_total{event=\"GatewayRefusal\"} 1\n"), std::string::npos);
  EXPECT_NE(text.find("latchslip_requests_waiting 3\n"), std::string::npos);
  for (const auto* line : {
         "latchslip_route_answers_total{route=\"a.example/rates/\",status=\"200\"} 1\n",
         "latchslip_route_refusals_total{route=\"a.example/rates/\",reason=\"no-owner\"} 1\n",
         "latchslip_route_latency_ms_bucket{route=\"a.example/rates/\",le=\"50\"} 1\n",
         "latchslip_route_latency_ms_count{route=\"a.example/rates/\"} 2\n",
         "latchslip_server_sends_total{server=\"s1\",end=\"wrong-server\"} 1\n",
         "latchslip_store_calls_total{kind=\"follow\",end=\"lost\"} 7\n",
         "latchslip_loop_delay_ms_bucket{le=\"20\"} 1\n",
         "latchslip_returns_promised_total 9\n",
         "latchslip_other_responses_total 4\n",
         "latchslip_response_excesses_total{excess=\"body\"} 1\n",
         "latchslip_returns_kept_total 6\n",
         "latchslip_returns_denied_again_total 1\n",
         "latchslip_returns_expired_total 2\n",
       }) {
    EXPECT_NE(text.find(line), std::string::npos) << line << text;
  }
}

} // namespace

} // namespace latchslip
