// The order in which pieces of news are attached to heartbeats: those sent least often first.
//
// Membership keeps its member updates in one, GossipTable its entries. Source: Das, Gupta, Motivala,
// "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002, section 4.1.
// Unlike there, nothing ever leaves the queue: what was sent often is repeated at a low rate, which
// repairs what lost datagrams left out and fills the tables of newcomers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace whinyard::peer {

template <typename Key>
class SendQueue {
public:
    explicit SendQueue(std::uint64_t seed)
        : m_random(seed)
    {
    }

    // Puts a key where those are that were sent `sends` times: 0 for news.
    void renew(const Key& key, std::uint32_t sends = 0)
    {
        remove(key);
        const Place place { sends, m_random(), key };
        m_order.insert(place);
        m_places.emplace(key, place);
    }

    void remove(const Key& key)
    {
        const auto found = m_places.find(key);
        if (found == m_places.end())
            return;
        m_order.erase(found->second);
        m_places.erase(found);
    }

    // Offers keys to `accept` until it returns false, and counts those that it took as sent. After the
    // keys sent fewer than `freshSends` times, at most `repeats` others are offered.
    template <typename Accept>
    void take(std::uint32_t freshSends, std::size_t repeats, Accept accept)
    {
        std::vector<Place> taken;
        std::size_t repeated = 0;
        for (const Place& place : m_order) {
            const bool isFresh = place.sends < freshSends;
            if (!isFresh && repeated >= repeats)
                break;
            if (!accept(place.key))
                break;
            taken.push_back(place);
            repeated += isFresh ? 0 : 1;
        }
        for (const Place& place : taken)
            countSend(place);
    }

private:
    struct Place {
        std::uint32_t sends;
        std::uint64_t tie; // Drawn anew each time, so that instances don't all send the same pieces first.
        Key key;

        auto operator<=>(const Place&) const = default;
    };

    void countSend(const Place& place)
    {
        m_order.erase(place);
        const Place next { place.sends + 1, m_random(), place.key };
        m_order.insert(next);
        m_places.insert_or_assign(place.key, next);
    }

    std::mt19937_64 m_random;
    std::set<Place> m_order;
    std::map<Key, Place> m_places;
};

}
