#include "whinyard/net/Address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace whinyard::net {

namespace {

    std::nullopt_t refuse(std::string_view text, std::string_view why, Failure& failure)
    {
        failure = Failure { ErrorKind::invalidSettings, "\"" + std::string(text) + "\" is no address: " + std::string(why) };
        return std::nullopt;
    }

}

std::optional<Address> parseAddress(std::string_view text, Failure& failure)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return refuse(text, "it has no port", failure);
    std::string_view host = text.substr(0, colon);
    const std::string_view portText = text.substr(colon + 1);
    const bool bracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);

    boost::system::error_code error;
    const auto parsed = boost::asio::ip::make_address(std::string(host), error);
    if (error)
        return refuse(text, "the host must be a numeric IP address", failure);
    if (parsed.is_v6() != bracketed)
        return refuse(text, "an IPv6 address, and only that, stands in brackets", failure);

    std::uint16_t port = 0;
    const char* end = portText.data() + portText.size();
    const auto [stop, code] = std::from_chars(portText.data(), end, port);
    if (portText.empty() || code != std::errc() || stop != end)
        return refuse(text, "the port must be a number up to 65535", failure);
    return Address { parsed.to_string(), port };
}

std::string toText(const Address& address)
{
    const bool isV6 = address.host.find(':') != std::string::npos;
    const std::string host = isV6 ? "[" + address.host + "]" : address.host;
    return host + ":" + std::to_string(address.port);
}

}
