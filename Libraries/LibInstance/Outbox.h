#pragma once

#include "LibInstance/Messages.h"

#include <string>

namespace latchslip {

using CallerId = std::uint64_t;
using OperatorId = std::uint64_t;
using CallTag = std::uint64_t;

struct OperatorAnswer
{
  // HTTP status: 200, 400 for an invalid document, 409 for a conflict, 503 if the store is
  // unavailable, 504 if the outcome is not known.
  unsigned status_ = 200;
  // A JSON document.
  std::string body_;
};

// Interface through which the decision logic performs actions. The daemon implements it over
// the network, tests with fakes. No call blocks; the outcome of an action comes back as an
// event of InstanceCore.
class Outbox
{
public:
  virtual ~Outbox() = default;

  // Returns false if there is no link to this incarnation of the peer; then nothing was sent.
  virtual bool SendToPeer(const InstanceId& aTo, const PeerMessage& aMessage) = 0;
  // Answered by OnStoreReply with the same tag.
  virtual void CallStore(CallTag aTag, const StoreCall& aCall) = 0;
  // Answered by OnGrantReply or OnConnectionRefused with the same tag, or not at all.
  virtual void SendGrant(CallTag aTag,
                         const std::string& aAddress,
                         const GrantCommand& aCommand) = 0;
  // Always answered by OnWorkReply.
  virtual void SendWork(const WorkCommand& aCommand) = 0;
  virtual void CancelWork(WorkId aId) = 0;
  virtual void AnswerCaller(CallerId aCaller, const WorkAnswer& aAnswer) = 0;
  virtual void AnswerOperator(OperatorId aOperator, const OperatorAnswer& aAnswer) = 0;
};

} // namespace latchslip
