#include "internal/Authentication.h"

#include <cstdio>

namespace whinyard::router {

namespace {

    constexpr std::string_view scheme = "Bearer ";

    std::string hexadecimal(std::uint64_t number)
    {
        std::array<char, 17> text {};
        std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
        return text.data();
    }

}

Authentication::Authentication(std::uint64_t processSecret)
    : m_salt(hexadecimal(processSecret))
{
}

const config::Customer* Authentication::authenticate(const config::Configuration& configuration, const net::HttpRequest& request, Failure& failure)
{
    const std::string_view field = net::fieldValue(request.fields, "Authorization");
    if (!field.starts_with(scheme)) {
        failure = { .kind = ErrorKind::unauthenticated, .reason = "the field Authorization must hold a bearer key" };
        return nullptr;
    }
    const std::string_view key = field.substr(scheme.size());
    if (m_revision != configuration.revision) {
        m_known.clear();
        m_revision = configuration.revision;
    }
    const std::string digest = config::keyDigest(m_salt, key);
    const auto known = m_known.find(digest);
    if (known != m_known.end())
        return config::findCustomer(configuration.document, known->second);
    const config::Customer* customer = config::authenticate(configuration.document, key);
    if (!customer) {
        failure = { .kind = ErrorKind::unauthenticated, .reason = "the key belongs to no customer" };
        return nullptr;
    }
    if (m_known.size() < largestCache)
        m_known.emplace(digest, customer->name);
    return customer;
}

}
