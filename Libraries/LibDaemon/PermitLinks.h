#pragma once

#include "LibBase/Event.h"
#include "LibBase/Result.h"
#include "LibDaemon/LeavingObserver.h"
#include "LibNet/DeadlineTimer.h"
#include "LibNet/FrameStream.h"
#include "LibNet/PermitCodec.h"
#include "LibPermit/PermitClient.h"
#include "LibPermit/PermitDispatcher.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace latchslip {

// TCP connections ("links") between instances and permit dispatchers: those that this instance
// opens as a client to request permits, and those that it accepts as a dispatcher. All
// messages for one link within one turn of the event loop are sent as one batch. Every
// instance listens on the same port. Messages of this instance to its own dispatcher use no
// connection.
class PermitLinks
  : private PermitClientActions
  , private DispatcherActions
{
public:
  // aSelf is this instance's peer address; permit links use its host with port aPort.
  PermitLinks(boost::asio::io_context& aContext,
              std::string aSelf,
              unsigned aPort,
              const ServerDirectory& aDirectory,
              LeavingObserver aLeavingObserver,
              EventSink& aEvents);

  // Opens the listener; an error names the address.
  FieldResult<void> Listen();
  // Closes the listener and all links.
  void Close();
  // Runs the permit client's periodic work; called by the host's timer.
  void OnTime();
  PermitClient& Client() { return client_; }
  PermitDispatcher& Dispatcher() { return dispatcher_; }
  const PermitDispatcher& Dispatcher() const { return dispatcher_; }

private:
  // A connection and the batch to be sent on it at the end of the turn.
  struct Link
  {
    std::shared_ptr<FrameStream> stream_;
    PermitBatch batch_;
  };

  void Send(const std::string& aDispatcher, const MessageToDispatcher& aMessage) override;
  void Connect(const std::string& aDispatcher) override;
  void Disconnect(const std::string& aDispatcher) override;
  void Answer(CallerId aCaller, const MessageFromDispatcher& aMessage) override;
  void RecordLeaving(const std::string& aServer, std::uint64_t aIncarnation) override
  {
    leavingObserver_(aServer, aIncarnation);
  }
  void RecordSuspension(const std::string& aServer, CallerId aCaller, Duration aTime) override;
  void RecordResignation(std::size_t aComplaints, Duration aTime) override;

  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket aSocket);
  void OnConnected(const std::string& aDispatcher,
                   std::uint64_t aAttempt,
                   boost::asio::ip::tcp::socket aSocket);
  void OnConnectFailed(const std::string& aDispatcher, std::uint64_t aAttempt);
  // Decodes a batch. On malformed bytes closes the stream and returns std::nullopt.
  std::optional<PermitBatch> ReadBatch(std::span<const std::uint8_t> aBytes, FrameStream& aStream);
  void OnCallerFrame(CallerId aCaller, std::span<const std::uint8_t> aBytes);
  void OnDispatcherFrame(const std::string& aDispatcher, std::span<const std::uint8_t> aBytes);
  // Schedules Flush() for the end of this turn of the event loop.
  void ScheduleFlush();
  void Flush();
  // Delivers the messages between this instance's own client and dispatcher.
  void DeliverLocal();
  std::string PermitAddressOf(const std::string& aInstance) const;

  boost::asio::io_context& context_;
  std::string self_;
  unsigned port_;
  LeavingObserver leavingObserver_;
  EventSink& events_;
  PermitClient client_;
  PermitDispatcher dispatcher_;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  DeadlineTimer timer_;
  // Open links to dispatchers, by the dispatcher's address.
  std::map<std::string, Link> dispatcherLinks_;
  // Number of the connection attempt in progress, by the dispatcher's address.
  std::map<std::string, std::uint64_t> pendingAttempts_;
  // Links accepted from other instances.
  std::map<CallerId, Link> callerLinks_;
  // Messages between this instance's own client and dispatcher.
  PermitBatch localBatch_;
  CallerId lastCaller_ = 0;
  std::uint64_t lastAttempt_ = 0;
  bool isFlushScheduled_ = false;
};

} // namespace latchslip
