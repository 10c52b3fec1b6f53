// A broker that answers as a test says, and keeps what it was asked and given back.
#pragma once

#include "whinyard/router/PlaceBroker.h"

#include <deque>
#include <set>
#include <string>
#include <vector>

namespace whinyard::router {

class FakePlaceBroker final : public PlaceBroker {
public:
    struct Return {
        std::uint64_t permit = 0;
        std::optional<policy::EndpointOutcome> outcome;
        std::chrono::nanoseconds serviceTime { 0 };
    };

    std::set<ServiceName> shared { { "svc" } };
    std::deque<PlaceAnswer> answers; // To the next requests for a permit; without any, nobody answers.
    std::function<void()> onWait; // Runs while a request waits, before each question whether it is given up.
    int waits = 0; // So many times each request waits.
    int waited = 0; // How often that was, over all requests.
    std::vector<PlaceWish> wishes;
    std::vector<Return> returns;
    std::uint64_t lastPermit = 0;

    // Grants the next request this endpoint; returns the permit.
    std::uint64_t grant(const std::string& endpoint)
    {
        answers.push_back({ .kind = PlaceAnswer::Kind::granted, .permit = ++lastPermit, .endpoint = { endpoint }, .retryAfter = {} });
        return lastPermit;
    }

    void reject(std::chrono::milliseconds retryAfter)
    {
        answers.push_back({ .kind = PlaceAnswer::Kind::rejected, .permit = 0, .endpoint = {}, .retryAfter = retryAfter });
    }

    // Returns how many permits were granted and are not given back.
    std::size_t outstanding() const
    {
        std::set<std::uint64_t> back;
        for (const Return& one : returns)
            back.insert(one.permit);
        return lastPermit - answers.size() - back.size();
    }

    // Returns whether a permit was given back twice.
    bool gaveBackTwice() const
    {
        std::set<std::uint64_t> back;
        for (const Return& one : returns) {
            if (!back.insert(one.permit).second)
                return true;
        }
        return false;
    }

    bool isShared(const ServiceName& service) const override { return shared.contains(service); }

    PlaceAnswer acquire(const PlaceWish& wish, const std::function<bool()>& isGivenUp) override
    {
        wishes.push_back(wish);
        for (int i = 0; i < waits; ++i) {
            ++waited;
            if (onWait)
                onWait();
            if (isGivenUp())
                return {};
        }
        if (answers.empty())
            return {};
        const PlaceAnswer answer = answers.front();
        answers.pop_front();
        return answer;
    }

    void giveBack(std::uint64_t permit, std::optional<policy::EndpointOutcome> outcome, std::chrono::nanoseconds serviceTime) override { returns.push_back({ permit, outcome, serviceTime }); }
};

}
