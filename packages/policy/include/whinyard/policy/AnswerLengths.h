// Expects how many tokens the answer to a request has, and how long generating one takes.
//
// A caller's estimate is right at the median and often far off, so it is bounded by what answers of the route usually are. The
// forwarding path reports the answers that it saw whole. Pure.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace whinyard::policy {

class AnswerLengths {
public:
    // Routes of which anything is remembered; of others the caller's word stands.
    static constexpr std::size_t mostRoutes = 256;

    // Notes a whole answer of so many tokens, and the time from its first to its last token; zero if that wasn't seen.
    void learn(const std::string& route, std::uint32_t tokens, std::chrono::nanoseconds generating);

    // Returns how many tokens an answer is expected to have. `estimate` is the caller's and `limit` the most that may be
    // generated; 0 each without one. `generated` tokens are there already, for a stream that goes on elsewhere.
    std::uint32_t expected(const std::string& route, std::uint32_t estimate, std::uint32_t limit, std::uint32_t generated = 0) const;

    // Returns the time of generating one token.
    std::chrono::nanoseconds tokenTime(const std::string& route) const;

private:
    struct Route {
        std::uint32_t samples = 0;
        double low = 0; // Quantiles of the tokens of answers.
        double usual = 0;
        double high = 0;
        double nanosecondsEach = 0; // Moving mean; 0: none seen.
    };

    std::map<std::string, Route> m_routes; // By name.
};

}
