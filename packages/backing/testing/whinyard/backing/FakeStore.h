// A key-value store for tests that answers at once and fails on command.
//
// Tests of the ledger, the configuration and the daemon use it. Several objects under test may share one.
#pragma once

#include "whinyard/backing/MemoryStore.h"

#include <deque>
#include <functional>
#include <utility>

namespace whinyard::backing {

// How often each call was made, refused ones included.
struct StoreCalls {
    std::size_t reads = 0;
    std::size_t swaps = 0;
    std::size_t erases = 0;
    std::size_t lists = 0;
    std::size_t watches = 0;
    std::size_t leases = 0;

    std::size_t writes() const { return swaps + erases; }
    std::size_t total() const { return reads + swaps + erases + lists + watches + leases; }
};

class FakeStore final : public KeyValueStore {
public:
    explicit FakeStore(const Clock& clock)
        : m_memory(clock)
    {
    }

    // While down, every call fails with storeUnavailable and has no effect.
    void setDown(bool down) { m_down = down; }

    // The next write takes effect, but its caller sees storeUncertain.
    void loseNextReply() { m_nextWrite = WriteFault::loseReply; }

    // The next write's caller sees storeUncertain; the write waits for releaseDelayed(). Without that it never takes effect.
    void delayNextWrite() { m_nextWrite = WriteFault::delay; }

    // Applies the delayed writes in order, each against the revision that stands by then. Returns
    // how many of them took effect.
    std::size_t releaseDelayed()
    {
        std::size_t effective = 0;
        for (const auto& write : std::exchange(m_delayed, {}))
            effective += write() ? 1 : 0;
        return effective;
    }

    // Runs `action` once, before the next write is applied: another writer that comes between.
    // The action may use the store.
    void beforeNextWrite(std::function<void()> action) { m_beforeWrite = std::move(action); }

    // Replaces the value of a present record without a new revision.
    void corrupt(const std::string& key, const std::string& value = "\x01 not a record") { m_memory.corrupt(key, value); }

    // The contents, for set-up and checks that count no call and meet no fault.
    MemoryStore& memory() { return m_memory; }

    const StoreCalls& calls() const { return m_calls; }
    void resetCalls() { m_calls = {}; }

    std::optional<Record> read(const std::string& key, Failure& failure) override
    {
        ++m_calls.reads;
        if (refusedWhileDown(failure))
            return std::nullopt;
        auto record = m_memory.read(key);
        if (!record)
            failure = { .kind = ErrorKind::notFound, .reason = "no record " + key };
        return record;
    }

    std::optional<Revision> swap(const Swap& swap, Failure& failure) override
    {
        ++m_calls.swaps;
        std::optional<Revision> revision;
        const auto apply = [this, swap] { return m_memory.swap(swap); };
        if (!write([&] { return (revision = apply()).has_value(); }, [apply] { return apply().has_value(); }, failure))
            return std::nullopt;
        return revision;
    }

    bool erase(const std::string& key, Revision expected, Failure& failure) override
    {
        ++m_calls.erases;
        const auto apply = [this, key, expected] { return m_memory.erase(key, expected); };
        return write(apply, apply, failure);
    }

    std::optional<std::vector<Record>> list(const std::string& prefix, const std::string& after, std::size_t limit, Failure& failure) override
    {
        ++m_calls.lists;
        if (refusedWhileDown(failure))
            return std::nullopt;
        return m_memory.list(prefix, after, limit);
    }

    // Never waits: returns the record if it has changed, else deadlineExceeded.
    std::optional<Record> watch(const std::string& key, Revision known, std::chrono::milliseconds, Failure& failure) override
    {
        ++m_calls.watches;
        if (refusedWhileDown(failure))
            return std::nullopt;
        auto record = m_memory.read(key);
        if (record && record->revision > known)
            return record;
        failure = { .kind = ErrorKind::deadlineExceeded, .reason = "no change of " + key };
        return std::nullopt;
    }

    std::optional<LeaseId> grantLease(std::chrono::milliseconds timeToLive, Failure& failure) override
    {
        ++m_calls.leases;
        if (refusedWhileDown(failure))
            return std::nullopt;
        return m_memory.grantLease(timeToLive);
    }

    bool keepLease(LeaseId lease, Failure& failure) override
    {
        ++m_calls.leases;
        if (refusedWhileDown(failure))
            return false;
        if (m_memory.keepLease(lease))
            return true;
        failure = { .kind = ErrorKind::notFound, .reason = "the lease has lapsed" };
        return false;
    }

private:
    enum class WriteFault : std::uint8_t {
        none,
        loseReply,
        delay,
    };

    bool refusedWhileDown(Failure& failure) const
    {
        if (m_down)
            failure = { .kind = ErrorKind::storeUnavailable, .reason = "the store is down" };
        return m_down;
    }

    // Carries out `now`, or keeps `later` for releaseDelayed(), as the next fault says.
    bool write(const std::function<bool()>& now, std::function<bool()> later, Failure& failure)
    {
        if (const auto action = std::exchange(m_beforeWrite, nullptr))
            action();
        if (refusedWhileDown(failure))
            return false;
        const WriteFault fault = std::exchange(m_nextWrite, WriteFault::none);
        if (fault == WriteFault::delay) {
            m_delayed.push_back(std::move(later));
            failure = { .kind = ErrorKind::storeUncertain, .reason = "no reply yet" };
            return false;
        }
        const bool effective = now();
        if (fault == WriteFault::loseReply) {
            failure = { .kind = ErrorKind::storeUncertain, .reason = "the reply was lost" };
            return false;
        }
        if (!effective)
            failure = { .kind = ErrorKind::swapConflict, .reason = "another revision stands" };
        return effective;
    }

    MemoryStore m_memory;
    StoreCalls m_calls;
    bool m_down = false;
    WriteFault m_nextWrite = WriteFault::none;
    std::deque<std::function<bool()>> m_delayed;
    std::function<void()> m_beforeWrite;
};

}
