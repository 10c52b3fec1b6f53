#include "whinyard/admin/ConfigurationRepository.h"

#include <algorithm>

namespace whinyard::admin {

namespace {

    using config::Configuration;

    constexpr std::size_t longestIdentity = 100;

    std::string currentKeyText()
    {
        return std::string(config::currentKey);
    }

    bool isRetryable(const Failure& failure)
    {
        return failure.kind == ErrorKind::storeUnavailable || failure.kind == ErrorKind::storeUncertain;
    }

    const config::AcceptedSubmission* findWritten(const Configuration& configuration, const std::string& identity)
    {
        const auto found = std::find_if(configuration.accepted.begin(), configuration.accepted.end(), [&](const auto& accepted) { return accepted.identity == identity; });
        return found == configuration.accepted.end() ? nullptr : &*found;
    }

    Configuration nextConfiguration(const Submission& submission, const Configuration& base, WallTime now)
    {
        Configuration next;
        next.revision = base.revision + 1;
        next.submission = submission.identity;
        next.author = submission.author;
        next.document = submission.document;
        next.basedOn = base.revision;
        next.submittedAt = std::chrono::floor<std::chrono::milliseconds>(now);
        next.summary = submission.summary;
        next.accepted = base.accepted;
        next.accepted.push_back({ submission.identity, next.revision, config::documentDigest(submission.document) });
        if (next.accepted.size() > config::rememberedSubmissions)
            next.accepted.erase(next.accepted.begin());
        return next;
    }

    SubmitAnswer invalid(std::vector<config::Fault> faults)
    {
        SubmitAnswer answer;
        answer.outcome = SubmitOutcome::invalid;
        answer.faults = std::move(faults);
        return answer;
    }

    SubmitAnswer writtenAs(std::uint64_t revision)
    {
        SubmitAnswer answer;
        answer.outcome = SubmitOutcome::written;
        answer.revision = revision;
        return answer;
    }

    std::vector<config::Fault> faultsOf(const Submission& submission)
    {
        std::vector<config::Fault> faults = config::validate(submission.document);
        if (submission.identity.empty() || submission.identity.size() > longestIdentity)
            faults.push_back({ "", "the submission's identity has " + std::to_string(submission.identity.size()) + " bytes; allowed: 1 to " + std::to_string(longestIdentity) });
        return faults;
    }

    std::optional<Configuration> parseNamed(const backing::Record& record, Failure& failure)
    {
        auto configuration = config::parseRecord(record.value, failure);
        if (!configuration)
            failure.reason = record.key + ": " + failure.reason;
        return configuration;
    }

}

ConfigurationRepository::ConfigurationRepository(backing::KeyValueStore& store, const Clock& clock, Waiter& waiter, RepositoryOptions options)
    : m_store(store)
    , m_clock(clock)
    , m_waiter(waiter)
    , m_options(options)
{
}

std::optional<Configuration> ConfigurationRepository::current(Failure& failure)
{
    auto held = readHeld(failure);
    if (!held)
        return std::nullopt;
    return std::move(held->configuration);
}

std::optional<ConfigurationRepository::Held> ConfigurationRepository::readHeld(Failure& failure)
{
    const auto record = m_store.read(currentKeyText(), failure);
    if (!record) {
        if (failure.kind != ErrorKind::notFound || !confirmNoHistory(failure))
            return std::nullopt;
        return Held {};
    }
    auto configuration = parseNamed(*record, failure);
    if (!configuration)
        return std::nullopt;
    return Held { std::move(*configuration), record->revision };
}

// Without a current record there must be no history either: to begin anew would let revisions fall.
bool ConfigurationRepository::confirmNoHistory(Failure& failure)
{
    const auto records = m_store.list(std::string(config::historyPrefix), "", 1, failure);
    if (!records)
        return false;
    if (records->empty())
        return true;
    // The first configuration may have been written between the two calls.
    if (m_store.read(currentKeyText(), failure))
        failure = { ErrorKind::storeUnavailable, "the first configuration is being written" };
    else if (failure.kind == ErrorKind::notFound)
        failure = { ErrorKind::corruptRecord, currentKeyText() + " is missing although " + records->front().key + " is there" };
    return false;
}

std::optional<Configuration> ConfigurationRepository::at(std::uint64_t revision, Failure& failure)
{
    const auto record = m_store.read(config::historyKey(revision), failure);
    if (record)
        return parseNamed(*record, failure);
    if (failure.kind != ErrorKind::notFound)
        return std::nullopt;
    auto configuration = current(failure);
    if (configuration && configuration->revision == revision && revision != 0)
        return configuration;
    if (configuration)
        failure = { ErrorKind::notFound, "no configuration of revision " + std::to_string(revision) };
    return std::nullopt;
}

std::optional<std::vector<Configuration>> ConfigurationRepository::history(std::size_t limit, Failure& failure)
{
    auto newest = current(failure);
    if (!newest)
        return std::nullopt;
    std::vector<Configuration> configurations;
    if (newest->revision == 0 || limit == 0)
        return configurations;
    const std::uint64_t before = newest->revision > limit ? newest->revision - limit : 0;
    const auto records = m_store.list(std::string(config::historyPrefix), config::historyKey(before), limit, failure);
    if (!records)
        return std::nullopt;
    for (const backing::Record& record : *records) {
        auto configuration = parseNamed(record, failure);
        if (!configuration)
            return std::nullopt;
        if (configuration->revision < newest->revision)
            configurations.push_back(std::move(*configuration));
    }
    configurations.push_back(std::move(*newest));
    std::reverse(configurations.begin(), configurations.end());
    return configurations;
}

std::optional<SubmitAnswer> ConfigurationRepository::submit(const Submission& submission, Failure& failure)
{
    auto faults = faultsOf(submission);
    if (!faults.empty())
        return invalid(std::move(faults));
    const SteadyTime deadline = m_clock.now() + m_options.deadline;
    const auto held = readUntil(deadline, failure);
    if (!held)
        return std::nullopt;
    if (findWritten(held->configuration, submission.identity) || held->configuration.revision != submission.basedOn)
        return resolve(submission, *held, failure);
    return write(submission, *held, deadline, failure);
}

std::optional<SubmitAnswer> ConfigurationRepository::rollback(std::uint64_t revision, Submission submission, Failure& failure)
{
    auto earlier = at(revision, failure);
    if (!earlier)
        return std::nullopt;
    submission.document = std::move(earlier->document);
    if (submission.summary.empty())
        submission.summary = "rollback to revision " + std::to_string(revision);
    return submit(submission, failure);
}

std::optional<ConfigurationRepository::Held> ConfigurationRepository::readUntil(SteadyTime deadline, Failure& failure)
{
    while (true) {
        auto held = readHeld(failure);
        if (held || !isRetryable(failure) || !pause(deadline))
            return held;
    }
}

// Answers a submission whose base is no longer in force: it was written, or it never will be.
std::optional<SubmitAnswer> ConfigurationRepository::resolve(const Submission& submission, const Held& held, Failure& failure)
{
    if (const auto* earlier = findWritten(held.configuration, submission.identity)) {
        if (earlier->digest == config::documentDigest(submission.document))
            return writtenAs(earlier->revision);
        failure = { ErrorKind::keyReused, "submission " + submission.identity + " was written as revision " + std::to_string(earlier->revision) + " with another document" };
        return std::nullopt;
    }
    if (writtenLongAgo(submission, held.configuration))
        return writtenAs(submission.basedOn + 1);
    SubmitAnswer answer;
    answer.outcome = SubmitOutcome::conflict;
    answer.conflict = describeConflict(submission, held);
    return answer;
}

// Returns whether the submission was written on its base before the latest remembered ones.
bool ConfigurationRepository::writtenLongAgo(const Submission& submission, const Configuration& current)
{
    if (current.revision <= submission.basedOn + config::rememberedSubmissions)
        return false;
    Failure ignored;
    const auto next = at(submission.basedOn + 1, ignored);
    return next && next->submission == submission.identity;
}

// Every try expects the same store revision, so at most one of them, early or late, takes effect.
std::optional<SubmitAnswer> ConfigurationRepository::write(const Submission& submission, const Held& base, SteadyTime deadline, Failure& failure)
{
    const Configuration next = nextConfiguration(submission, base.configuration, m_clock.wallNow());
    const backing::Swap swap { currentKeyText(), config::toRecord(next), base.storeRevision };
    if (swap.value.size() > backing::largestValue)
        return invalid({ { "", "the record has " + std::to_string(swap.value.size()) + " bytes; allowed: at most " + std::to_string(backing::largestValue) } });
    if (base.configuration.revision != 0 && !keepInHistory(base.configuration, deadline, failure))
        return std::nullopt;
    bool mayHaveLanded = false;
    while (true) {
        if (m_store.swap(swap, failure)) {
            Failure ignored; // The next writer repairs the history.
            keepInHistory(next, deadline, ignored);
            return writtenAs(next.revision);
        }
        if (!isRetryable(failure) && failure.kind != ErrorKind::swapConflict)
            return std::nullopt;
        mayHaveLanded = mayHaveLanded || failure.kind == ErrorKind::storeUncertain;
        Failure readFailure;
        const auto held = readHeld(readFailure);
        if (held && held->storeRevision != base.storeRevision) {
            Failure ignored;
            if (held->configuration.submission == submission.identity)
                keepInHistory(held->configuration, deadline, ignored);
            return resolve(submission, *held, failure);
        }
        if (readFailure.kind == ErrorKind::corruptRecord)
            failure = readFailure;
        if (failure.kind == ErrorKind::corruptRecord || !pause(deadline))
            break;
    }
    if (mayHaveLanded)
        failure = { ErrorKind::storeUncertain, "submission " + submission.identity + " may have been written; submit it again with the same identity to learn the outcome" };
    return std::nullopt;
}

bool ConfigurationRepository::keepInHistory(const Configuration& configuration, SteadyTime deadline, Failure& failure)
{
    const backing::Swap swap { config::historyKey(configuration.revision), config::toRecord(configuration), 0 };
    while (true) {
        if (m_store.swap(swap, failure) || failure.kind == ErrorKind::swapConflict)
            return true;
        if (!isRetryable(failure))
            return false;
        if (!pause(deadline)) {
            // Only the history was tried: the submission itself certainly had no effect.
            failure.kind = ErrorKind::storeUnavailable;
            return false;
        }
    }
}

Conflict ConfigurationRepository::describeConflict(const Submission& submission, const Held& held)
{
    Conflict conflict;
    conflict.revision = held.configuration.revision;
    conflict.author = held.configuration.author;
    Failure ignored;
    std::optional<Configuration> base;
    if (submission.basedOn == 0)
        base.emplace();
    else
        base = at(submission.basedOn, ignored);
    conflict.baseKnown = base.has_value();
    if (base)
        conflict.theirs = config::diff(base->document, held.configuration.document);
    conflict.mine = config::diff(base ? base->document : held.configuration.document, submission.document);
    return conflict;
}

bool ConfigurationRepository::pause(SteadyTime deadline)
{
    if (m_clock.now() + m_options.retryPause >= deadline)
        return false;
    m_waiter.wait(m_options.retryPause);
    return true;
}

std::string_view toText(SubmitOutcome outcome)
{
    switch (outcome) {
    case SubmitOutcome::written:
        return "written";
    case SubmitOutcome::invalid:
        return "invalid";
    case SubmitOutcome::conflict:
        return "conflict";
    }
    return {};
}

}
