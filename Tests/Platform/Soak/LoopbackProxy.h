#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Result.h"
#include "LibBase/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <string>

namespace latchslip::platform {

// What is wrong with a link.
enum class LinkFault
{
  None,
  // Bytes arrive late, in both directions.
  Delayed,
  // Connections are reset, open ones at once and new ones when they come.
  Reset,
  // What the caller sends is held up; answers pass.
  CutForth,
  // What the caller sends arrives; answers are held up.
  CutBack,
  // Nothing passes, and nobody is told.
  Silent,
};

inline constexpr NameTable<LinkFault, 6> kLinkFaultNames{
  { "none", "delayed", "reset", "cut-forth", "cut-back", "silent" }
};

class ProxyLink;

// A link on loopback: passes on what comes to one address to another, unless it is
// told to misbehave. Bytes that were held up go on when the fault ends.
class LoopbackProxy
{
public:
  // Listens at once. The error names the address.
  static FieldResult<std::unique_ptr<LoopbackProxy>> Create(boost::asio::io_context& aContext,
                                                            const std::string& aListen,
                                                            const std::string& aTarget);
  ~LoopbackProxy();

  // aDelay holds for LinkFault::Delayed, each way.
  void SetFault(LinkFault aFault, Duration aDelay = Duration(0));
  LinkFault Fault() const { return fault_; }
  Duration Delay() const { return delay_; }
  // That link has ended.
  void Forget(const ProxyLink* aLink);

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
  Duration delay_{ 0 };
};

} // namespace latchslip::platform
