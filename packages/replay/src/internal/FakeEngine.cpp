#include "internal/FakeEngine.h"

#include <algorithm>
#include <utility>

namespace whinyard::replay {

std::uint32_t FakeEngine::PrefixCache::tokensOf(std::uint32_t session) const
{
    const auto found = m_places.find(session);
    return found == m_places.end() ? 0 : found->second->tokens;
}

void FakeEngine::PrefixCache::put(std::uint32_t session, std::uint32_t tokens)
{
    if (const auto found = m_places.find(session); found != m_places.end()) {
        m_held -= found->second->tokens;
        m_entries.erase(found->second);
        m_places.erase(found);
    }
    m_entries.push_front({ session, tokens });
    m_places[session] = m_entries.begin();
    m_held += tokens;
    while (m_held > m_capacity) {
        m_held -= m_entries.back().tokens;
        m_places.erase(m_entries.back().session);
        m_entries.pop_back();
    }
}

FakeEngine::FakeEngine(const TraceEngine& description, EventQueue& events, Listener listener)
    : m_description(description)
    , m_events(events)
    , m_listener(std::move(listener))
    , m_cache(description.cacheTokens)
{
}

std::uint32_t FakeEngine::prefillOf(const EngineJob& job) const
{
    return job.promptTokens - std::min(job.prefixTokens, m_cache.tokensOf(job.session));
}

void FakeEngine::submit(const EngineJob& job)
{
    if (m_lost)
        return;
    m_queue.push_back(job);
    if (!m_stepping)
        startStep();
}

std::uint64_t FakeEngine::cancel(std::uint64_t job)
{
    std::erase_if(m_queue, [&](const EngineJob& waiting) { return waiting.id == job; });
    const auto found = std::find_if(m_running.begin(), m_running.end(), [&](const Running& running) { return running.job.id == job; });
    if (found == m_running.end())
        return 0;
    const std::uint64_t worked = found->prefilled + found->generated;
    m_running.erase(found);
    return worked;
}

std::vector<std::uint64_t> FakeEngine::lose()
{
    m_lost = true;
    std::vector<std::uint64_t> jobs;
    for (const Running& running : m_running)
        jobs.push_back(running.job.id);
    for (const EngineJob& job : m_queue)
        jobs.push_back(job.id);
    m_running.clear();
    m_queue.clear();
    return jobs;
}

void FakeEngine::admit()
{
    while (!m_queue.empty() && m_running.size() < m_description.slots) {
        const EngineJob job = m_queue.front();
        m_queue.pop_front();
        m_running.push_back({ job, std::max(1U, prefillOf(job)) });
    }
}

void FakeEngine::startStep()
{
    admit();
    m_stepping = !m_running.empty();
    if (m_stepping)
        m_events.after(m_description.step, [this] { endStep(); });
}

void FakeEngine::endStep()
{
    if (m_lost)
        return;
    std::uint32_t budget = m_description.prefillPerStep;
    std::vector<std::uint64_t> first;
    std::vector<std::uint64_t> finished;
    for (Running& running : m_running) {
        if (running.prefillLeft > 0) {
            const std::uint32_t part = std::min(budget, running.prefillLeft);
            running.prefillLeft -= part;
            running.prefilled += part;
            budget -= part;
            if (running.prefillLeft > 0)
                continue;
            first.push_back(running.job.id);
        }
        if (++running.generated == running.job.completionTokens)
            finished.push_back(running.job.id);
    }
    std::erase_if(m_running, [&](const Running& running) {
        const bool ends = running.generated >= running.job.completionTokens;
        if (ends)
            m_cache.put(running.job.session, running.job.promptTokens + running.job.completionTokens);
        return ends;
    });
    startStep();
    for (const std::uint64_t job : first)
        m_listener.firstToken(job);
    for (const std::uint64_t job : finished)
        m_listener.finished(job);
}

std::chrono::microseconds FakeEngine::trueFirstToken(const EngineJob& job) const
{
    const auto stepsOf = [&](std::uint32_t prefill, std::uint32_t tokens) {
        return (prefill + m_description.prefillPerStep - 1) / m_description.prefillPerStep + tokens;
    };
    std::vector<std::uint32_t> freeAt(m_description.slots, 0); // In steps from now, by slot.
    for (std::size_t i = 0; i < m_running.size(); ++i)
        freeAt[i] = stepsOf(m_running[i].prefillLeft, m_running[i].job.completionTokens - m_running[i].generated);
    for (const EngineJob& waiting : m_queue) {
        const auto slot = std::min_element(freeAt.begin(), freeAt.end());
        *slot += stepsOf(prefillOf(waiting), waiting.completionTokens - 1);
    }
    const std::uint32_t steps = *std::min_element(freeAt.begin(), freeAt.end()) + stepsOf(std::max(1U, prefillOf(job)), 0);
    return m_description.step * steps;
}

}
