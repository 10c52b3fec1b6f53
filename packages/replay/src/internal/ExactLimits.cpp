#include "internal/ExactLimits.h"

#include <algorithm>

namespace whinyard::replay {

namespace {

    constexpr std::chrono::milliseconds contentionMargin { 1'500 };

}

LimitOutcome applyExactLimits(const Trace& trace)
{
    struct Bucket {
        double tokens = 0;
        TraceTime filledAt { 0 };
        std::vector<TraceTime> refusedAt;
    };
    std::vector<Bucket> buckets;
    for (const config::Customer& customer : trace.document.customers)
        buckets.push_back({ customer.requestsPerSecond, TraceTime(0), {} });
    LimitOutcome outcome;
    for (const TraceRequest& request : trace.requests) {
        Bucket& bucket = buckets[request.customer];
        const double rate = trace.document.customers[request.customer].requestsPerSecond;
        const double gained = std::chrono::duration<double>(request.at - bucket.filledAt).count() * rate;
        bucket.tokens = std::min(rate, bucket.tokens + gained);
        bucket.filledAt = request.at;
        outcome.refused.push_back(bucket.tokens < 1);
        if (outcome.refused.back())
            bucket.refusedAt.push_back(request.at);
        else
            bucket.tokens -= 1;
    }
    for (const TraceRequest& request : trace.requests) {
        const auto& refusedAt = buckets[request.customer].refusedAt;
        const auto next = std::lower_bound(refusedAt.begin(), refusedAt.end(), request.at - contentionMargin);
        outcome.contended.push_back(next != refusedAt.end() && *next <= request.at + contentionMargin);
    }
    return outcome;
}

}
