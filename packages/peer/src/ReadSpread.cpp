#include "whinyard/peer/ReadSpread.h"

#include <algorithm>
#include <utility>

namespace whinyard::peer {

ReadSpread::ReadSpread(const ReadSpreadSettings& settings)
    : m_settings(settings)
{
}

ReadTurn ReadSpread::take(const InstanceName& asker, std::uint64_t content)
{
    if (std::exchange(m_content, content) != content)
        m_answered.clear();
    if (m_underWay < m_settings.atOnce) {
        ++m_underWay;
        return { true, {} };
    }
    // Each in turn, so that those who are sent on spread over all. The asker itself may have lost what it had read.
    for (std::size_t look = 0; look < m_answered.size(); ++look) {
        std::rotate(m_answered.begin(), m_answered.begin() + 1, m_answered.end());
        if (m_answered.back() != asker)
            return { false, m_answered.back() };
    }
    return {};
}

void ReadSpread::noteAnswered(const InstanceName& asker, std::uint64_t content)
{
    --m_underWay;
    if (content != m_content)
        return;
    std::erase(m_answered, asker);
    m_answered.push_back(asker);
    if (m_answered.size() > m_settings.remembered)
        m_answered.pop_front();
}

}
