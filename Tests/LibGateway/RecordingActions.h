#pragma once

#include "../NullEventSink.h"
#include "LibGateway/GatewayRouter.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace latchslip {

// Records the actions of a router.
class RecordingActions : public RequestActions
{
public:
  void Send(const AttemptCommand& aCommand) override { sent_.push_back(aCommand); }
  void Cancel(AttemptNumber aAttempt) override { cancelled_.push_back(aAttempt); }
  void Deliver(RequestNumber aRequest, AttemptNumber) override { delivered_.push_back(aRequest); }
  void Refuse(RequestNumber aRequest, const Refusal& aRefusal) override
  {
    refused_[aRequest] = aRefusal;
  }
  bool HasConnection(const std::string& aAddress) const override
  {
    return connected_.contains(aAddress);
  }
  void RecordLeaving(const std::string& aServer, std::uint64_t aIncarnation) override
  {
    leaving_.emplace(aServer, aIncarnation);
  }
  void CountKey(const std::string& aService, KeyNumber aKey) override
  {
    ++keyCounts_[{ aService, aKey }];
  }

  std::vector<AttemptCommand> sent_;
  std::vector<AttemptNumber> cancelled_;
  std::vector<RequestNumber> delivered_;
  std::map<RequestNumber, Refusal> refused_;
  // Addresses to which an idle connection exists.
  std::set<std::string> connected_;
  // The servers that announced that they are shutting down, each with its incarnation.
  std::set<std::pair<std::string, std::uint64_t>> leaving_;
  // How often each key was requested.
  std::map<std::pair<std::string, KeyNumber>, int> keyCounts_;
};

} // namespace latchslip
