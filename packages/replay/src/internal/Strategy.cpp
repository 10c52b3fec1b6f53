#include "internal/Strategy.h"

#include "internal/Baselines.h"
#include "internal/ProductStrategy.h"

#include <algorithm>

namespace whinyard::replay {

float World::quality(const TraceRequest& request, std::size_t version, SteadyTime at) const
{
    for (const TraceFailure& failure : trace.failures) {
        const bool concerns = failure.kind == FailureKind::versionTurnsBad && trace.document.versions[version].name.value == failure.subject;
        if (concerns && EventQueue::start + failure.at <= at && request.luck < failure.amount)
            return badQuality;
    }
    return request.quality[version];
}

bool World::isBad(std::size_t version, SteadyTime at) const
{
    return std::any_of(trace.failures.begin(), trace.failures.end(), [&](const TraceFailure& failure) {
        return failure.kind == FailureKind::versionTurnsBad && trace.document.versions[version].name.value == failure.subject && EventQueue::start + failure.at <= at;
    });
}

SteadyTime World::lostAt(std::size_t engine) const
{
    for (const TraceFailure& failure : trace.failures) {
        if (failure.kind == FailureKind::zoneLost && trace.engines[engine].zone.value == failure.subject)
            return EventQueue::start + failure.at;
    }
    return SteadyTime::max();
}

bool World::serves(std::size_t engine, std::size_t version) const
{
    const auto& versions = trace.engines[engine].versions;
    return std::find(versions.begin(), versions.end(), trace.document.versions[version].name) != versions.end();
}

std::size_t World::cheapVersion() const { return trace.versionIndex(config::findCascade(trace.document, trace.cascade)->steps.front()); }
std::size_t World::strongVersion() const { return trace.versionIndex(config::findCascade(trace.document, trace.cascade)->steps.back()); }

std::unique_ptr<Strategy> makeStrategy(StrategyKind kind, World& world, std::uint64_t seed)
{
    if (kind == StrategyKind::whinyard || kind == StrategyKind::whinyardUnjudged)
        return std::make_unique<ProductStrategy>(world, seed, kind == StrategyKind::whinyard);
    return makeBaseline(kind, world, seed);
}

}
