// Finds the customer of a caller by its bearer key.
#pragma once

#include "whinyard/config/Document.h"
#include "whinyard/net/HttpMessage.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace whinyard::router {

// Remembers, for one revision, which keys belong to whom, since each look-up costs a digest a customer.
// Keys themselves are never kept, only their SHA-256 under a secret of this process's life.
class Authentication {
public:
    // `processSecret` is random; it keeps the digests of the cache useless elsewhere.
    explicit Authentication(std::uint64_t processSecret);

    // Returns the customer, or null with unauthenticated.
    const config::Customer* authenticate(const config::Configuration& configuration, const net::HttpRequest& request, Failure& failure);

private:
    static constexpr std::size_t largestCache = 10'000;

    std::string m_salt;
    std::uint64_t m_revision = 0;
    std::unordered_map<std::string, CustomerName> m_known; // By the key's digest.
};

}
