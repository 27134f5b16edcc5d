/** @file endpoint.cpp Parsing and printing of endpoints. */

#include <fmt/format.h>

#include <boost/asio/ip/address.hpp>
#include <charconv>

#include "net/endpoint_type.h"

namespace wasabiwind::net {

std::string Endpoint::ToString() const {
  bool is_v6 = m_address.find(':') != std::string::npos;
  return is_v6 ? fmt::format("[{}]:{}", m_address, m_port)
               : fmt::format("{}:{}", m_address, m_port);
}

base::Result<Endpoint> ParseEndpoint(const std::string &text) {
  auto fail = [&text] {
    return base::MakeError(base::ErrorKind::kInvalidArgument,
                           fmt::format("\"{}\" is not an endpoint", text),
                           "write an IP address and a port, such as "
                           "127.0.0.1:8000 or [::1]:8000");
  };
  std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return fail();
  std::string address = text.substr(0, colon);
  if (address.size() >= 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(address, error);
  if (error) return fail();
  std::uint16_t port = 0;
  const char *end = text.data() + text.size();
  auto [stop, code] = std::from_chars(text.data() + colon + 1, end, port);
  if (code != std::errc() || stop != end) return fail();
  return Endpoint{address, port};
}

}  // namespace wasabiwind::net
