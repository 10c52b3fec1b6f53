// Small values that every instance publishes and all others learn: the latest value by origin and topic.
//
// Membership carries its entries in heartbeats. Roll-out verdicts and leaving endpoints travel this way.
#pragma once

#include "whinyard/base/Identity.h"
#include "whinyard/peer/Messages.h"
#include "whinyard/peer/SendQueue.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace whinyard::peer {

// The table of one instance. Bounded in entries, also against an origin that makes up topics.
class GossipTable {
public:
    static constexpr std::size_t largestTopicCount = 16; // Of one origin.
    static constexpr std::size_t largestEntryTotal = 16'384;

    // `seed` draws the order in which entries of equal standing are sent.
    GossipTable(Sender self, std::uint64_t seed);

    // Sets this instance's value under a topic. Returns false when the value or the topic is too large or
    // there are too many topics.
    bool publish(const std::string& topic, std::string value);

    // Takes an entry of another instance. Returns whether it was newer than the one held.
    bool learn(const GossipEntry& entry);

    // Returns the values held under a topic, in the order of origins.
    std::vector<GossipEntry> under(const std::string& topic) const;

    // Drops what an origin published in incarnations before `incarnation`.
    void forgetBefore(const InstanceName& origin, Incarnation incarnation);

    // Returns entries for one datagram: those sent least often first, at most `bytes` long together. Beyond the
    // entries that were sent fewer than `freshSends` times, at most one is repeated.
    std::vector<GossipEntry> takeForSending(std::size_t bytes, std::uint32_t freshSends);

    // Returns what is held, and the entries that a holder of `held` lacks, at most `bytes` of them.
    std::vector<GossipDigest> digests() const;
    GossipSyncAnswer newerThan(const std::vector<GossipDigest>& held, std::size_t bytes) const;

private:
    struct Key {
        InstanceName origin;
        std::string topic;

        auto operator<=>(const Key&) const = default;
    };

    void store(const Key& key, const GossipEntry& entry);
    std::size_t topicCount(const InstanceName& origin) const;

    const Sender m_self;
    std::map<Key, GossipEntry> m_entries;
    SendQueue<Key> m_queue;
};

// Returns how many bytes an entry takes in a datagram.
std::size_t wireBytes(const GossipEntry& entry);

}
