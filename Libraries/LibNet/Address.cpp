#include "LibNet/Address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace latchslip {

using tcp = boost::asio::ip::tcp;

FieldResult<tcp::endpoint>
ParseAddress(const std::string& aAddress)
{
  const FieldError error{ aAddress.empty() ? "address" : aAddress,
                          "is not an IP address and a port, such as 10.0.0.7:8080" };
  const auto colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return error;
  }
  boost::system::error_code failure;
  const auto number = boost::asio::ip::make_address(aAddress.substr(0, colon), failure);
  const auto text = aAddress.substr(colon + 1);
  unsigned port = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), port);
  const bool isWhole = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
  if (failure || !isWhole || port == 0 || port > 65535) {
    return error;
  }
  return tcp::endpoint(number, static_cast<std::uint16_t>(port));
}

FieldResult<tcp::acceptor>
OpenAcceptor(boost::asio::io_context& aContext, const std::string& aAddress)
{
  BOOST_OUTCOME_TRY(const auto endpoint, ParseAddress(aAddress));
  tcp::acceptor acceptor(aContext);
  boost::system::error_code failure;
  const auto check = [&](auto&& aStep) {
    if (!failure) {
      aStep();
    }
  };
  check([&] { acceptor.open(endpoint.protocol(), failure); });
  check([&] { acceptor.set_option(tcp::acceptor::reuse_address(true), failure); });
  check([&] { acceptor.bind(endpoint, failure); });
  check([&] { acceptor.listen(tcp::acceptor::max_listen_connections, failure); });
  if (failure) {
    return FieldError{ aAddress, "cannot be listened on: " + failure.message() };
  }
  return acceptor;
}

} // namespace latchslip
