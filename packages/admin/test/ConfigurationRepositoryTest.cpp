#include "whinyard/admin/ConfigurationRepository.h"

#include "whinyard/admin/RacingStore.h"
#include "whinyard/base/FakeClock.h"

#include <boost/fiber/fiber.hpp>
#include <gtest/gtest.h>
#include <set>

namespace whinyard::admin {

namespace {

    using namespace std::chrono_literals;

    // Moves the clock instead of waiting, and lets other fibers run.
    class ClockWaiter final : public Waiter {
    public:
        explicit ClockWaiter(FakeClock& clock)
            : m_clock(clock)
        {
        }

        void wait(std::chrono::milliseconds duration) override
        {
            m_clock.advance(duration);
            boost::this_fiber::yield();
        }

    private:
        FakeClock& m_clock;
    };

    void addService(config::Document& document, const std::string& name)
    {
        document.services.push_back({ { name } });
    }

    Submission submissionOf(const std::string& identity, const config::Configuration& base)
    {
        Submission submission { identity, "jana", "", base.revision, base.document };
        addService(submission.document, identity);
        return submission;
    }

    // One repository on a store that fails on command.
    struct RepositoryTest : testing::Test {
        SubmitAnswer submit(const Submission& submission)
        {
            const auto answer = repository.submit(submission, failure);
            EXPECT_TRUE(answer.has_value()) << failure.reason;
            return answer.value_or(SubmitAnswer());
        }

        config::Configuration inForce()
        {
            return repository.current(failure).value_or(config::Configuration());
        }

        FakeClock clock;
        ClockWaiter waiter { clock };
        backing::FakeStore store { clock };
        ConfigurationRepository repository { store, clock, waiter };
        Failure failure;
    };

    // What one submission was answered.
    struct Answered {
        Submission submission;
        SubmitAnswer answer;
    };

    // One run of racing operators, each on an instance of its own.
    class Race {
    public:
        Race(std::uint64_t seed, PlantedFault planted)
            : m_random(seed)
            , m_store(m_clock, m_random, planted)
        {
        }

        void run()
        {
            constexpr int operators = 4;
            std::vector<boost::fibers::fiber> fibers;
            for (int number = 0; number < operators; ++number)
                fibers.emplace_back([this, number] { operate(number); });
            for (auto& fiber : fibers)
                fiber.join();
            m_store.settle();
        }

        // Returns the first promise that the history breaks, or an empty text.
        std::string check() const
        {
            const auto& versions = m_store.versions();
            std::set<std::string> submissions;
            for (std::size_t index = 0; index < versions.size(); ++index) {
                const auto& version = versions[index];
                const std::string name = "revision " + std::to_string(version.revision);
                if (version.revision != index + 1)
                    return name + " stands in place " + std::to_string(index + 1);
                if (!submissions.insert(version.submission).second)
                    return version.submission + " was accepted twice";
                if (index > 0 && !containsAll(version.document, versions[index - 1].document))
                    return name + " undoes an accepted change";
            }
            return checkAnswers(versions, submissions);
        }

        // Returns what is wrong with the history in the store, or an empty text.
        std::string checkHistory()
        {
            const auto& versions = m_store.versions();
            for (std::size_t index = 0; index + 1 < versions.size(); ++index) {
                const auto record = m_store.memory().read(config::historyKey(versions[index].revision));
                if (!record || record->value != config::toRecord(versions[index]))
                    return "the history lacks revision " + std::to_string(versions[index].revision);
            }
            return {};
        }

        const RacingCounts& counts() const { return m_store.counts(); }
        std::size_t accepted() const { return m_store.versions().size(); }
        std::size_t conflicts() const { return m_conflicts; }

    private:
        static bool containsAll(const config::Document& larger, const config::Document& smaller)
        {
            return std::all_of(smaller.services.begin(), smaller.services.end(), [&](const config::Service& service) { return findService(larger, service.name); });
        }

        std::string checkAnswers(const std::vector<config::Configuration>& versions, const std::set<std::string>& submissions) const
        {
            for (const Answered& answered : m_answers) {
                const std::string& identity = answered.submission.identity;
                const std::uint64_t revision = answered.answer.revision;
                if (answered.answer.outcome == SubmitOutcome::conflict && submissions.contains(identity))
                    return identity + " was refused and took effect";
                if (answered.answer.outcome != SubmitOutcome::written)
                    continue;
                if (revision == 0 || revision > versions.size() || versions[revision - 1].submission != identity)
                    return identity + " was acknowledged as revision " + std::to_string(revision) + " and isn't there";
            }
            return {};
        }

        void operate(int number)
        {
            constexpr int sessions = 4;
            ClockWaiter waiter(m_clock);
            ConfigurationRepository repository(m_store, m_clock, waiter, { .deadline = 1s });
            for (int session = 0; session < sessions; ++session)
                runSession(repository, "form-" + std::to_string(number) + "-" + std::to_string(session));
        }

        // Submits until the outcome is known. Some scripts repeat an uncertain submission on a newer revision.
        void runSession(ConfigurationRepository& repository, const std::string& identity)
        {
            constexpr int tries = 20;
            std::optional<Submission> submission;
            for (int attempt = 0; attempt < tries; ++attempt) {
                Failure failure;
                if (!submission || uniform(m_random) < 0.3) {
                    const auto base = repository.current(failure);
                    if (!base)
                        continue;
                    submission = submissionOf(identity, *base);
                }
                const auto answer = repository.submit(*submission, failure);
                if (!answer && failure.kind == ErrorKind::keyReused)
                    return;
                if (!answer)
                    continue;
                m_answers.push_back({ *submission, *answer });
                if (answer->outcome == SubmitOutcome::written)
                    return;
                ++m_conflicts;
                return;
            }
        }

        FakeClock m_clock;
        Random m_random;
        RacingStore m_store;
        std::vector<Answered> m_answers;
        std::size_t m_conflicts = 0;
    };

    constexpr std::uint64_t seeds = 400;
    constexpr std::uint64_t plantedSeeds = 50;

    // Returns how many of the seeds show a broken promise.
    std::uint64_t seedsThatSee(PlantedFault planted)
    {
        std::uint64_t seen = 0;
        for (std::uint64_t seed = 0; seed < plantedSeeds; ++seed) {
            Race race(seed, planted);
            race.run();
            seen += race.check().empty() && race.checkHistory().empty() ? 0 : 1;
        }
        return seen;
    }

}

TEST_F(RepositoryTest, AcceptsRefusesAndRemembers)
{
    EXPECT_EQ(inForce().revision, 0U);
    const Submission first = submissionOf("form-1", inForce());
    EXPECT_EQ(submit(first).revision, 1U);
    EXPECT_EQ(submit(first).revision, 1U) << "a repetition gives the same result";
    EXPECT_EQ(store.memory().revisionOf(config::historyKey(2)), 0U);

    Submission other = first;
    addService(other.document, "more");
    EXPECT_FALSE(repository.submit(other, failure).has_value());
    EXPECT_EQ(failure.kind, ErrorKind::keyReused) << failure.reason;

    Submission wrong = submissionOf("form-2", inForce());
    wrong.document.rollouts = { { { "lm" }, { "lm-1" }, { "lm-2" } } };
    const auto answer = submit(wrong);
    EXPECT_EQ(answer.outcome, SubmitOutcome::invalid);
    EXPECT_EQ(answer.faults.at(0).path, "/rollouts/0/from");
}

TEST_F(RepositoryTest, AConflictShowsBothSidesFromTheCommonBase)
{
    submit(submissionOf("form-1", inForce()));
    const config::Configuration base = inForce();
    submit(submissionOf("theirs", base));
    const auto answer = submit(submissionOf("mine", base));
    EXPECT_EQ(answer.outcome, SubmitOutcome::conflict);
    EXPECT_EQ(answer.conflict.revision, 2U);
    ASSERT_TRUE(answer.conflict.baseKnown);
    ASSERT_EQ(answer.conflict.theirs.size(), 1U);
    EXPECT_EQ(answer.conflict.theirs[0].path, "/services/theirs");
    ASSERT_EQ(answer.conflict.mine.size(), 1U);
    EXPECT_EQ(answer.conflict.mine[0].path, "/services/mine");
    EXPECT_EQ(findService(inForce().document, { "mine" }), nullptr);
}

TEST_F(RepositoryTest, ALostReplyIsResolvedByReadingBack)
{
    submit(submissionOf("form-1", inForce()));
    const Submission submission = submissionOf("form-2", inForce());
    store.beforeNextWrite([&] { store.loseNextReply(); }); // Meets the history's write, then the swap.
    EXPECT_EQ(submit(submission).revision, 2U);
    store.delayNextWrite();
    EXPECT_EQ(submit(submissionOf("form-3", inForce())).revision, 3U);
    EXPECT_EQ(store.releaseDelayed(), 0U) << "the late write must find another revision";
    EXPECT_EQ(inForce().submission, "form-3");
}

TEST_F(RepositoryTest, TheNextWriterRepairsTheHistory)
{
    submit(submissionOf("form-1", inForce()));
    store.memory().erase(config::historyKey(1), store.memory().revisionOf(config::historyKey(1)));
    submit(submissionOf("form-2", inForce()));
    const auto history = repository.history(10, failure);
    ASSERT_TRUE(history.has_value()) << failure.reason;
    ASSERT_EQ(history->size(), 2U);
    EXPECT_EQ(history->at(0).submission, "form-2");
    EXPECT_EQ(history->at(1).submission, "form-1");
}

TEST_F(RepositoryTest, ARollbackIsANewRevision)
{
    submit(submissionOf("form-1", inForce()));
    submit(submissionOf("form-2", inForce()));
    const auto answer = repository.rollback(1, { "form-3", "jana", "", 2, {} }, failure);
    ASSERT_TRUE(answer.has_value()) << failure.reason;
    EXPECT_EQ(answer->revision, 3U);
    EXPECT_EQ(inForce().document, repository.at(1, failure)->document);
    EXPECT_EQ(inForce().summary, "rollback to revision 1");
    EXPECT_FALSE(repository.rollback(9, { "form-4", "jana", "", 3, {} }, failure).has_value());
    EXPECT_EQ(failure.kind, ErrorKind::notFound) << failure.reason;
}

TEST_F(RepositoryTest, ACorruptOrMissingCurrentRecordIsNamedAndNeverReplaced)
{
    submit(submissionOf("form-1", inForce()));
    const Submission next = submissionOf("form-2", inForce());
    store.corrupt("config/current");
    EXPECT_FALSE(repository.submit(next, failure).has_value());
    EXPECT_EQ(failure.kind, ErrorKind::corruptRecord);
    EXPECT_NE(failure.reason.find("config/current"), std::string::npos) << failure.reason;
    store.memory().erase("config/current", store.memory().revisionOf("config/current"));
    EXPECT_FALSE(repository.submit(submissionOf("form-3", {}), failure).has_value());
    EXPECT_EQ(failure.kind, ErrorKind::corruptRecord) << failure.reason;
    EXPECT_EQ(store.memory().revisionOf("config/current"), 0U);
}

TEST_F(RepositoryTest, AnOutageIsToldApartFromAnUncertainOutcome)
{
    const Submission submission = submissionOf("form-1", inForce());
    store.setDown(true);
    EXPECT_FALSE(repository.submit(submission, failure).has_value());
    EXPECT_EQ(failure.kind, ErrorKind::storeUnavailable);
    store.setDown(false);
    store.delayNextWrite();
    store.beforeNextWrite([&] { store.beforeNextWrite([&] { store.setDown(true); }); });
    EXPECT_FALSE(repository.submit(submission, failure).has_value());
    EXPECT_EQ(failure.kind, ErrorKind::storeUncertain) << failure.reason;
    store.setDown(false);
    EXPECT_EQ(store.releaseDelayed(), 1U);
    EXPECT_EQ(submit(submission).revision, 1U) << "the same identity learns the outcome";
    EXPECT_EQ(inForce().revision, 1U);
}

// Four operators on four instances race with lost replies, late writes and outages: no accepted change is
// lost or undone, revisions rise by one, and each submission is accepted at most once.
TEST(RacingOperatorsTest, NoAcceptedChangeIsLostOverManySeeds)
{
    RacingCounts faults;
    std::size_t accepted = 0;
    std::size_t conflicts = 0;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        Race race(seed, PlantedFault::none);
        race.run();
        ASSERT_EQ(race.check(), "") << "seed " << seed;
        ASSERT_EQ(race.checkHistory(), "") << "seed " << seed;
        faults.lostReplies += race.counts().lostReplies;
        faults.delayedWrites += race.counts().delayedWrites;
        faults.lateEffects += race.counts().lateEffects;
        faults.outages += race.counts().outages;
        accepted += race.accepted();
        conflicts += race.conflicts();
    }
    std::cout << seeds << " seeds: " << accepted << " accepted, " << conflicts << " conflicts, " << faults.lostReplies << " lost replies, "
              << faults.delayedWrites << " delayed writes of which " << faults.lateEffects << " took effect late, " << faults.outages << " outages\n";
    EXPECT_GT(accepted, seeds);
    EXPECT_GT(conflicts, seeds);
    EXPECT_GT(faults.lateEffects, seeds / 4);
}

// The checker can fail: it sees each planted fault.
TEST(RacingOperatorsTest, TheCheckerSeesEachPlantedFault)
{
    const std::pair<PlantedFault, const char*> faults[] = {
        { PlantedFault::ignoresExpectedRevision, "ignoresExpectedRevision" },
        { PlantedFault::acknowledgesLostWrites, "acknowledgesLostWrites" },
        { PlantedFault::dropsHistory, "dropsHistory" },
        { PlantedFault::forgetsSubmissions, "forgetsSubmissions" },
    };
    for (const auto& [fault, name] : faults) {
        const std::uint64_t seen = seedsThatSee(fault);
        std::cout << name << " is seen with " << seen << " of " << plantedSeeds << " seeds\n";
        EXPECT_GT(seen, 0U) << name;
    }
}

}
