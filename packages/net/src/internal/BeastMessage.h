// Converts between the package's plain messages and Beast's.
#pragma once

#include "whinyard/net/HttpMessage.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace whinyard::net::internal {

// Returns the fields but for those that belong to one connection, such as Transfer-Encoding.
std::vector<HttpField> plainFields(const boost::beast::http::fields& fields);

// Adds `fields`. The ones that belong to one connection, and those with a character that could start
// another field, are left out.
void addFields(boost::beast::http::fields& target, const std::vector<HttpField>& fields);

}
