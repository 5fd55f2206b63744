#pragma once

#include "LibBase/Event.h"
#include "LibBase/Result.h"
#include "LibDaemon/LeavingObserver.h"
#include "LibNet/DueTimer.h"
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

// The links between instances and dispatchers: those that this instance dials to ask for
// permits, and those that others dial to ask it. What is said to one of them in one turn of
// the loop goes in one message. Every instance listens for them at the same port.
class PermitLinks
  : private PermitClientActions
  , private DispatcherActions
{
public:
  // aSelf is the address by which the others know this instance; links to it go over aPort.
  PermitLinks(boost::asio::io_context& aContext,
              std::string aSelf,
              unsigned aPort,
              const ServerDirectory& aDirectory,
              LeavingObserver aLeavingObserver,
              EventSink& aEvents);

  // Listens; the error names the address.
  FieldResult<void> Listen();
  // Takes no more links and closes the open ones.
  void Close();
  // Does what is due.
  void OnTime();
  PermitClient& Client() { return client_; }
  PermitDispatcher& Dispatcher() { return dispatcher_; }

private:
  // A link and what is to be said on it at the end of the turn.
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

  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket aSocket);
  void OnDialled(const std::string& aDispatcher,
                 std::uint64_t aDial,
                 boost::asio::ip::tcp::socket aSocket);
  void OnDialFailed(const std::string& aDispatcher, std::uint64_t aDial);
  // No value when the bytes are no batch; their link is closed then.
  std::optional<PermitBatch> ReadBatch(std::span<const std::uint8_t> aBytes, FrameStream& aStream);
  void OnCallerFrame(CallerId aCaller, std::span<const std::uint8_t> aBytes);
  void OnDispatcherFrame(const std::string& aDispatcher, std::span<const std::uint8_t> aBytes);
  // Sends the batches at the end of the turn.
  void FlushLater();
  void Flush();
  // Hands over what this instance says to itself.
  void FlushOwn();
  std::string LinkAddressOf(const std::string& aInstance) const;

  boost::asio::io_context& context_;
  std::string self_;
  unsigned port_;
  LeavingObserver leavingObserver_;
  EventSink& events_;
  PermitClient client_;
  PermitDispatcher dispatcher_;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  DueTimer timer_;
  // By the address of the dispatcher.
  std::map<std::string, Link> dialled_;
  std::map<std::string, std::uint64_t> dials_;
  std::map<CallerId, Link> callers_;
  // What this instance says to itself.
  PermitBatch own_;
  CallerId lastCaller_ = 0;
  std::uint64_t lastDial_ = 0;
  bool isFlushing_ = false;
};

} // namespace latchslip
