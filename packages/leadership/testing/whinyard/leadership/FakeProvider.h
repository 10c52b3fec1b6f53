// A provider for tests: it keeps what it was told, and is away, loses answers or has nothing on command.
#pragma once

#include "whinyard/leadership/Provider.h"

#include <set>
#include <vector>

namespace whinyard::leadership {

class FakeProvider final : public Provider {
public:
    struct Report {
        UsageWindow window;
        Authority authority;
    };

    bool isAway = false;
    bool losesAnswers = false;
    std::set<ZoneName> drySpotZones;
    std::vector<Report> reports;
    std::vector<CapacityOrder> orders;

    std::optional<ProviderAnswer> reportUsage(const UsageWindow& window, const Authority& authority, Failure& failure) override
    {
        if (isAway) {
            failure = { .kind = ErrorKind::storeUnavailable, .reason = "away" };
            return std::nullopt;
        }
        reports.push_back({ window, authority });
        return answer(ProviderAnswer::accepted, failure);
    }

    std::optional<ProviderAnswer> order(const CapacityOrder& order, const Authority&, Failure& failure) override
    {
        if (isAway) {
            failure = { .kind = ErrorKind::storeUnavailable, .reason = "away" };
            return std::nullopt;
        }
        if (order.isSpot && drySpotZones.contains(order.zone))
            return answer(ProviderAnswer::noCapacity, failure);
        orders.push_back(order);
        return answer(ProviderAnswer::accepted, failure);
    }

private:
    std::optional<ProviderAnswer> answer(ProviderAnswer given, Failure& failure) const
    {
        if (!losesAnswers)
            return given;
        failure = { .kind = ErrorKind::storeUncertain, .reason = "no answer" };
        return std::nullopt;
    }
};

}
