// Spreads reads that hundreds of instances make at once over those that have already read.
//
// A follower's link carries a list of endpoints to a few instances at a time; where hundreds ask at once, the rest is sent
// on to instances that were answered before, which answer in their turn. So the time until all have read grows with the
// logarithm of their number, and not with the number. Pure: the daemon asks it for each read that comes.
#pragma once

#include "whinyard/base/Identity.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace whinyard::peer {

struct ReadSpreadSettings {
    std::size_t atOnce = 4; // Answers that are under way at a time.
    std::size_t remembered = 64; // Instances that were answered last, to send others to.
};

// What an instance does with a read.
struct ReadTurn {
    bool isAnswered = false;
    std::optional<InstanceName> sentTo; // Who is to be asked instead; nothing where nobody is known, to come back a little later.
};

class ReadSpread {
public:
    explicit ReadSpread(const ReadSpreadSettings& settings = {});

    // Takes a read of `asker`, of what has the tag `content` now. Call noteAnswered() when an answer was sent.
    ReadTurn take(const InstanceName& asker, std::uint64_t content);

    void noteAnswered(const InstanceName& asker, std::uint64_t content);

private:
    const ReadSpreadSettings m_settings;
    std::size_t m_underWay = 0;
    std::uint64_t m_content = 0;
    std::deque<InstanceName> m_answered; // That have `m_content`; the latest last.
};

}
