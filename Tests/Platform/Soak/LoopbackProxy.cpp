#include "LoopbackProxy.h"

#include "LibNet/Address.h"
#include "ProxyLink.h"

#include <utility>

namespace latchslip::platform {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

} // namespace

FieldResult<std::unique_ptr<LoopbackProxy>>
LoopbackProxy::Create(asio::io_context& aContext,
                      const std::string& aListen,
                      const std::string& aTarget)
{
  BOOST_OUTCOME_TRY(const auto target, ParseAddress(aTarget));
  BOOST_OUTCOME_TRY(auto acceptor, OpenAcceptor(aContext, aListen));
  return std::unique_ptr<LoopbackProxy>(new LoopbackProxy(aContext, std::move(acceptor), target));
}

LoopbackProxy::LoopbackProxy(asio::io_context& aContext,
                             tcp::acceptor aAcceptor,
                             tcp::endpoint aTarget)
  : context_(aContext)
  , acceptor_(std::move(aAcceptor))
  , target_(std::move(aTarget))
{
  Accept();
}

LoopbackProxy::~LoopbackProxy()
{
  for (const auto& link : links_) {
    link->Detach();
  }
}

void
LoopbackProxy::Accept()
{
  acceptor_.async_accept([this](error_code aError, tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (!aError && fault_ == LinkFault::Reset) {
      Reset(aSocket);
    } else if (!aError) {
      links_.push_back(std::make_shared<ProxyLink>(context_, *this, std::move(aSocket)));
      links_.back()->Start(target_);
    }
    Accept();
  });
}

void
LoopbackProxy::OnLinkEnded(const ProxyLink* aLink)
{
  links_.remove_if([&](const auto& aOther) { return aOther.get() == aLink; });
}

void
LoopbackProxy::SetFault(LinkFault aFault, Duration aDelay)
{
  fault_ = aFault;
  delay_ = aDelay;
  if (aFault == LinkFault::Reset) {
    const auto links = std::exchange(links_, {});
    for (const auto& link : links) {
      link->Detach();
    }
  }
}

} // namespace latchslip::platform
