#pragma once

#include "LibDaemon/GlogEventSink.h"
#include "LibDaemon/Metrics.h"
#include "LibDaemon/Settings.h"
#include "LibInstance/InstanceCore.h"
#include "LibNet/HttpClient.h"
#include "LibNet/HttpServer.h"
#include "LibNet/PeerNetwork.h"
#include "LibNet/PlatformClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>

namespace latchslip {

// Connects one InstanceCore to the network: converts requests of callers and operators, peer
// messages and store replies to its inputs, and carries out its outputs. Runs entirely on the
// io_context's thread.
class InstanceHost
  : private Outbox
  , private PeerHandler
{
public:
  // Opens all listeners; an error names the address that failed.
  static FieldResult<std::unique_ptr<InstanceHost>> Create(boost::asio::io_context& aContext,
                                                           const DaemonSettings& aSettings);
  ~InstanceHost() override;

  // Starts a graceful shutdown, which ends by stopping the io_context.
  void BeginLeaving();

private:
  class CallerHandler;
  class OperatorHandler;

  InstanceHost(boost::asio::io_context& aContext, const DaemonSettings& aSettings);
  FieldResult<void> Open();

  static Instant Now();
  void ScheduleTick();
  void PollList();
  void AdvanceStop();
  std::string RenderMetrics() const;

  bool SendToPeer(const InstanceId& aTo, const PeerMessage& aMessage) override;
  void CallStore(CallTag aTag, const StoreCall& aCall) override;
  void SendGrant(CallTag aTag, const std::string& aAddress, const GrantCommand& aCommand) override;
  void SendWork(const WorkCommand& aCommand) override;
  void CancelWork(WorkId aId) override;
  void AnswerCaller(CallerId aCaller, const WorkAnswer& aAnswer) override;
  void AnswerOperator(OperatorId aOperator, const OperatorAnswer& aAnswer) override;

  void OnPeerUp(const InstanceId& aPeer, const std::string& aHall) override;
  void OnPeerDown(const InstanceId& aPeer) override;
  void OnPeerMessage(const InstanceId& aFrom, const PeerMessage& aMessage) override;
  void OnPeerRefused(const std::string& aAddress, const std::string& aReason) override;

  boost::asio::io_context& context_;
  DaemonSettings settings_;
  GlogEventSink events_;
  Metrics metrics_;
  boost::asio::steady_timer tickTimer_;
  std::unique_ptr<HttpClient> serverClient_;
  std::unique_ptr<HttpClient> platformHttp_;
  PlatformClient platform_;
  InstanceCore core_;
  std::unique_ptr<PeerNetwork> peers_;
  std::unique_ptr<CallerHandler> callers_;
  std::unique_ptr<OperatorHandler> operators_;
  std::unique_ptr<HttpServer> callerServer_;
  std::unique_ptr<HttpServer> operatorServer_;
  std::map<WorkId, std::string> workAddresses_;
  Instant listPolledAt_{ 0 };
  bool isListPending_ = false;
  Instant leavingSince_{ 0 };
  bool isClosing_ = false;
};

} // namespace latchslip
