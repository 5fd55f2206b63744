#pragma once

#include "LibBase/Result.h"
#include "LibInstance/Messages.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

namespace latchslip {

// Receives what happens on the links between instances.
class PeerHandler
{
public:
  virtual ~PeerHandler() = default;

  // Messages can be sent to the peer from now on.
  virtual void OnPeerUp(const InstanceId& aPeer, const std::string& aHall) = 0;
  // A link to or from the peer broke; what was under way may be lost.
  virtual void OnPeerDown(const InstanceId& aPeer) = 0;
  virtual void OnPeerMessage(const InstanceId& aFrom, const PeerMessage& aMessage) = 0;
  // Somebody could not prove to be a peer.
  virtual void OnPeerRefused(const std::string& aAddress, const std::string& aReason) = 0;
};

// The links to all peers: Cap'n Proto messages in frames over TCP, on the event
// loop of Asio. Each instance dials every other and sends on the link it
// dialled. Both ends prove that they know the fleet's secret first.
class PeerNetwork
{
public:
  struct Settings
  {
    InstanceId self_;
    std::string hall_;
    std::string listenAddress_;
    std::string secret_;
  };

  static FieldResult<std::unique_ptr<PeerNetwork>> Create(boost::asio::io_context& aContext,
                                                          Settings aSettings,
                                                          PeerHandler& aHandler);
  virtual ~PeerNetwork() = default;

  // Dials those that are new and hangs up on those no longer listed.
  virtual void SetPeers(const std::vector<ListedInstance>& aPeers) = 0;

  // False when there is no link to exactly this run of the peer; then nothing
  // was sent.
  virtual bool Send(const InstanceId& aTo, const PeerMessage& aMessage) = 0;
  virtual std::uint64_t BytesSent() const = 0;
  virtual std::uint64_t ControlBytesSent() const = 0;
};

} // namespace latchslip
