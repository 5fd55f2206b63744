#include "LibNet/PermitCodec.h"

#include "LibNet/CapnpMessage.h"
#include "LibNet/Generated/Permit.capnp.h"

#include <algorithm>

namespace latchslip {

namespace {

// Traversal limit for a malicious or corrupt batch; a valid batch has a few kilobytes.
constexpr std::uint64_t kMaxWords = 1024ULL * 1024;

void
Write(wire::ToDispatcher::Builder aOut, const PermitRequest& aRequest)
{
  auto out = aOut.initAsk();
  out.setNumber(aRequest.number_);
  out.setService(ToText(aRequest.service_));
  out.setServer(ToText(aRequest.server_));
  out.setHall(ToText(aRequest.hall_));
  auto tried = out.initTried(static_cast<unsigned>(aRequest.tried_.size()));
  for (unsigned index = 0; index < tried.size(); ++index) {
    tried.set(index, ToText(aRequest.tried_[index]));
  }
  out.setPriority(aRequest.priority_);
  out.setInTimeMicros(aRequest.inTime_.count());
  out.setTimeLeftMicros(aRequest.timeLeft_.count());
  out.setFingerprint(aRequest.fingerprint_);
}

void
Write(wire::ToDispatcher::Builder aOut, const PermitWithdrawal& aWithdrawal)
{
  aOut.setWithdrawal(aWithdrawal.number_);
}

void
Write(wire::ToDispatcher::Builder aOut, const SendNotice& aNotice)
{
  auto out = aOut.initNotice();
  out.setNumber(aNotice.number_);
  out.setService(ToText(aNotice.service_));
  out.setServer(ToText(aNotice.server_));
  out.setAgoMicros(aNotice.ago_.count());
  out.setTimeLeftMicros(aNotice.timeLeft_.count());
  out.setFingerprint(aNotice.fingerprint_);
}

void
Write(wire::ToDispatcher::Builder aOut, const SendEnd& aEnd)
{
  auto out = aOut.initEnd();
  out.setNumber(aEnd.number_);
  out.setResult(static_cast<std::uint8_t>(aEnd.result_));
  out.setLatencyMicros(aEnd.latency_.count());
  out.setRestMicros(aEnd.backoff_.count());
  out.setIsLeaving(aEnd.leavingIncarnation_.has_value());
  out.setLife(aEnd.leavingIncarnation_.value_or(0));
  out.setHasRateLimit(aEnd.rateLimit_.has_value());
  out.setRateLimit(aEnd.rateLimit_.value_or(kNoRateLimit));
  out.setIsConnectionLost(aEnd.isConnectionLost_);
  out.setIncarnation(aEnd.incarnation_);
  out.setHasStatus(aEnd.status_.has_value());
  if (aEnd.status_) {
    out.setRunning(aEnd.status_->running_);
    out.setWaiting(aEnd.status_->waiting_);
    out.setSlots(aEnd.status_->slots_);
    out.setPace(aEnd.status_->slowdown_);
  }
}

void
Write(wire::ToDispatcher::Builder aOut, const CrashNotice& aNotice)
{
  auto out = aOut.initCrash();
  out.setFingerprint(aNotice.fingerprint_);
  out.setServer(ToText(aNotice.server_));
  out.setIncarnation(aNotice.incarnation_);
  out.setSentAgoMicros(aNotice.sentAgo_.count());
  out.setCrashedAgoMicros(aNotice.crashedAgo_.count());
}

void
WriteQuarantine(wire::Quarantine::Builder aOut, const Quarantine& aQuarantine)
{
  aOut.setFingerprint(aQuarantine.fingerprint_);
  aOut.setRemainingMicros(aQuarantine.remaining_.count());
  aOut.setCrashes(aQuarantine.crashes_);
}

void
Write(wire::ToDispatcher::Builder aOut, const Quarantine& aQuarantine)
{
  WriteQuarantine(aOut.initQuarantine(), aQuarantine);
}

void
Write(wire::FromDispatcher::Builder aOut, const Quarantine& aQuarantine)
{
  WriteQuarantine(aOut.initQuarantine(), aQuarantine);
}

void
Write(wire::ToDispatcher::Builder aOut, const DispatcherProbe&)
{
  aOut.setProbe();
}

void
Write(wire::ToDispatcher::Builder aOut, const DispatcherComplaint&)
{
  aOut.setComplaint();
}

void
Write(wire::FromDispatcher::Builder aOut, const DispatcherResignation& aResignation)
{
  aOut.setResignationMicros(aResignation.time_.count());
}

void
Write(wire::FromDispatcher::Builder aOut, const Permit& aPermit)
{
  auto out = aOut.initPermit();
  out.setNumber(aPermit.number_);
  out.setServer(ToText(aPermit.server_));
}

void
Write(wire::FromDispatcher::Builder aOut, const PermitDelay& aDelay)
{
  aOut.setDelay(aDelay.number_);
}

void
Write(wire::FromDispatcher::Builder aOut, const PermitDenial& aDenial)
{
  auto out = aOut.initDenial();
  out.setNumber(aDenial.number_);
  out.setWaitMicros(aDenial.wait_.count());
  out.setIsPromised(aDenial.isPromised_);
}

void
Write(wire::FromDispatcher::Builder aOut, const DispatcherSign&)
{
  aOut.setSign();
}

PermitRequest
Read(wire::PermitAsk::Reader aIn)
{
  PermitRequest request;
  request.number_ = aIn.getNumber();
  request.service_ = FromText(aIn.getService());
  request.server_ = FromText(aIn.getServer());
  request.hall_ = FromText(aIn.getHall());
  for (const auto server : aIn.getTried()) {
    request.tried_.push_back(FromText(server));
  }
  request.priority_ = aIn.getPriority();
  request.inTime_ = Duration(aIn.getInTimeMicros());
  request.timeLeft_ = Duration(aIn.getTimeLeftMicros());
  request.fingerprint_ = aIn.getFingerprint();
  return request;
}

SendNotice
Read(wire::SendNotice::Reader aIn)
{
  return { aIn.getNumber(),
           FromText(aIn.getService()),
           FromText(aIn.getServer()),
           Duration(aIn.getAgoMicros()),
           Duration(aIn.getTimeLeftMicros()),
           aIn.getFingerprint() };
}

CrashNotice
Read(wire::CrashNotice::Reader aIn)
{
  return { aIn.getFingerprint(),
           FromText(aIn.getServer()),
           aIn.getIncarnation(),
           Duration(aIn.getSentAgoMicros()),
           Duration(aIn.getCrashedAgoMicros()) };
}

Quarantine
Read(wire::Quarantine::Reader aIn)
{
  return { aIn.getFingerprint(), Duration(aIn.getRemainingMicros()), aIn.getCrashes() };
}

FieldResult<SendEnd>
Read(wire::SendEnd::Reader aIn)
{
  if (aIn.getResult() >= kSendResultNames.names_.size()) {
    return FieldError{ "result", "has a type that this release does not support" };
  }
  SendEnd end;
  end.number_ = aIn.getNumber();
  end.result_ = static_cast<SendResult>(aIn.getResult());
  end.latency_ = Duration(aIn.getLatencyMicros());
  end.backoff_ = Duration(aIn.getRestMicros());
  if (aIn.getIsLeaving()) {
    end.leavingIncarnation_ = aIn.getLife();
  }
  if (aIn.getHasRateLimit() && aIn.getRateLimit() >= 0) {
    end.rateLimit_ = aIn.getRateLimit();
  }
  end.isConnectionLost_ = aIn.getIsConnectionLost();
  end.incarnation_ = aIn.getIncarnation();
  if (aIn.getHasStatus()) {
    end.status_ = ServerStatus{ aIn.getRunning(), aIn.getWaiting(), aIn.getSlots(), aIn.getPace() };
  }
  return end;
}

FieldResult<MessageToDispatcher>
Read(wire::ToDispatcher::Reader aIn)
{
  switch (aIn.which()) {
    case wire::ToDispatcher::ASK:
      return MessageToDispatcher(Read(aIn.getAsk()));
    case wire::ToDispatcher::WITHDRAWAL:
      return MessageToDispatcher(PermitWithdrawal{ aIn.getWithdrawal() });
    case wire::ToDispatcher::NOTICE:
      return MessageToDispatcher(Read(aIn.getNotice()));
    case wire::ToDispatcher::END: {
      BOOST_OUTCOME_TRY(const auto end, Read(aIn.getEnd()));
      return MessageToDispatcher(end);
    }
    case wire::ToDispatcher::PROBE:
      return MessageToDispatcher(DispatcherProbe{});
    case wire::ToDispatcher::CRASH:
      return MessageToDispatcher(Read(aIn.getCrash()));
    case wire::ToDispatcher::QUARANTINE:
      return MessageToDispatcher(Read(aIn.getQuarantine()));
    case wire::ToDispatcher::COMPLAINT:
      return MessageToDispatcher(DispatcherComplaint{});
  }
  return FieldError{ "message", "has a type that this release does not support" };
}

FieldResult<MessageFromDispatcher>
Read(wire::FromDispatcher::Reader aIn)
{
  switch (aIn.which()) {
    case wire::FromDispatcher::PERMIT:
      return MessageFromDispatcher(
        Permit{ aIn.getPermit().getNumber(), FromText(aIn.getPermit().getServer()) });
    case wire::FromDispatcher::DELAY:
      return MessageFromDispatcher(PermitDelay{ aIn.getDelay() });
    case wire::FromDispatcher::DENIAL:
      return MessageFromDispatcher(PermitDenial{ aIn.getDenial().getNumber(),
                                                 Duration(aIn.getDenial().getWaitMicros()),
                                                 aIn.getDenial().getIsPromised() });
    case wire::FromDispatcher::SIGN:
      return MessageFromDispatcher(DispatcherSign{});
    case wire::FromDispatcher::QUARANTINE:
      return MessageFromDispatcher(Read(aIn.getQuarantine()));
    case wire::FromDispatcher::RESIGNATION_MICROS:
      return MessageFromDispatcher(DispatcherResignation{ Duration(aIn.getResignationMicros()) });
  }
  return FieldError{ "message", "has a type that this release does not support" };
}

FieldResult<PermitBatch>
Read(wire::PermitBatch::Reader aIn)
{
  PermitBatch batch;
  for (const auto message : aIn.getTo()) {
    BOOST_OUTCOME_TRY(auto read, Read(message));
    batch.toDispatcher_.push_back(std::move(read));
  }
  for (const auto message : aIn.getFrom()) {
    BOOST_OUTCOME_TRY(auto read, Read(message));
    batch.fromDispatcher_.push_back(std::move(read));
  }
  return batch;
}

} // namespace

WireBytes
EncodePermitBatch(const PermitBatch& aBatch)
{
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::PermitBatch>();
  auto to = root.initTo(static_cast<unsigned>(aBatch.toDispatcher_.size()));
  for (unsigned index = 0; index < to.size(); ++index) {
    std::visit([&](const auto& aBody) { Write(to[index], aBody); }, aBatch.toDispatcher_[index]);
  }
  auto from = root.initFrom(static_cast<unsigned>(aBatch.fromDispatcher_.size()));
  for (unsigned index = 0; index < from.size(); ++index) {
    std::visit([&](const auto& aBody) { Write(from[index], aBody); },
               aBatch.fromDispatcher_[index]);
  }
  return MakePackedMessageFrame(builder);
}

FieldResult<PermitBatch>
DecodePermitBatch(std::span<const std::uint8_t> aBytes)
{
  return ReadPackedMessage<wire::PermitBatch>(
    aBytes,
    kMaxWords,
    [](wire::PermitBatch::Reader aRoot) { return Read(aRoot); },
    [](const std::string& aProblem) {
      return FieldError{ "message", aProblem };
    });
}

} // namespace latchslip
