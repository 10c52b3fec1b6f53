// Instances that have the operators' records from a store, or from those that follow it, while the store comes back from an older
// copy: on a virtual clock, with what followers state and the others read.
#include "whinyard/backing/FakeWatchableStore.h"
#include "whinyard/backing/PrefixFollower.h"
#include "whinyard/base/FakeClock.h"
#include "whinyard/peer/HeardRevisions.h"
#include "whinyard/peer/RecordBook.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace whinyard::peer {
namespace {

    using namespace std::chrono_literals;

    constexpr std::chrono::milliseconds step { 20 };
    constexpr std::chrono::milliseconds statementInterval { 220 };
    constexpr std::chrono::milliseconds readTime { 40 }; // Of another instance's records.
    constexpr std::chrono::milliseconds inForce { 2'000 };
    constexpr const char* configuration = "records/configuration";
    constexpr const char* evacuation = "records/evacuation";

    std::optional<std::uint64_t> versionOf(const backing::Record& record)
    {
        return record.key == configuration ? std::optional<std::uint64_t>(std::stoull(record.value)) : std::nullopt;
    }

    struct Instance final : public backing::PrefixObserver {
        Instance(const std::string& instance, backing::WatchableStore& store, const Clock& clockOfAll, std::uint64_t seed)
            : name { instance }
            , clock(clockOfAll)
            , heard(Random(seed))
            , follower(store, clock, "records/", 1s, *this)
        {
        }

        void replaced(const std::vector<backing::Record>& records, backing::Revision at) override
        {
            ++wholeReads;
            book.replace(records, at, clock.now());
        }

        void changed(const std::vector<backing::RecordChange>& changes) override
        {
            for (const backing::RecordChange& change : changes)
                book.change(change, clock.now());
        }

        void proven(SteadyTime) override { }
        void failed(const Failure&) override { }

        std::uint64_t version() const
        {
            const auto found = book.records().find(configuration);
            return found == book.records().end() ? 0 : std::stoull(found->second.value);
        }

        bool isEvacuated() const { return book.records().contains(evacuation); }

        const InstanceName name;
        const Clock& clock;
        RecordBook book { versionOf };
        HeardRevisions heard;
        backing::PrefixFollower follower;
        bool follows = false;
        bool isCut = false; // From the store and from the others.
        std::optional<InstanceName> readsFrom;
        SteadyTime readEnds;
        SteadyTime statesAt;
        int wholeReads = 0;
    };

    class RecordFleetTest : public ::testing::TestWithParam<int> {
    protected:
        RecordFleetTest()
        {
            for (int i = 0; i < GetParam(); ++i)
                m_instances.push_back(std::make_unique<Instance>("i" + std::to_string(i), m_store, m_clock, static_cast<std::uint64_t>(i) + 1));
            m_instances[0]->follows = m_instances[1]->follows = true;
            write(1);
            pass(1s);
        }

        void write(int version) { m_store.write(configuration, std::to_string(version)); }

        // Lets time pass, in which no instance may go back.
        void pass(std::chrono::milliseconds time)
        {
            for (const SteadyTime end = m_clock.now() + time; m_clock.now() < end; m_clock.advance(step)) {
                for (const auto& instance : m_instances) {
                    const std::uint64_t before = instance->version();
                    if (!instance->isCut)
                        turn(*instance);
                    instance->book.settle(m_clock.now());
                    EXPECT_GE(instance->version(), before) << instance->name.value;
                }
            }
        }

        void turn(Instance& self)
        {
            const SteadyTime now = m_clock.now();
            if (self.follows) {
                const Revision known = self.book.revision();
                self.follower.turn();
                if (self.book.revision() != known || now >= self.statesAt)
                    state(self);
            }
            if (self.readsFrom && now >= self.readEnds)
                endRead(self);
            if (const std::optional<RevisionRead> read = self.heard.due(self.book.revision(), self.follows, now); read && read->from) {
                self.heard.noteBegun();
                self.readsFrom = read->from;
                self.readEnds = now + readTime;
            }
        }

        void state(Instance& self)
        {
            self.statesAt = m_clock.now() + statementInterval;
            for (const auto& instance : m_instances) {
                if (instance.get() != &self && !instance->isCut)
                    instance->heard.hear(self.name, self.book.revision(), m_clock.now());
            }
        }

        void endRead(Instance& self)
        {
            const InstanceName from = *std::exchange(self.readsFrom, std::nullopt);
            const auto told = std::find_if(m_instances.begin(), m_instances.end(), [&](const auto& instance) { return instance->name == from; });
            const bool isNewer = !(*told)->isCut && (*told)->book.revision() > self.book.revision();
            if (isNewer)
                self.book.merge((*told)->book.snapshot(m_clock.now()), m_clock.now());
            self.heard.noteEnded(isNewer, m_clock.now());
        }

        bool allHave(std::uint64_t version) const
        {
            return std::all_of(m_instances.begin(), m_instances.end(), [&](const auto& instance) { return instance->isCut || instance->version() == version; });
        }

        bool areAllEvacuated(bool expected) const
        {
            return std::all_of(m_instances.begin(), m_instances.end(), [&](const auto& instance) { return instance->isCut || instance->isEvacuated() == expected; });
        }

        int wholeReads() const
        {
            int sum = 0;
            for (const auto& instance : m_instances)
                sum += instance->wholeReads;
            return sum;
        }

        FakeClock m_clock;
        backing::FakeWatchableStore m_store;
        std::vector<std::unique_ptr<Instance>> m_instances;
    };

    // Guards against late changes, whose revisions are smaller than, the same as, and larger than those that were lost.
    TEST_P(RecordFleetTest, HasEveryChangeInForceInTimeAfterAReturn)
    {
        m_store.keepCopy();
        for (int version = 2; version <= 6; ++version)
            write(version);
        m_store.write(evacuation, "{}");
        pass(1s);
        ASSERT_TRUE(allHave(6) && areAllEvacuated(true));
        const int reads = wholeReads();
        m_store.returnToCopy();
        pass(300ms);
        EXPECT_TRUE(allHave(6) && areAllEvacuated(true)) << "what the store lost stays in force";
        for (int version = 6; version <= 14; ++version) {
            write(version);
            pass(inForce / 2);
            EXPECT_TRUE(allHave(static_cast<std::uint64_t>(version))) << version;
        }
        EXPECT_EQ(wholeReads(), reads + 2) << "of the followers";
        pass(5s);
        EXPECT_TRUE(areAllEvacuated(false)) << "nobody wrote it again";
    }

    TEST_P(RecordFleetTest, GoesOnWhereFollowersChangeInTheReturn)
    {
        m_store.keepCopy();
        write(2);
        write(3);
        pass(1s);
        m_store.returnToCopy();
        m_instances[0]->isCut = m_instances[1]->isCut = true;
        m_instances[2]->follows = m_instances[3]->follows = true;
        pass(300ms);
        EXPECT_TRUE(allHave(3));
        write(4);
        pass(inForce);
        EXPECT_TRUE(allHave(4));
        m_instances[0]->isCut = m_instances[1]->isCut = false;
        pass(inForce);
        EXPECT_TRUE(allHave(4)) << "those that missed it have heard of it";
    }

    TEST_P(RecordFleetTest, GoesThroughReturnsInARow)
    {
        m_store.keepCopy();
        write(2);
        pass(100ms);
        m_store.returnToCopy();
        write(2);
        m_store.write(evacuation, "{}");
        pass(60ms);
        m_store.returnToCopy();
        pass(60ms);
        m_store.returnToCopy();
        pass(500ms);
        EXPECT_TRUE(allHave(2));
        EXPECT_TRUE(areAllEvacuated(true));
        write(2);
        m_store.write(evacuation, "{}");
        pass(12s);
        EXPECT_TRUE(allHave(2) && areAllEvacuated(true)) << "both were written again";
        write(3);
        m_store.erase(evacuation);
        pass(inForce);
        EXPECT_TRUE(allHave(3) && areAllEvacuated(false));
    }

    INSTANTIATE_TEST_SUITE_P(Sizes, RecordFleetTest, ::testing::Values(4, 9, 78));

}
}
