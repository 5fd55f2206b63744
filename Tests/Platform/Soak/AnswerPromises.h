#pragma once

#include "platform/StandIn/StandInBackend.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace latchslip::platform {

// Checks that an instance acts on what servers say in their answers to it: that they leave,
// or that they want nothing from it for a while. A start of an instance is another one.
class AnswerPromises
{
public:
  // A client is about to send a request to that start of an instance.
  void OnAsked(const std::string& aRequest, const std::string& aInstance);
  // A client got an answer which says that the server leaves that ran the request last.
  void OnLeavingPassedOn(const std::string& aRequest);
  void OnRun(const std::string& aServer, const std::string& aRequest);
  // What is broken by a request that reaches a server; no value when nothing is.
  std::optional<std::string> OnArrival(const std::string& aServer, const std::string& aRequest);
  void OnTurnedAway(const std::string& aServer, const std::string& aRequest, Duration aRest);
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
  };

  struct Asked
  {
    std::string instance_;
    Instant at_{ 0 };
    std::string ranAt_;
  };

  std::map<std::string, Asked> requests_;
  std::set<std::string> harmed_;
  // By instance and server.
  std::map<std::pair<std::string, std::string>, Word> words_;
};

} // namespace latchslip::platform
