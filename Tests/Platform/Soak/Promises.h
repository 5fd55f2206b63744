#pragma once

#include "AnswerPromises.h"
#include "platform/StandIn/StandInBackend.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace latchslip::platform {

// Checks what is promised, from what clients and servers see, at the moment at
// which it is broken.
class Promises : public BackendObserver
{
public:
  // Lists all servers, of which no two may hold a key.
  using ListServers = std::function<std::vector<StandInBackend*>()>;

  explicit Promises(ListServers aServers)
    : listServers_(std::move(aServers))
  {
  }

  // A client is about to send a request to that start of an instance.
  void OnAsked(const std::string& aRequest, bool aIsBooking, const std::string& aInstance);
  // It got an answer which says that the server leaves that ran the request last.
  void OnLeavingPassedOn(const std::string& aRequest) { answers_.OnLeavingPassedOn(aRequest); }
  // As above, for a rate limit.
  void OnRateLimitPassedOn(const std::string& aRequest) { answers_.OnRateLimitPassedOn(aRequest); }
  AnswerPromises& Answers() { return answers_; }
  // It was told that the request has not run and never will.
  void OnRefused(const std::string& aRequest);
  // It got a success with that body and signature.
  void OnSuccess(const std::string& aRequest,
                 const std::string& aBody,
                 const std::string& aSignature);

  void OnArrival(const StandInBackend& aBackend, const std::string& aRequest) override;
  void OnRun(const StandInBackend& aBackend, const std::string& aRequest) override;
  void OnRejected(const StandInBackend& aBackend,
                  const std::string& aRequest,
                  Duration aBackoff) override
  {
    answers_.OnRejected(aBackend.Id(), aRequest, aBackoff);
  }
  void OnGrant(StandInBackend& aBackend, KeyNumber aFirst, KeyNumber aLast) override;

  // Something else that must not be.
  void Break(const std::string& aWhat);
  const std::vector<std::string>& Broken() const { return broken_; }
  // Requests that reached more servers than the retries of that many seconds allow.
  void CheckRetries(double aSeconds);
  std::size_t ArrivalsOf(const std::string& aServer) const;
  // Whether a server has had that request.
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
  AnswerPromises answers_;
  std::map<std::string, std::size_t> arrivals_;
  std::vector<std::string> broken_;
};

} // namespace latchslip::platform
