#pragma once

#include "LibBase/Time.h"
#include "LibGateway/ServerWork.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace latchslip {

// How long each server works at one request lately, and how many it takes, told from what
// all instances report. Each of them alone gets few answers of one server in a second.
class ServerSpeeds
{
public:
  void Add(Instant aNow, const std::string& aServer, const ServerWork& aWork);
  // Forgets the servers for which aIsKept is false.
  void Keep(const std::function<bool(const std::string&)>& aIsKept);
  // The time of work of one request at a server with that many slots, what it waited
  // there for a slot left out; no value when too few are known.
  std::optional<Duration> WorkTimeOf(const std::string& aServer, unsigned aSlots) const;
  // Requests a second that the server takes from all instances, as it lately named them;
  // kNoRateLimit when it names no limit.
  double RateLimitOf(Instant aNow, const std::string& aServer) const;

private:
  // Sums in which earlier work counts less and less.
  struct Recent
  {
    double answers_ = 0;
    // In microseconds.
    double busy_ = 0;
    double span_ = 0;
    Instant updatedAt_{ 0 };
    double rateLimit_ = kNoRateLimit;
  };

  std::map<std::string, Recent> servers_;
};

} // namespace latchslip
