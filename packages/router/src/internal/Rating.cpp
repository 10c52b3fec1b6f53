#include "internal/Rating.h"

#include <algorithm>

namespace whinyard::router {

namespace {

    constexpr std::chrono::milliseconds longestRating { 2'000 };
    constexpr std::chrono::milliseconds backgroundRating { 10'000 };
    constexpr std::chrono::seconds outageMemory { 5 };

    void learn(RouterCore& core, const RequestId& request, const RatedAnswer& answer, double score)
    {
        const SteadyTime now = core.parts.clock.now();
        core.cascades.learnRating(answer.application, answer.version, score);
        core.parts.judge.recordRating(answer.version, request, score, now);
        core.parts.judge.refresh(now);
    }

    std::optional<double> ask(RouterCore& core, const RequestId& request, const RatedAnswer& answer, std::chrono::milliseconds timeout, Failure& failure)
    {
        const SteadyTime began = core.parts.clock.now();
        const std::optional<double> score = core.parts.ratings.rate(request, answer.version, answer.application, answer.question, answer.answer, timeout, failure);
        const SteadyTime now = core.parts.clock.now();
        if (!score) {
            core.ratings.failedAt = now;
            return std::nullopt;
        }
        constexpr int memory = 8; // Answers over which the mean moves.
        core.ratings.failedAt.reset();
        core.ratings.time += (std::chrono::duration_cast<std::chrono::microseconds>(now - began) - core.ratings.time) / memory;
        learn(core, request, answer, *score);
        return score;
    }

    void recordRating(const RequestContext& context, const RatedAnswer& answer, double score)
    {
        constexpr double thousandths = 1'000;
        context.record(EventKind::ratingReceived, { .version = answer.version, .amount = static_cast<std::uint64_t>(score * thousandths) });
    }

    bool isInRollout(const config::Document& document, const VersionName& version)
    {
        return std::any_of(document.rollouts.begin(), document.rollouts.end(), [&](const config::Rollout& rollout) { return rollout.to == version || rollout.from == version; });
    }

}

std::optional<double> rateNow(RequestContext& context, const RatedAnswer& answer)
{
    const auto timeout = std::min(longestRating, context.timeLeft() / 2);
    Failure failure;
    const std::optional<double> score = ask(context.core, context.id, answer, timeout, failure);
    if (score)
        recordRating(context, answer, *score);
    return score;
}

bool drawsRating(RequestContext& context, const VersionName& version)
{
    return isInRollout(context.configuration->document, version) || uniform(context.core.random) < context.core.settings.ratedShare;
}

void rateLater(RequestContext& context, RatedAnswer answer)
{
    RouterCore& core = context.core;
    core.parts.fibers.start([&core, id = context.id, answer = std::move(answer)] {
        Failure failure;
        const std::optional<double> score = ask(core, id, answer, backgroundRating, failure);
        if (score)
            recordRating(RequestContext(core, id), answer, *score);
    });
}

bool ratingAvailable(const RouterCore& core, SteadyTime now)
{
    return !core.ratings.failedAt || now - *core.ratings.failedAt > outageMemory;
}

}
