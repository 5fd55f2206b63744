#pragma once

#include "platform/StandIn/StandInBackend.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace latchslip::platform {

// Checks that an instance acts on what servers say in their answers to it: that they leave,
// that they want nothing from it for a while, or how many requests a second they take. A start
// of an instance is another one.
class AnswerPromises
{
public:
  // A client is about to send a request to that start of an instance.
  void OnAsked(const std::string& aRequest, const std::string& aInstance);
  // A client got an answer which says that the server leaves that ran the request last.
  void OnLeavingPassedOn(const std::string& aRequest);
  // A client got an answer which names the rate limit of the server that ran the request last.
  void OnRateLimitPassedOn(const std::string& aRequest);
  // The server names that limit in its answers from now on; no value for none.
  void OnRateLimitNamed(const std::string& aServer, std::optional<double> aLimit);
  void OnRun(const std::string& aServer, const std::string& aRequest);
  // What is broken by a request that reaches a server; no value when nothing is.
  std::optional<std::string> OnArrival(const std::string& aServer, const std::string& aRequest);
  void OnRejected(const std::string& aServer, const std::string& aRequest, Duration aBackoff);
  // The instance was frozen: what servers have said to it binds no more.
  void ExcuseInstance(const std::string& aInstance);
  // The way to the server is harmed, or is so no more: what it said binds no more, and the
  // rest that it asks for meanwhile does not bind.
  void SetHarmed(const std::string& aServer, bool aIsHarmed);

private:
  // What one server has said to one instance.
  struct Word
  {
    // When the instance passed on that the server leaves.
    std::optional<Instant> leavingPassedOn_;
    // The rest that was asked for last, and what has come in it.
    Instant restFrom_ = Instant::min();
    Instant restUntil_ = Instant::min();
    int arrivals_ = 0;
    // When the instance passed on a rate limit.
    std::optional<Instant> limitPassedOn_;
  };

  // The rate limit that a server names at the moment.
  struct NamedLimit
  {
    double limit_ = 0;
    // When an instance first passed it on.
    std::optional<Instant> firstPassedOn_;
    // What came lately from instances that had passed it on.
    std::deque<Instant> arrivals_;
  };

  // Counts a request that comes to a server under a limit, from an instance that knows that.
  std::optional<std::string> CountAtLimit(NamedLimit& aLimit,
                                          const Word& aWord,
                                          const std::string& aServer);

  struct Asked
  {
    std::string instance_;
    Instant at_{ 0 };
    std::string ranAt_;
  };

  std::map<std::string, Asked> requests_;
  std::set<std::string> harmed_;
  // By server.
  std::map<std::string, NamedLimit> limits_;
  // By instance and server.
  std::map<std::pair<std::string, std::string>, Word> words_;
};

} // namespace latchslip::platform
