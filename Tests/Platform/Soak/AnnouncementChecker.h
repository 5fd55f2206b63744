#pragma once

#include "platform/StandIn/StandInBackend.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace latchslip::platform {

// Checks that each instance acts on what servers announce in their answers: a shutdown, a backoff
// (Retry-After) or a rate limit. A restarted instance counts as a different one.
class AnnouncementChecker
{
public:
  // Called before a client sends a request. aInstance names the instance and its run.
  void OnRequestSent(const std::string& aRequest, const std::string& aInstance);
  // A client received an answer that announces the shutdown of the server that executed the request
  // last.
  void OnLeavingPassedOn(const std::string& aRequest);
  // A client received an answer that names the rate limit of the server that executed the request
  // last.
  void OnRateLimitPassedOn(const std::string& aRequest);
  // The server names this rate limit in all further answers; no value for none.
  void OnRateLimitNamed(const std::string& aServer, std::optional<double> aLimit);
  // The server executes the request.
  void OnRun(const std::string& aServer, const std::string& aRequest);
  // Returns a description of the violated guarantee when a request reaches a server; no value if
  // none is violated.
  std::optional<std::string> OnArrival(const std::string& aServer, const std::string& aRequest);
  // The server rejected the request and asked its instance to back off for aBackoff.
  void OnRejected(const std::string& aServer, const std::string& aRequest, Duration aBackoff);
  // The instance was suspended, so earlier announcements no longer have to be respected.
  void DiscardAnnouncementsTo(const std::string& aInstance);
  // The link to the server is disturbed or restored: earlier announcements no longer have to be
  // respected, nor do backoffs announced while it is disturbed.
  void SetLinkDisturbed(const std::string& aServer, bool aIsDisturbed);

private:
  // What one server has announced to one instance.
  struct AnnouncementState
  {
    // When the instance first passed on the server's shutdown announcement.
    std::optional<Instant> leavingPassedOn_;
    // The last requested backoff, and the number of requests that arrived during it.
    Instant backoffFrom_ = Instant::min();
    Instant backoffUntil_ = Instant::min();
    int arrivals_ = 0;
    // When the instance first passed on the rate limit.
    std::optional<Instant> limitPassedOn_;
  };

  // A server's current rate limit.
  struct RateLimit
  {
    double limit_ = 0;
    // When any instance first passed it on.
    std::optional<Instant> firstPassedOn_;
    // Recent arrivals from instances that had passed it on.
    std::deque<Instant> arrivals_;
  };

  // Counts a request to a server with a rate limit, if its instance has passed the limit on.
  // Returns a description of the violation if there are too many.
  std::optional<std::string> CountAtLimit(RateLimit& aLimit,
                                          const AnnouncementState& aState,
                                          const std::string& aServer);

  // The instance and run that a client sent a request to, and the server that executed it last.
  struct SentRequest
  {
    std::string instance_;
    Instant sentAt_{ 0 };
    std::string executedBy_;
  };

  std::map<std::string, SentRequest> requests_;
  std::set<std::string> disturbedServers_;
  // By server.
  std::map<std::string, RateLimit> limits_;
  // By instance and server.
  std::map<std::pair<std::string, std::string>, AnnouncementState> states_;
};

} // namespace latchslip::platform
