#pragma once

#include "LibBase/Time.h"
#include "LibGateway/ServerWork.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace latchslip {

// Estimates each server's recent service time and rate limit from the reports of all instances. A
// single instance receives too few answers of one server per second for an estimate.
class ServerSpeeds
{
public:
  // Adds the work that one instance reported of a server.
  void Add(Instant aNow, const std::string& aServer, const ServerWork& aWork);
  // Removes the servers for which aIsKept is false.
  void Keep(const std::function<bool(const std::string&)>& aIsKept);
  // Service time of one request at a server with that many slots, without the wait for a slot; no
  // value if too few answers are known.
  std::optional<Duration> ServiceTimeOf(const std::string& aServer, unsigned aSlots) const;
  // Requests per second that the server accepts from all instances, as it last stated; kNoRateLimit
  // if it stated none.
  double RateLimitOf(Instant aNow, const std::string& aServer) const;

private:
  // Exponentially decaying sums.
  struct RecentWork
  {
    double answers_ = 0;
    // Time in microseconds: busy_ of all requests, span_ of observation.
    double busy_ = 0;
    double span_ = 0;
    Instant updatedAt_{ 0 };
    double rateLimit_ = kNoRateLimit;
  };

  std::map<std::string, RecentWork> servers_;
};

} // namespace latchslip
