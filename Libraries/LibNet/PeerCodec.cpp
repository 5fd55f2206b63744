#include "LibNet/PeerCodec.h"

#include "LibNet/CapnpMessage.h"
#include "LibNet/Generated/Peer.capnp.h"
#include "LibNet/ResponseSyntax.h"

namespace latchslip {

namespace {

constexpr std::uint64_t kMaxWords = 8ULL * 1024 * 1024;

kj::ArrayPtr<const kj::byte>
ToData(std::string_view aText)
{
  return { reinterpret_cast<const kj::byte*>(aText.data()), aText.size() };
}

std::string
FromData(capnp::Data::Reader aData)
{
  return { reinterpret_cast<const char*>(aData.begin()), aData.size() };
}

Body
ToBody(capnp::Data::Reader aData)
{
  return std::make_shared<const std::string>(FromData(aData));
}

void
Write(wire::Message::Builder aOut, const Heartbeat& aMessage)
{
  auto out = aOut.initHeartbeat();
  out.setLeaving(aMessage.isLeaving_);
  out.setViewDigest(aMessage.viewDigest_);
  out.setViewAgeMicros(aMessage.viewAge_.count());
}

void
Write(wire::Message::Builder aOut, const Suspicion& aMessage)
{
  auto out = aOut.initSuspicion();
  out.setTarget(ToText(aMessage.target_));
  out.setSuspected(aMessage.isSuspected_);
}

void
Write(wire::Message::Builder aOut, const ViewStamps& aMessage)
{
  auto out = aOut.initViewStamps(static_cast<unsigned>(aMessage.stamps_.size()));
  for (unsigned index = 0; index < out.size(); ++index) {
    out[index].setKey(ToText(aMessage.stamps_[index].key_));
    out[index].setVersion(aMessage.stamps_[index].version_);
  }
}

void
Write(wire::Message::Builder aOut, const ViewRows& aMessage)
{
  auto out = aOut.initViewRows(static_cast<unsigned>(aMessage.rows_.size()));
  for (unsigned index = 0; index < out.size(); ++index) {
    out[index].setKey(ToText(aMessage.rows_[index].key_));
    out[index].setVersion(aMessage.rows_[index].version_);
    out[index].setValue(ToText(aMessage.rows_[index].value_));
  }
}

void
Write(wire::Message::Builder aOut, const ConfigurationApplied& aMessage)
{
  aOut.setInForce(aMessage.revision_);
}

void
Write(wire::Message::Builder aOut, const ForwardedRequest& aMessage)
{
  auto out = aOut.initRequest();
  const auto& request = aMessage.request_;
  out.setId(aMessage.id_);
  out.setService(ToText(request.service_));
  out.setGroup(ToText(request.group_));
  out.setKey(ToText(request.key_));
  out.setRequestId(ToText(request.requestId_));
  out.setSendingToken(ToText(request.sendingToken_));
  out.setRepeatable(request.isRepeatable_);
  out.setRemainingMicros(request.deadline_.count());
  if (request.body_) {
    out.setBody(ToData(*request.body_));
  }
}

void
Write(wire::Message::Builder aOut, const ForwardedAnswer& aMessage)
{
  auto out = aOut.initAnswer();
  const auto& answer = aMessage.answer_;
  out.setId(aMessage.id_);
  out.setOutcome(static_cast<std::uint8_t>(answer.outcome_));
  out.setReason(static_cast<std::uint8_t>(answer.reason_));
  out.setStatus(static_cast<std::uint16_t>(answer.status_));
  out.setRetryAfterMicros(answer.retryAfter_.count());
  out.setContentType(ToText(answer.contentType_));
  out.setDetail(ToText(answer.detail_));
  if (answer.body_) {
    out.setBody(ToData(*answer.body_));
  }
}

void
Write(wire::Message::Builder aOut, const ForwardedCancel& aMessage)
{
  aOut.setCancel(aMessage.id_);
}

void
Write(wire::Message::Builder aOut, const ServerReport& aMessage)
{
  auto out = aOut.initReport();
  out.setService(ToText(aMessage.service_));
  out.setServer(ToText(aMessage.server_));
  out.setHolder(ToText(aMessage.holder_));
  out.setFence(aMessage.fence_);
  out.setSequence(aMessage.sequence_);
  out.setReleasedVersion(aMessage.releasedVersion_);
  out.setReachable(aMessage.isReachable_);
  out.setWithheld(aMessage.isWithheld_);
  out.setUnconfirmed(aMessage.isUnconfirmed_);
  out.setStopped(aMessage.hasStopped_);
  out.setHasLoad(aMessage.hasLoad_);
  out.setLoad(static_cast<float>(aMessage.load_));
  auto slices = out.initSlices(static_cast<unsigned>(aMessage.slices_.size()));
  for (unsigned index = 0; index < slices.size(); ++index) {
    slices[index].setStart(aMessage.slices_[index].start_);
    slices[index].setLoad(static_cast<float>(aMessage.slices_[index].load_));
  }
  out.setHottestKey(aMessage.hottestKey_);
  out.setHottestLoad(static_cast<float>(aMessage.hottestLoad_));
}

void
Write(wire::Message::Builder aOut, const ResumeCommand& aMessage)
{
  auto out = aOut.initResume();
  out.setService(ToText(aMessage.service_));
  out.setServer(ToText(aMessage.server_));
  out.setFence(aMessage.fence_);
  out.setSequence(aMessage.sequence_);
}

void
Write(wire::Message::Builder aOut, const PeerMessage& aMessage)
{
  std::visit([&](const auto& aBody) { Write(aOut, aBody); }, aMessage);
}

void
Write(wire::Message::Builder aOut, const PeerChallenge& aMessage)
{
  aOut.initChallenge().setNonce(ToData(aMessage.nonce_));
}

void
Write(wire::Message::Builder aOut, const PeerHello& aMessage)
{
  auto out = aOut.initHello();
  out.setId(ToText(aMessage.id_));
  out.setHall(ToText(aMessage.hall_));
  out.setNonce(ToData(aMessage.nonce_));
  out.setProof(ToData(aMessage.proof_));
}

Heartbeat
Read(wire::Heartbeat::Reader aIn)
{
  return { aIn.getLeaving(), aIn.getViewDigest(), Duration(aIn.getViewAgeMicros()) };
}

ViewStamps
Read(capnp::List<wire::Stamp>::Reader aIn)
{
  ViewStamps stamps;
  for (const auto entry : aIn) {
    stamps.stamps_.push_back({ FromText(entry.getKey()), entry.getVersion() });
  }
  return stamps;
}

ViewRows
Read(capnp::List<wire::Row>::Reader aIn)
{
  ViewRows rows;
  for (const auto entry : aIn) {
    rows.rows_.push_back(
      { FromText(entry.getKey()), entry.getVersion(), FromText(entry.getValue()) });
  }
  return rows;
}

ForwardedRequest
Read(wire::Request::Reader aIn)
{
  ForwardedRequest forwarded;
  forwarded.id_ = aIn.getId();
  auto& request = forwarded.request_;
  request.service_ = FromText(aIn.getService());
  request.group_ = FromText(aIn.getGroup());
  request.key_ = FromText(aIn.getKey());
  request.requestId_ = FromText(aIn.getRequestId());
  request.sendingToken_ = FromText(aIn.getSendingToken());
  request.isRepeatable_ = aIn.getRepeatable();
  request.deadline_ = Duration(aIn.getRemainingMicros());
  request.body_ = ToBody(aIn.getBody());
  return forwarded;
}

CodecResult<ForwardedAnswer>
Read(wire::Answer::Reader aIn)
{
  ForwardedAnswer forwarded;
  forwarded.id_ = aIn.getId();
  auto& answer = forwarded.answer_;
  if (aIn.getOutcome() >= kRequestOutcomeNames.names_.size() ||
      aIn.getReason() >= kReasonNames.names_.size()) {
    return CodecError{ "answer: outcome or reason is out of range" };
  }
  answer.outcome_ = static_cast<RequestOutcome>(aIn.getOutcome());
  answer.reason_ = static_cast<Reason>(aIn.getReason());
  answer.status_ = aIn.getStatus();
  answer.retryAfter_ = Duration(aIn.getRetryAfterMicros());
  answer.contentType_ = FromText(aIn.getContentType());
  answer.detail_ = FromText(aIn.getDetail());
  answer.body_ = ToBody(aIn.getBody());
  const bool isResponse = IsStatus(answer.status_) && IsFieldValue(answer.contentType_);
  if (answer.outcome_ == RequestOutcome::Answered && !isResponse) {
    answer = MakeUnknown(Reason::ConnectionBroken);
  }
  return forwarded;
}

ServerReport
Read(wire::Report::Reader aIn)
{
  ServerReport report;
  report.service_ = FromText(aIn.getService());
  report.server_ = FromText(aIn.getServer());
  report.holder_ = FromText(aIn.getHolder());
  report.fence_ = aIn.getFence();
  report.sequence_ = aIn.getSequence();
  report.releasedVersion_ = aIn.getReleasedVersion();
  report.isReachable_ = aIn.getReachable();
  report.isWithheld_ = aIn.getWithheld();
  report.isUnconfirmed_ = aIn.getUnconfirmed();
  report.hasStopped_ = aIn.getStopped();
  report.hasLoad_ = aIn.getHasLoad();
  report.load_ = aIn.getLoad();
  for (const auto slice : aIn.getSlices()) {
    report.slices_.push_back({ slice.getStart(), slice.getLoad() });
  }
  report.hottestKey_ = aIn.getHottestKey();
  report.hottestLoad_ = aIn.getHottestLoad();
  return report;
}

CodecResult<WireMessage>
Read(wire::Message::Reader aIn)
{
  switch (aIn.which()) {
    case wire::Message::HEARTBEAT:
      return WireMessage(PeerMessage(Read(aIn.getHeartbeat())));
    case wire::Message::SUSPICION: {
      const auto suspicion = aIn.getSuspicion();
      return WireMessage(
        PeerMessage(Suspicion{ FromText(suspicion.getTarget()), suspicion.getSuspected() }));
    }
    case wire::Message::VIEW_STAMPS:
      return WireMessage(PeerMessage(Read(aIn.getViewStamps())));
    case wire::Message::VIEW_ROWS:
      return WireMessage(PeerMessage(Read(aIn.getViewRows())));
    case wire::Message::IN_FORCE:
      return WireMessage(PeerMessage(ConfigurationApplied{ aIn.getInForce() }));
    case wire::Message::REQUEST:
      return WireMessage(PeerMessage(Read(aIn.getRequest())));
    case wire::Message::ANSWER: {
      BOOST_OUTCOME_TRY(auto answer, Read(aIn.getAnswer()));
      return WireMessage(PeerMessage(std::move(answer)));
    }
    case wire::Message::CANCEL:
      return WireMessage(PeerMessage(ForwardedCancel{ aIn.getCancel() }));
    case wire::Message::REPORT:
      return WireMessage(PeerMessage(Read(aIn.getReport())));
    case wire::Message::RESUME: {
      const auto resume = aIn.getResume();
      return WireMessage(PeerMessage(ResumeCommand{ FromText(resume.getService()),
                                                    FromText(resume.getServer()),
                                                    resume.getFence(),
                                                    resume.getSequence() }));
    }
    case wire::Message::CHALLENGE:
      return WireMessage(PeerChallenge{ FromData(aIn.getChallenge().getNonce()) });
    case wire::Message::HELLO: {
      const auto hello = aIn.getHello();
      return WireMessage(PeerHello{ FromText(hello.getId()),
                                    FromText(hello.getHall()),
                                    FromData(hello.getNonce()),
                                    FromData(hello.getProof()) });
    }
  }
  return CodecError{ "message: has a type that this release does not support" };
}

} // namespace

WireBytes
EncodeWire(const WireMessage& aMessage)
{
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::Message>();
  std::visit([&](const auto& aBody) { Write(root, aBody); }, aMessage);
  return MakeMessageFrame(builder);
}

CodecResult<WireMessage>
DecodeWire(std::span<const std::uint8_t> aBytes)
{
  return ReadMessage<wire::Message>(
    aBytes,
    kMaxWords,
    [](wire::Message::Reader aRoot) { return Read(aRoot); },
    [](const std::string& aProblem) { return CodecError{ "message: " + aProblem }; });
}

} // namespace latchslip
