// The part of ForwardRun that accounts the memory which requests take of engines.
#include "internal/ForwardRun.h"

#include "internal/ForwardText.h"
#include "whinyard/base/Log.h"

#include <algorithm>
#include <limits>

namespace whinyard::router {

namespace {

    // The longest time between two looks of a request that waits for room: other requests may have ended sooner than was expected.
    // Drawn from the upper half, since the instances would all take the same room if they looked at the same time.
    constexpr std::chrono::milliseconds roomInterval { 100 };

    // A request waits for room so much longer than was first expected: where others come first, it is refused before its deadline.
    constexpr std::chrono::milliseconds roomSlack { 500 };

}

std::uint32_t ForwardRun::tokensOfEvents(std::uint64_t events) const
{
    const config::RoutedService* service = m_admission.table->findService(m_service);
    const std::uint64_t tokens = std::min<std::uint64_t>(events, std::numeric_limits<std::uint32_t>::max()) * (service ? service->tokensPerEvent : 1);
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, std::numeric_limits<std::uint32_t>::max()));
}

std::uint32_t ForwardRun::expectedAnswer() const
{
    return m_core.answers.expected(m_admission.route->name, m_request.expectedTokens, m_request.answerTokens, tokensOfEvents(m_lastEvent.value_or(0)));
}

// A request that an endpoint may have begun isn't refused for lack of memory: what it has got so far would be lost.
void ForwardRun::needMemory(endpoint::EndpointWish& wish) const
{
    if (!m_core.settings.accountMemory || !m_admission.route->isGenerative)
        return;
    const std::uint64_t tokens = std::uint64_t { m_request.promptTokens } + expectedAnswer();
    wish.neededTokens = static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, std::numeric_limits<std::uint32_t>::max()));
    if (m_sent == 0)
        wish.roomBy = std::min(m_roomBy.value_or(SteadyTime::max()), m_deadline - wish.tokenTime * m_request.promptTokens);
}

// A request that would fill an engine above its memory makes it preempt others, so it stays here until room is expected.
bool ForwardRun::waitedForRoom()
{
    const std::chrono::nanoseconds wait = m_target->endpoint.plan.roomWait;
    if (wait.count() <= 0)
        return false;
    if (!m_roomBy) {
        m_roomBy = now() + wait + roomSlack;
        m_core.parts.metrics.add("whinyard_waits_for_memory_total");
    }
    const auto interval = std::chrono::duration_cast<std::chrono::nanoseconds>(roomInterval * (1 - uniform(m_core.random) / 2));
    m_core.parts.fibers.wait(std::min(wait, interval));
    return true;
}

// The memory is held while the request waits, its prompt is read and its answer generated.
MemoryNeed ForwardRun::memoryNeed(const AttemptTarget& target) const
{
    endpoint::EndpointWish wish;
    needMemory(wish);
    const std::uint32_t generated = std::min(tokensOfEvents(m_lastEvent.value_or(0)), expectedAnswer());
    return { wish.neededTokens, target.endpoint.plan.expectedWait + m_core.answers.tokenTime(m_admission.route->name) * (expectedAnswer() - generated) };
}

void ForwardRun::noteRefusal(const endpoint::EndpointWish& wish, const Failure& failure) const
{
    const policy::EndpointPlan& plan = m_core.parts.directory.lastPlan();
    if (plan.reason != policy::ChoiceReason::noRoom && plan.reason != policy::ChoiceReason::largerThanMemory)
        return;
    m_core.parts.metrics.add("whinyard_memory_refusals_total");
    log::info("refused for memory", { { "request", m_request.id }, { "version", wish.version.value }, { "model", model().value }, { "reason", std::string(toText(plan.reason)) }, { "promptTokens", std::to_string(m_request.promptTokens) }, { "estimatedTokens", std::to_string(m_request.expectedTokens) }, { "neededTokens", std::to_string(wish.neededTokens) }, { "cacheTokens", std::to_string(m_core.parts.directory.cacheTokens(wish)) }, { "mostRoomTokens", std::to_string(static_cast<std::int64_t>(plan.room)) }, { "roomInMs", text(plan.expectedWait) }, { "timeLeftMs", text(timeLeft()) }, { "retryAfterMs", text(failure.retryAfter) } });
}

// Only of an answer that came from its first to its last token in one attempt.
void ForwardRun::learnAnswer()
{
    if (!m_admission.route->isGenerative || m_goesOn || m_events == 0 || !m_firstEventAt || !m_latestEventAt)
        return;
    m_core.answers.learn(m_admission.route->name, tokensOfEvents(m_events), *m_latestEventAt - *m_firstEventAt);
}

}
