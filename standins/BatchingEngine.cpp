#include "BatchingEngine.h"

namespace whinyard::standin {

PrefixCache::PrefixCache(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::size_t PrefixCache::match(const std::vector<std::uint64_t>& chain)
{
    std::size_t held = 0;
    while (held < chain.size() && touch(chain[held]))
        ++held;
    return held;
}

void PrefixCache::insert(const std::vector<std::uint64_t>& chain)
{
    for (const std::uint64_t digest : chain) {
        if (touch(digest))
            continue;
        m_order.push_front(digest);
        m_index[digest] = m_order.begin();
    }
    while (m_order.size() > m_capacity) {
        m_index.erase(m_order.back());
        m_order.pop_back();
    }
}

std::vector<std::uint64_t> PrefixCache::digests() const
{
    return { m_order.begin(), m_order.end() };
}

bool PrefixCache::touch(std::uint64_t digest)
{
    const auto found = m_index.find(digest);
    if (found == m_index.end())
        return false;
    m_order.splice(m_order.begin(), m_order, found->second);
    return true;
}

BatchingEngine::BatchingEngine(const EngineLimits& limits)
    : m_limits(limits)
    , m_cache(limits.cacheBlocks)
{
}

GenerationRef BatchingEngine::add(Generation generation)
{
    if (knows(generation.attempt) || m_queue.size() >= m_limits.queueLength)
        return nullptr;
    auto added = std::make_shared<Generation>(std::move(generation));
    added->state = GenerationState::queued;
    m_known[added->attempt] = added;
    m_historyIndex[added->attempt] = m_history.size();
    m_queue[{ added->priority, m_history.size() }] = added;
    m_history.push_back({ added->attempt, added->version, 0, added->state, added->arrivedMs });
    return added;
}

void BatchingEngine::step()
{
    while (m_running.size() < m_limits.slots && !m_queue.empty()) {
        const Mutable next = m_queue.begin()->second;
        m_queue.erase(m_queue.begin());
        admit(next);
    }
    for (const Mutable& generation : m_running)
        advance(*generation);
    std::erase_if(m_running, [](const Mutable& generation) { return generation->ended(); });
}

bool BatchingEngine::cancel(const std::string& attempt)
{
    const auto found = m_known.find(attempt);
    if (found == m_known.end())
        return false;
    const Mutable generation = found->second;
    if (generation->ended())
        return true;
    std::erase_if(m_queue, [&](const auto& entry) { return entry.second == generation; });
    std::erase(m_running, generation);
    end(*generation, GenerationState::cancelled);
    return true;
}

GenerationRef BatchingEngine::find(const std::string& attempt) const
{
    const auto found = m_known.find(attempt);
    return found == m_known.end() ? nullptr : found->second;
}

void BatchingEngine::admit(const Mutable& generation)
{
    const std::size_t uncached = generation->prompt.size() - m_cache.match(generation->prompt);
    generation->prefillSteps = (uncached + m_limits.prefillBlocksPerStep - 1) / m_limits.prefillBlocksPerStep;
    setState(*generation, GenerationState::running);
    m_running.push_back(generation);
}

void BatchingEngine::advance(Generation& generation)
{
    if (generation.prefillSteps > 0) {
        --generation.prefillSteps;
        return;
    }
    if (generation.produced == 0)
        m_cache.insert(generation.prompt);
    if (generation.produced < generation.tokens.size())
        ++generation.produced;
    if (generation.produced == generation.tokens.size())
        end(generation, GenerationState::finished);
}

void BatchingEngine::setState(Generation& generation, GenerationState state)
{
    generation.state = state;
    EngineRun& run = m_history[m_historyIndex.at(generation.attempt)];
    run.state = state;
    run.tokens = generation.produced;
}

void BatchingEngine::end(Generation& generation, GenerationState state)
{
    setState(generation, state);
    m_ended.push_back(generation.attempt);
    while (m_ended.size() > m_limits.keptFinished) {
        m_known.erase(m_ended.front());
        m_ended.pop_front();
    }
}

}
