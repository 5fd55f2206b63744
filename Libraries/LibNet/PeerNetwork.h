#pragma once

#include "LibBase/Result.h"
#include "LibInstance/Messages.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

namespace latchslip {

// Receives events of the links between instances.
class PeerHandler
{
public:
  virtual ~PeerHandler() = default;

  // The link to the peer is up; messages can be sent.
  virtual void OnPeerUp(const InstanceId& aPeer, const std::string& aHall) = 0;
  // A link to or from the peer has closed; messages in flight may be lost.
  virtual void OnPeerDown(const InstanceId& aPeer) = 0;
  virtual void OnPeerMessage(const InstanceId& aFrom, const PeerMessage& aMessage) = 0;
  // A connection failed authentication.
  virtual void OnPeerRefused(const std::string& aAddress, const std::string& aReason) = 0;
};

// Full mesh of links between instances: framed Cap'n Proto messages over TCP. Each instance
// connects to every other instance and sends only on the link that it opened. Both ends first
// authenticate with the fleet's shared secret. Broken links are reopened.
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

  // Opens the listener; an error names the address or the missing secret.
  static FieldResult<std::unique_ptr<PeerNetwork>> Create(boost::asio::io_context& aContext,
                                                          Settings aSettings,
                                                          PeerHandler& aHandler);
  virtual ~PeerNetwork() = default;

  // Connects to new peers and closes the links to peers that are no longer listed.
  virtual void SetPeers(const std::vector<ListedInstance>& aPeers) = 0;

  // Sends a message on an open link. Returns false, with nothing sent, if there is no link to
  // exactly this incarnation of the peer.
  virtual bool Send(const InstanceId& aTo, const PeerMessage& aMessage) = 0;
  // Returns the bytes sent since the start, frame headers included.
  virtual std::uint64_t BytesSent() const = 0;
  // Returns the part of BytesSent() that is not forwarded requests, answers and cancellations.
  virtual std::uint64_t ControlBytesSent() const = 0;
};

} // namespace latchslip
