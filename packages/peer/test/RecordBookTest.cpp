#include "whinyard/peer/RecordBook.h"

#include "whinyard/base/FakeClock.h"

#include <gtest/gtest.h>

namespace whinyard::peer {
namespace {

    using namespace std::chrono_literals;

    backing::Record record(const std::string& key, const std::string& value, const Revision& revision) { return { key, value, revision, {} }; }

    // Of a record "config", whose value is its version.
    std::optional<std::uint64_t> versionOf(const backing::Record& record)
    {
        return record.key == "config" ? std::optional<std::uint64_t>(std::stoull(record.value)) : std::nullopt;
    }

    class RecordBookTest : public ::testing::Test {
    protected:
        // Has a book know three records of era 1, of which a copy may lack any.
        RecordBookTest() { readFirst(m_book); }

        void readFirst(RecordBook& book)
        {
            book.replace({ record("config", "5", { 1, 40 }), record("order", "to v2", { 1, 41 }), record("zone", "{}", { 1, 42 }) }, { 1, 50 }, m_clock.now());
        }

        void returnWith(const std::vector<backing::Record>& copy, std::uint64_t number = 45) { m_book.replace(copy, { 2, number }, m_clock.now()); }

        std::string valueOf(const std::string& key) { return valueOf(m_book, key); }

        static std::string valueOf(const RecordBook& book, const std::string& key)
        {
            const auto found = book.records().find(key);
            return found == book.records().end() ? "none" : found->second.value;
        }

        // Lets the time pass in which operators write again.
        void expire()
        {
            m_clock.advance(10s);
            m_book.settle(m_clock.now());
        }

        FakeClock m_clock;
        RecordBook m_book { versionOf };
    };

    TEST_F(RecordBookTest, TakesSmallerRevisionsOfALaterEraForNew)
    {
        returnWith({ record("config", "5", { 2, 40 }), record("order", "to v2", { 2, 41 }), record("zone", "{}", { 2, 42 }) });
        EXPECT_EQ(m_book.carried(), 0U);
        EXPECT_GT(m_book.revision(), Revision(1, 50));
        m_book.change({ record("config", "6", { 2, 43 }), false }, m_clock.now());
        EXPECT_EQ(valueOf("config"), "6");
        EXPECT_EQ(m_book.revision(), Revision(2, 43));
    }

    TEST_F(RecordBookTest, KeepsWhatTheCopyLacksUntilItShouldHaveBeenWrittenAgain)
    {
        returnWith({ record("config", "5", { 2, 40 }) });
        EXPECT_EQ(valueOf("order"), "to v2");
        EXPECT_EQ(valueOf("zone"), "{}");
        EXPECT_EQ(m_book.carried(), 2U);
        m_book.change({ record("zone", "{}", { 2, 46 }), false }, m_clock.now());
        expire();
        EXPECT_EQ(valueOf("zone"), "{}") << "it was written again";
        EXPECT_EQ(valueOf("order"), "none") << "nobody wrote it again";
        EXPECT_EQ(m_book.carried(), 0U);
    }

    TEST_F(RecordBookTest, KeepsWhatTheCopyLacksThroughFurtherReads)
    {
        returnWith({ record("config", "5", { 2, 40 }) });
        m_book.replace({ record("config", "5", { 2, 40 }) }, { 2, 47 }, m_clock.now());
        EXPECT_EQ(valueOf("zone"), "{}");
    }

    TEST_F(RecordBookTest, NeverGoesBackToAnOlderVersion)
    {
        returnWith({ record("config", "3", { 2, 39 }) });
        EXPECT_EQ(valueOf("config"), "5");
        m_book.change({ record("config", "4", { 2, 46 }), false }, m_clock.now());
        EXPECT_EQ(valueOf("config"), "5") << "operators write again what they wrote, in its order";
        expire();
        EXPECT_EQ(valueOf("config"), "5");
        EXPECT_EQ(m_book.carried(), 1U) << "and the metrics go on to show it";
        m_book.change({ record("config", "7", { 2, 48 }), false }, m_clock.now());
        EXPECT_EQ(valueOf("config"), "7");
        EXPECT_EQ(m_book.carried(), 0U);
    }

    // Guards against taking a roll-out that is under way for a new one.
    TEST_F(RecordBookTest, KnowsARecordThatIsWrittenAgain)
    {
        returnWith({ record("config", "5", { 2, 40 }), record("zone", "{}", { 2, 42 }) });
        m_book.change({ record("order", "to v2", { 2, 46 }), false }, m_clock.now());
        EXPECT_EQ(m_book.records().at("order").revision, Revision(1, 41));
        m_book.replace({ record("config", "5", { 2, 40 }), record("order", "to v2", { 2, 46 }), record("zone", "{}", { 2, 42 }) }, { 2, 50 }, m_clock.now());
        EXPECT_EQ(m_book.records().at("order").revision, Revision(1, 41)) << "also when it is read once more";
        m_clock.advance(11s);
        m_book.change({ record("order", "to v2", { 2, 60 }), false }, m_clock.now());
        EXPECT_EQ(m_book.records().at("order").revision, Revision(2, 60)) << "later on it is a new one";
    }

    TEST_F(RecordBookTest, LeavesOutWhatWasRemovedBeforeTheReturn)
    {
        m_book.change({ record("zone", "", { 1, 51 }), true }, m_clock.now());
        returnWith({ record("config", "5", { 2, 40 }), record("order", "to v2", { 2, 41 }), record("zone", "{}", { 2, 42 }) });
        EXPECT_EQ(valueOf("zone"), "none");
        m_book.replace({ record("config", "5", { 2, 40 }), record("order", "to v2", { 2, 41 }), record("zone", "{}", { 2, 42 }) }, { 2, 47 }, m_clock.now());
        EXPECT_EQ(valueOf("zone"), "none");
        m_book.change({ record("zone", "{}", { 2, 42 }), false }, m_clock.now());
        EXPECT_EQ(valueOf("zone"), "none") << "a watch tells the copy's own record";
        m_book.change({ record("zone", "{}", { 2, 48 }), false }, m_clock.now());
        EXPECT_EQ(valueOf("zone"), "{}") << "it was written since";
    }

    TEST_F(RecordBookTest, TakesWhatIsNewSinceTheReturn)
    {
        m_book.change({ record("zone", "", { 1, 43 }), true }, m_clock.now());
        returnWith({ record("config", "6", { 2, 41 }), record("order", "to v3", { 2, 46 }), record("zone", "{}", { 2, 47 }), record("other", "{}", { 2, 40 }) }, 47);
        EXPECT_EQ(valueOf("config"), "6") << "by its version";
        EXPECT_EQ(valueOf("order"), "to v3") << "no copy has so large a number";
        EXPECT_EQ(valueOf("zone"), "{}");
        EXPECT_EQ(valueOf("other"), "{}") << "it was never known";
    }

    // Guards against holding back what was written in the era before: a record that was written again has a small number in the store, and
    // a larger one from before.
    TEST_F(RecordBookTest, MeasuresWhatIsNewByTheNumbersOfTheLastEra)
    {
        returnWith({ record("config", "5", { 2, 20 }), record("zone", "{}", { 2, 21 }) }, 25);
        m_book.change({ record("order", "to v2", { 2, 30 }), false }, m_clock.now());
        m_book.replace({ record("config", "5", { 3, 20 }), record("zone", "{}", { 3, 21 }), record("order", "to v3", { 3, 35 }) }, { 3, 36 }, m_clock.now());
        EXPECT_EQ(valueOf("order"), "to v3") << "35 was given out after 30, though 41 had been before";
    }

    TEST_F(RecordBookTest, GoesThroughTwoReturnsInARow)
    {
        returnWith({ record("config", "5", { 2, 40 }) });
        m_book.replace({ record("config", "4", { 3, 38 }) }, { 3, 39 }, m_clock.now());
        EXPECT_EQ(valueOf("config"), "5");
        EXPECT_EQ(valueOf("order"), "to v2");
        EXPECT_EQ(valueOf("zone"), "{}");
        m_book.change({ record("zone", "", { 3, 41 }), true }, m_clock.now());
        EXPECT_EQ(valueOf("zone"), "none") << "a removal that is told was made since";
    }

    TEST_F(RecordBookTest, HandsOnWhatItCarries)
    {
        returnWith({ record("config", "3", { 2, 39 }), record("order", "to v2", { 2, 41 }) });
        Failure failure;
        const std::optional<RecordSnapshot> told = decodeSnapshot(encodeSnapshot(m_book.snapshot(m_clock.now())), failure);
        ASSERT_TRUE(told) << failure.reason;
        RecordBook started(versionOf);
        started.replace({ record("config", "3", { 2, 39 }), record("order", "to v2", { 2, 41 }) }, { 2, 46 }, m_clock.now());
        EXPECT_EQ(valueOf(started, "config"), "3");
        started.merge(*told, m_clock.now());
        EXPECT_EQ(valueOf(started, "config"), "5");
        EXPECT_EQ(valueOf(started, "zone"), "{}");
        EXPECT_EQ(started.records().at("order").revision, Revision(1, 41)) << "by the name that it has elsewhere";
        m_clock.advance(10s);
        started.settle(m_clock.now());
        EXPECT_EQ(valueOf(started, "zone"), "none");
        EXPECT_EQ(valueOf(started, "config"), "5");
    }

    TEST_F(RecordBookTest, TakesWhatOneKnowsThatHasNotSeenTheReturn)
    {
        RecordBook started(versionOf);
        started.replace({ record("config", "3", { 2, 39 }) }, { 2, 46 }, m_clock.now());
        started.merge(m_book.snapshot(m_clock.now()), m_clock.now());
        EXPECT_EQ(valueOf(started, "config"), "5");
        EXPECT_EQ(valueOf(started, "zone"), "{}");
        EXPECT_EQ(started.revision(), Revision(2, 39));
    }

    TEST_F(RecordBookTest, IgnoresWhatIsOlder)
    {
        const RecordSnapshot old = m_book.snapshot(m_clock.now());
        m_book.change({ record("config", "6", { 1, 51 }), false }, m_clock.now());
        m_book.change({ record("zone", "", { 1, 52 }), true }, m_clock.now());
        m_book.merge(old, m_clock.now());
        EXPECT_EQ(valueOf("config"), "6");
        EXPECT_EQ(valueOf("zone"), "none");
    }

}
}
