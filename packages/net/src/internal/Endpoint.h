// Converts between net::Address and the transport library's endpoints.
#pragma once

#include "whinyard/net/Address.h"

#include <boost/asio/ip/address.hpp>

namespace whinyard::net::internal {

// Returns the endpoint of `address`, or nothing with the reason when its host isn't numeric. `Protocol` is
// boost::asio::ip::tcp or udp.
template <typename Protocol>
std::optional<typename Protocol::endpoint> toEndpoint(const Address& address, Failure& failure)
{
    boost::system::error_code error;
    const auto host = boost::asio::ip::make_address(address.host, error);
    if (!error)
        return typename Protocol::endpoint(host, address.port);
    failure = Failure { ErrorKind::invalidSettings, "\"" + address.host + "\" is no numeric IP address" };
    return std::nullopt;
}

template <typename Endpoint>
Address toAddress(const Endpoint& endpoint)
{
    return Address { endpoint.address().to_string(), endpoint.port() };
}

}
