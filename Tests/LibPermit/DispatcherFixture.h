#pragma once

#include "LibPermit/PermitDispatcher.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace latchslip {

// Records the answers of a dispatcher.
class RecordedAnswers : public DispatcherActions
{
public:
  void Answer(CallerId aCaller, const MessageFromDispatcher& aMessage) override
  {
    answers_.emplace_back(aCaller, aMessage);
  }

  void RecordLeaving(const std::string& aServer, std::uint64_t aIncarnation) override
  {
    leaving_.emplace(aServer, aIncarnation);
  }

  void RecordSuspension(const std::string& aServer, CallerId aCaller, Duration) override
  {
    suspensions_.emplace_back(aServer, aCaller);
  }

  void RecordResignation(std::size_t aComplaints, Duration) override
  {
    resignations_.push_back(aComplaints);
  }

  std::vector<std::pair<CallerId, MessageFromDispatcher>> answers_;
  // The complaints that led to each resignation.
  std::vector<std::size_t> resignations_;
  // Servers reported as leaving, with their incarnations.
  std::set<std::pair<std::string, std::uint64_t>> leaving_;
  // Servers suspended, each with the instance that could not connect to it.
  std::vector<std::pair<std::string, CallerId>> suspensions_;
};

// A dispatcher for the service "plain" on a simulated clock; each test lists its servers.
class DispatcherOfAService : public testing::Test
{
protected:
  static constexpr CallerId kCaller = 1;
  // Requests per second that a server in slow start accepts.
  static constexpr double kSlowStartRate = 5;

  DispatcherOfAService()
  {
    RoutingConfiguration configuration;
    configuration.version_ = 1;
    configuration.services_ = { { "plain", 100, false, kSlowStartRate } };
    dispatcher_.SetRoutes(
      now_, std::make_shared<const RouteTable>(RouteTable::Create(configuration).value()));
  }

  void Put(const std::string& aId,
           const std::string& aHall = "hall",
           unsigned aSlots = 2,
           Duration aSlowStart = Duration(0))
  {
    ServerRecord record{ aId, "plain", aId + ":80", aHall, aSlots, false, ++revision_ };
    record.slowStartLeft_ = aSlowStart;
    directory_.Put(now_, record);
    dispatcher_.OnDirectoryChanged(now_);
  }

  // Requests a permit and returns the number of the request.
  AttemptNumber Request(const std::string& aServer = "",
                        Duration aInTime = milliseconds(300),
                        unsigned aPriority = 1,
                        CallerId aCaller = kCaller,
                        RequestFingerprint aFingerprint = kNoFingerprint)
  {
    PermitRequest request;
    request.number_ = ++lastNumber_;
    request.service_ = "plain";
    request.server_ = aServer;
    request.hall_ = "hall";
    request.priority_ = aPriority;
    request.inTime_ = aInTime;
    request.timeLeft_ = aInTime + milliseconds(700);
    request.fingerprint_ = aFingerprint;
    dispatcher_.OnMessage(now_, aCaller, request);
    return lastNumber_;
  }

  void End(AttemptNumber aNumber,
           SendResult aResult = SendResult::Answered,
           Duration aLatency = milliseconds(50),
           std::optional<ServerStatus> aStatus = std::nullopt,
           CallerId aCaller = kCaller)
  {
    dispatcher_.OnMessage(now_, aCaller, SendEnd{ aNumber, aResult, aLatency, aStatus });
  }

  // Ends a send whose answer names a rate limit of the server, in requests per second.
  void EndWithLimit(AttemptNumber aNumber, double aRateLimit, CallerId aCaller = kCaller)
  {
    SendEnd end{ aNumber, SendResult::Answered, milliseconds(20), std::nullopt };
    end.rateLimit_ = aRateLimit;
    dispatcher_.OnMessage(now_, aCaller, end);
  }

  // The server for which a permit was issued; empty for none.
  std::string PermittedTo(AttemptNumber aNumber) const
  {
    for (const auto& [caller, answer] : actions_.answers_) {
      const auto* permit = std::get_if<Permit>(&answer);
      if (permit != nullptr && permit->number_ == aNumber) {
        return permit->server_;
      }
    }
    return {};
  }

  template<typename T>
  bool IsAnswered(AttemptNumber aNumber) const
  {
    return std::any_of(actions_.answers_.begin(), actions_.answers_.end(), [&](const auto& aEntry) {
      const auto* answer = std::get_if<T>(&aEntry.second);
      return answer != nullptr && answer->number_ == aNumber;
    });
  }

  void Pass(Duration aTime)
  {
    const auto end = now_ + aTime;
    while (now_ < end) {
      now_ += milliseconds(1);
      dispatcher_.OnTime(now_);
    }
  }

  Instant now_ = seconds(100);
  std::uint64_t revision_ = 0;
  AttemptNumber lastNumber_ = 0;
  ServerDirectory directory_;
  RecordedAnswers actions_;
  PermitDispatcher dispatcher_{ directory_, actions_ };
};

} // namespace latchslip
