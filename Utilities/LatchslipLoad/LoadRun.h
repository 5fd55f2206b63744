#pragma once

#include "LibNet/HttpClient.h"
#include "LibStandIn/Audit.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

namespace latchslip {

// Settings of a load run.
struct LoadSettings
{
  // Caller listeners of instances, or one backend server for direct calls.
  std::vector<std::string> targets_;
  bool isDirect_ = false;
  // One kind of request; on the command line "service:group:repeatable" or "service:group:once".
  struct Stream
  {
    std::string service_;
    std::string group_;
    bool isRepeatable_ = true;
  };
  std::vector<Stream> streams_;
  std::size_t requests_ = 0;
  // Requests per second (open loop). 0 selects a closed loop: each worker sends its next request
  // when the last one is answered.
  double rate_ = 0;
  std::size_t workers_ = 16;
  std::size_t keys_ = 1000;
  std::size_t bodyBytes_ = 64;
  Duration deadline_ = seconds(3);
  // Keys that are requested repeatedly, to measure how long each is unavailable.
  std::size_t probeKeys_ = 0;
  Duration probeInterval_ = milliseconds(20);
  std::string prefix_;
  std::uint64_t seed_ = 1;
};

// Sends the load on aContext and returns the outcome of each request, in order of completion.
std::vector<CallerRecord>
RunLoad(boost::asio::io_context& aContext, const LoadSettings& aSettings);

} // namespace latchslip
