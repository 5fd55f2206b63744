#pragma once

#include "AnswerFault.h"
#include "LibBase/NameTable.h"
#include "LibBase/Result.h"
#include "LibBase/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <string>

namespace latchslip::platform {

// The faults of a link.
enum class LinkFault
{
  None,
  // Bytes are delayed in both directions.
  Delayed,
  // Open connections are reset at once, new ones when they are accepted.
  Reset,
  // Bytes from the client are held back; answers pass.
  HeldToTarget,
  // Bytes from the client pass; answers are held back.
  HeldToClient,
  // Black hole: no bytes pass, and connections stay open.
  BlackHole,
};

inline constexpr NameTable<LinkFault, 6> kLinkFaultNames{
  { "none", "delayed", "reset", "cut-forth", "cut-back", "silent" }
};

class ProxyLink;

// TCP proxy on loopback that forwards connections to a target and can inject faults. Bytes that
// were held back are forwarded when the fault ends.
class LoopbackProxy
{
public:
  // Starts listening at aListen. The error names the address.
  static FieldResult<std::unique_ptr<LoopbackProxy>> Create(boost::asio::io_context& aContext,
                                                            const std::string& aListen,
                                                            const std::string& aTarget);
  ~LoopbackProxy();

  // aDelay is the delay in each direction and applies to LinkFault::Delayed only.
  void SetFault(LinkFault aFault, Duration aDelay = Duration(0));
  LinkFault Fault() const { return fault_; }
  // Applies to the answers that the target sends from now on, beside the link's fault.
  void SetAnswerFault(const AnswerFault& aFault) { answerFault_ = aFault; }
  const AnswerFault& FaultOfAnswers() const { return answerFault_; }
  Duration Delay() const { return delay_; }
  // Called by a link that has ended.
  void OnLinkEnded(const ProxyLink* aLink);

private:
  LoopbackProxy(boost::asio::io_context& aContext,
                boost::asio::ip::tcp::acceptor aAcceptor,
                boost::asio::ip::tcp::endpoint aTarget);
  void Accept();

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint target_;
  std::list<std::shared_ptr<ProxyLink>> links_;
  LinkFault fault_ = LinkFault::None;
  AnswerFault answerFault_;
  Duration delay_{ 0 };
};

} // namespace latchslip::platform
