#pragma once

#include "AnnouncementChecker.h"
#include "platform/StandIn/StandInBackend.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace latchslip::platform {

// Checks the system's guarantees as they are visible to clients and servers, and reports each
// violation when it occurs.
class GuaranteeChecker : public BackendObserver
{
public:
  // Returns all servers. No two of them may hold the same key.
  using ListServers = std::function<std::vector<StandInBackend*>()>;

  explicit GuaranteeChecker(ListServers aServers)
    : listServers_(std::move(aServers))
  {
  }

  // Called before a client sends a request. aInstance names the instance and its run.
  void OnRequestSent(const std::string& aRequest, bool aIsBooking, const std::string& aInstance);
  // The client received an answer that announces the shutdown of the server that executed the
  // request last.
  void OnLeavingPassedOn(const std::string& aRequest)
  {
    announcements_.OnLeavingPassedOn(aRequest);
  }
  // As above, for an answer that names a rate limit.
  void OnRateLimitPassedOn(const std::string& aRequest)
  {
    announcements_.OnRateLimitPassedOn(aRequest);
  }
  AnnouncementChecker& Announcements() { return announcements_; }
  // The client received a refusal: the request was not executed and never will be.
  void OnRefused(const std::string& aRequest);
  // The client received a 2xx answer with this body and signature.
  void OnSuccess(const std::string& aRequest,
                 const std::string& aBody,
                 const std::string& aSignature);

  // Events of the servers, see BackendObserver.
  void OnArrival(const StandInBackend& aBackend, const std::string& aRequest) override;
  void OnRun(const StandInBackend& aBackend, const std::string& aRequest) override;
  void OnRejected(const StandInBackend& aBackend,
                  const std::string& aRequest,
                  Duration aBackoff) override
  {
    announcements_.OnRejected(aBackend.Id(), aRequest, aBackoff);
  }
  void OnGrant(StandInBackend& aBackend, KeyNumber aFirst, KeyNumber aLast) override;

  // Reports a violation.
  void ReportViolation(const std::string& aWhat);
  const std::vector<std::string>& Violations() const { return violations_; }
  // Checks that repeated arrivals of requests stay within the retry budget of aSeconds.
  void CheckRetries(double aSeconds);
  std::size_t ArrivalsOf(const std::string& aServer) const;
  // As above, bookings only.
  std::size_t BookingArrivalsOf(const std::string& aServer) const;
  // Whether the request has reached a server.
  bool HasArrived(const std::string& aRequest) const;

private:
  struct Request
  {
    bool isBooking_ = false;
    bool isRefused_ = false;
    int runs_ = 0;
    int arrivals_ = 0;
  };

  ListServers listServers_;
  std::map<std::string, Request> requests_;
  AnnouncementChecker announcements_;
  // By server.
  std::map<std::string, std::size_t> arrivals_;
  std::map<std::string, std::size_t> bookingArrivals_;
  std::vector<std::string> violations_;
};

} // namespace latchslip::platform
