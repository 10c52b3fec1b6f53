// A whole fleet that learns of endpoints and of operators' records from one store: each instance moves its RosterRelay and its
// peer::HeardRevisions as the daemon does, on machines of limited rates. Tests disturb it, and ask when each instance knew what.
#pragma once

#include "whinyard/base/Random.h"
#include "whinyard/endpoint/RatedMachines.h"
#include "whinyard/endpoint/RosterRelay.h"
#include "whinyard/peer/DrawnPeers.h"
#include "whinyard/peer/HeardRevisions.h"
#include "whinyard/peer/RecordPaces.h"
#include "whinyard/peer/SendBudget.h"
#include "whinyard/peer/Spread.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace whinyard::endpoint {

class SpreadFleet {
public:
    static constexpr std::chrono::milliseconds drain { 5'000 };
    static constexpr std::chrono::milliseconds inForce { 5'000 };

    explicit SpreadFleet(int size)
    {
        // One in sixteen has a large link.
        for (int i = 0; i < size; ++i)
            m_instances.push_back(std::make_unique<Instance>("entry-" + std::to_string(i), i % 16 == 0 ? 200 : 20, i % 16 == 0 ? 0.5 : 0.12));
    }

    // All start within 300 ms and know each other.
    void startAll()
    {
        for (const auto& instance : m_instances) {
            const auto after = std::chrono::milliseconds(300 * (stableHash(instance->name.value) % 16) / 16);
            m_events.after(after, [this, &self = *instance] { begin(self); });
        }
    }

    // Has the first instances in order come back as other processes after a time.
    void restart(std::size_t rank, std::chrono::milliseconds away)
    {
        Instance& instance = *ordered()[rank];
        instance.machine.lives = false;
        ++instance.life;
        m_events.after(away, [this, &instance] {
            instance.machine.lives = true;
            instance.relay.emplace(instance.name, relaySettingsFor(drain), Random(instance.life));
            instance.heard.emplace(Random(instance.life));
            instance.historyFrom = 0;
            instance.held.clear();
            instance.follows = false;
            instance.reads = 0;
            instance.operators = 0;
            begin(instance);
        });
    }

    void run(std::chrono::nanoseconds duration) { m_events.run(duration); }

    // Has something done at each of `count` moments.
    void repeat(int count, std::chrono::nanoseconds pause, std::function<void()> action)
    {
        for (int i = 0; i < count; ++i)
            m_events.after(pause * i, action);
    }

    void registerEndpoints(int count)
    {
        for (int i = 0; i < count; ++i)
            m_store.registerEndpoint();
    }

    // An endpoint says that it leaves: everybody must know within `drain`.
    void leave()
    {
        m_store.changeEndpoint();
        m_leaving.push_back(m_store.revision());
    }

    // Operators write a version: it must be in force within `inForce`.
    void writeVersion()
    {
        m_versions.push_back({ ++m_operators, m_events.now() });
    }

    void turnAway(std::size_t rank) { ordered()[rank]->machine.isTurnedAway = true; }
    void letIn()
    {
        for (const auto& instance : m_instances)
            instance->machine.isTurnedAway = false;
    }

    RatedStore& store() { return m_store; }
    std::size_t size() const { return m_instances.size(); }

    // Returns how many instances don't know the list up to now.
    std::size_t behind() const
    {
        return static_cast<std::size_t>(std::count_if(m_instances.begin(), m_instances.end(), [&](const auto& instance) { return instance->machine.lives && instance->known() < m_store.revision(); }));
    }

    // Returns a line for each of some instances that are behind, for a person.
    std::string describeBehind() const
    {
        std::string text;
        int lines = 0;
        for (const auto& one : m_instances) {
            if (one->machine.lives && one->known() < m_store.revision() && ++lines <= 5)
                text += one->name.value + " known " + std::to_string(one->known()) + " of " + std::to_string(m_store.revision()) + (one->follows ? " follows" : "") + (one->relay->isIncomplete() ? " incomplete" : "") + " reads " + std::to_string(one->reads) + ", link " + std::to_string(static_cast<int>(one->link)) + ", ms queued: core " + std::to_string(one->machine.core.queue(m_events.now()).count()) + " in " + std::to_string(one->machine.in.queue(m_events.now()).count()) + " out " + std::to_string(one->machine.out.queue(m_events.now()).count()) + '\n';
        }
        return text;
    }

    // Returns the longest time after which an instance knew of an endpoint that leaves, or of a version; the whole time where it doesn't yet.
    std::chrono::milliseconds slowestLeaving()
    {
        std::chrono::nanoseconds slowest { 0 };
        for (const auto& instance : m_instances) {
            noteKnown(*instance);
            slowest = std::max(slowest, instance->slowestLeaving);
            for (std::size_t i = instance->leavingKnown; instance->machine.lives && i < m_leaving.size(); ++i)
                slowest = std::max<std::chrono::nanoseconds>(slowest, m_events.now() - m_store.writtenAt(m_leaving[i]));
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(slowest);
    }

    std::chrono::milliseconds slowestVersion()
    {
        std::chrono::nanoseconds slowest { 0 };
        for (const auto& instance : m_instances) {
            noteOperators(*instance);
            slowest = std::max(slowest, instance->slowestVersion);
            for (std::size_t i = instance->versionsKnown; instance->machine.lives && i < m_versions.size(); ++i)
                slowest = std::max<std::chrono::nanoseconds>(slowest, m_events.now() - m_versions[i].second);
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(slowest);
    }

    // Returns the most bytes that an instance has sent since the last call of clearSent().
    double mostSent() const
    {
        double most = 0;
        for (const auto& instance : m_instances)
            most = std::max(most, instance->machine.out.used() - instance->sentBefore);
        return most;
    }

    // Returns the same in the mean.
    double meanSent() const
    {
        double sum = 0;
        for (const auto& instance : m_instances)
            sum += instance->machine.out.used() - instance->sentBefore;
        return sum / static_cast<double>(m_instances.size());
    }

    void clearSent()
    {
        for (const auto& instance : m_instances)
            instance->sentBefore = instance->machine.out.used();
    }

private:
    static constexpr std::chrono::microseconds way { 1'400 };
    static constexpr double bytesOfNotice = 150;
    static constexpr double bytesOfNoticedRow = 45;
    static constexpr double bytesOfRow = 30; // Compressed.
    static constexpr double bytesOfRecords = 60'000;
    static constexpr double bytesOfRequest = 300;
    static constexpr double secondsOfNotice = 60e-6; // Of a core.
    static constexpr double secondsOfSending = 10e-6;
    static constexpr double secondsOfRead = 300e-6; // For a connection, at each end.
    static constexpr double secondsToEncodeRow = 5e-6;
    static constexpr double secondsToTakeRow = 20e-6;
    static constexpr std::size_t mostRows = 64; // Of a notice.

    struct Instance {
        Instance(const std::string& text, double linkMegabits, double cores)
            : name { text }
            , link(linkMegabits)
            , machine(linkMegabits, cores)
            , relay(std::in_place, name, relaySettingsFor(drain), Random(stableHash(text)))
            , heard(std::in_place, Random(stableHash(text)))
            , random(stableHash(text, 1))
            , budget(static_cast<std::uint32_t>(linkMegabits))
        {
        }

        // Up to which the list is complete; 0: there is none.
        std::uint64_t known() const { return relay->listedUpTo().number; }

        const InstanceName name;
        const double link;
        RatedMachine machine;
        std::uint64_t life = 1;
        std::optional<RosterRelay> relay;
        std::optional<peer::HeardRevisions> heard;
        Random random;
        peer::SendBudget budget;
        std::uint64_t historyFrom = 0; // From which on it can tell what changed.
        bool follows = false;
        int reads = 0; // Of other instances, under way.
        std::uint64_t told = 0; // As a follower.
        SteadyTime toldAt;
        std::uint64_t number = 0; // Of statements.
        std::map<InstanceName, RosterStatement> held; // To hand on once the list is known up to them.
        std::uint64_t encodedAfter = 0; // What the encoded answer holds.
        std::uint64_t encodedUpTo = 0;
        std::uint64_t operators = 0; // The version in force.
        std::uint64_t operatorsHandedOn = 0;
        std::size_t leavingKnown = 0;
        std::size_t versionsKnown = 0;
        std::chrono::nanoseconds slowestLeaving { 0 };
        std::chrono::nanoseconds slowestVersion { 0 };
        double sentBefore = 0;
    };

    void noteKnown(Instance& self)
    {
        for (; self.leavingKnown < m_leaving.size() && m_leaving[self.leavingKnown] <= self.known(); ++self.leavingKnown)
            self.slowestLeaving = std::max<std::chrono::nanoseconds>(self.slowestLeaving, m_events.now() - m_store.writtenAt(m_leaving[self.leavingKnown]));
    }

    void noteOperators(Instance& self)
    {
        for (; self.versionsKnown < m_versions.size() && m_versions[self.versionsKnown].first <= self.operators; ++self.versionsKnown)
            self.slowestVersion = std::max<std::chrono::nanoseconds>(self.slowestVersion, m_events.now() - m_versions[self.versionsKnown].second);
    }

    void begin(Instance& self)
    {
        std::vector<RelayCandidate> all;
        for (const auto& one : m_instances)
            all.push_back({ one->name, static_cast<std::uint32_t>(one->link) });
        self.relay->useInstances(std::move(all), m_events.now());
        self.heard->useInstances(m_instances.size());
        look(self, self.life);
        tellRepeatedly(self, self.life);
    }

    bool isOver(const Instance& self, std::uint64_t life) const { return !self.machine.lives || self.life != life; }

    // As the loop that follows the endpoints.
    void look(Instance& self, std::uint64_t life)
    {
        constexpr std::chrono::milliseconds pause { 100 };
        constexpr std::chrono::milliseconds startPause { 10 };
        if (isOver(self, life))
            return;
        const SteadyTime now = m_events.now();
        const RosterNeed need = self.relay->need(now);
        if (need == RosterNeed::ask && self.reads == 0) {
            for (const InstanceName& name : self.relay->toAsk(now))
                ask(self, find(name));
        }
        if (need != RosterNeed::follow) {
            self.follows = false;
            m_events.after(self.known() > 0 ? pause : startPause, [=, this, &self] { look(self, life); });
            return;
        }
        const auto failed = [=, this, &self] {
            constexpr std::chrono::milliseconds failurePause { 150 };
            self.relay->noteFailed(m_events.now());
            m_events.after(failurePause, [=, this, &self] { look(self, life); });
        };
        const auto reached = [=, this, &self](std::uint64_t upTo, bool isBehind) {
            constexpr std::chrono::milliseconds readOnPause { 20 };
            self.relay->noteRead(upTo);
            trimHistory(self);
            noteKnown(self);
            readOperatorsOfStore(self);
            self.relay->noteCurrent(m_events.now());
            isBehind ? tellIfDue(self) : tell(self);
            m_events.after(isBehind ? readOnPause : relaySettingsFor(drain).pause, [=, this, &self] { look(self, life); });
        };
        if (!std::exchange(self.follows, true))
            self.told = self.known();
        const auto readAll = [=, this, &self] {
            m_store.readAll(self.machine, [=, this, &self](bool isReached, std::uint64_t revision) {
                if (isOver(self, life))
                    return;
                if (self.known() == 0)
                    self.historyFrom = self.told = revision;
                isReached ? reached(revision, false) : failed();
            });
        };
        if (self.known() == 0)
            return readAll();
        constexpr std::chrono::milliseconds wait { 250 };
        const std::uint64_t after = self.known();
        m_store.watch(self.machine, after, wait, [=, this, &self](bool isReached, bool isGone, std::uint64_t upTo) {
            if (isOver(self, life))
                return;
            if (isGone)
                readAll();
            else
                isReached ? reached(std::max(upTo, self.known()), upTo - after == RatedStore::changesInAnswer) : failed();
        });
    }

    // Changes beyond a quarter of the list are no longer kept.
    void trimHistory(Instance& self)
    {
        constexpr std::uint64_t leastKept = 1'024;
        const std::uint64_t kept = std::max(leastKept, m_store.listedAt(self.known()) / 4);
        if (self.known() > kept)
            self.historyFrom = std::max(self.historyFrom, self.known() - kept);
    }

    void readOperatorsOfStore(Instance& self)
    {
        if (self.machine.isTurnedAway || !self.relay->isFollower(m_events.now()))
            return;
        self.operators = m_operators;
        noteOperators(self);
        handOnOperators(self);
    }

    void tellRepeatedly(Instance& self, std::uint64_t life)
    {
        m_events.after(relaySettingsFor(drain).tellInterval / 4, [=, this, &self] {
            if (isOver(self, life))
                return;
            tellIfDue(self);
            tellRepeatedly(self, life);
        });
    }

    void tellIfDue(Instance& self)
    {
        if (m_events.now() - self.toldAt >= relaySettingsFor(drain).tellInterval)
            tell(self);
    }

    void tell(Instance& self)
    {
        const SteadyTime now = m_events.now();
        if (!self.relay->isFollower(now))
            return;
        const bool isCurrent = self.relay->mayTell(now);
        if (!isCurrent && !self.machine.isTurnedAway)
            return;
        RosterStatement statement { self.name, self.life, ++self.number, false, isCurrent };
        const std::uint64_t rows = self.known() - self.told;
        if (isCurrent) {
            statement.hasChanges = rows > 0 && rows <= mostRows && self.historyFrom <= self.told;
            statement.since = statement.hasChanges ? self.told : self.known();
            statement.upTo = self.told = self.known();
        }
        self.toldAt = m_events.now();
        spread(self, statement, peer::firstTold(m_instances.size() - 1));
    }

    void spread(Instance& self, const RosterStatement& statement, std::size_t most)
    {
        const std::uint64_t rows = statement.hasChanges ? statement.upTo.number - statement.since.number : 0;
        tellSome(self, most, bytesOfNotice + static_cast<double>(rows) * bytesOfNoticedRow, [=, this, &self, known = self.known(), operators = self.operators](Instance& other) { hear(other, statement, self.name, known, operators); });
    }

    void tellSome(Instance& self, std::size_t most, double bytes, const std::function<void(Instance&)>& arrive)
    {
        for (const std::size_t drawn : peer::drawnPeers(m_instances.size() - 1, most, self.random)) {
            const auto own = static_cast<std::size_t>(std::stoul(self.name.value.substr(self.name.value.find('-') + 1)));
            Instance& other = *m_instances[drawn < own ? drawn : drawn + 1];
            self.machine.core.use(secondsOfSending, m_events.now());
            send(self, other, bytes, [=, &other] { arrive(other); });
        }
    }

    void handOn(Instance& self, const RosterStatement& statement)
    {
        if (!peer::handsOn(m_instances.size() - 1))
            return;
        if (!statement.hasChanges && statement.isCurrent && self.relay->listedUpTo() < statement.since) {
            self.held[statement.instance] = statement;
            return;
        }
        self.held.erase(statement.instance);
        spread(self, statement, peer::toldNext);
    }

    void handOnHeld(Instance& self)
    {
        for (const auto& [instance, statement] : std::exchange(self.held, {}))
            handOn(self, statement);
    }

    void handOnOperators(Instance& self)
    {
        if (!peer::handsOn(m_instances.size() - 1) || self.operators <= self.operatorsHandedOn)
            return;
        self.operatorsHandedOn = self.operators;
        tellSome(self, peer::toldNext, bytesOfNotice, [=, this, &self, operators = self.operators](Instance& other) {
            other.heard->hear(self.name, operators, m_events.now());
            readOperators(other);
        });
    }

    // Delivers a datagram.
    void send(Instance& from, Instance& to, double bytes, std::function<void()> arrive)
    {
        m_events.at(from.machine.out.use(bytes, m_events.now()) + way, [=, this, &to, arrive = std::move(arrive)] {
            if (!to.machine.lives)
                return;
            m_events.at(to.machine.in.use(bytes, m_events.now()), [=, this, &to] { m_events.at(to.machine.core.use(secondsOfNotice, m_events.now()), arrive); });
        });
    }

    void hear(Instance& self, const RosterStatement& statement, const InstanceName& teller, std::uint64_t known, std::uint64_t operators)
    {
        const SteadyTime now = m_events.now();
        self.heard->hear(teller, operators, now);
        readOperators(self);
        self.relay->hearTeller(teller, known, now);
        if (self.relay->hasHeard(statement))
            return;
        self.relay->hear(statement, now);
        noteKnown(self);
        handOn(self, statement);
    }

    void readOperators(Instance& self)
    {
        const std::optional<peer::RevisionRead> read = self.heard->due(self.operators, self.follows, m_events.now());
        if (!read)
            return;
        self.heard->noteBegun();
        const auto end = [=, this, &self](bool succeeded) {
            self.heard->noteEnded(succeeded, m_events.now());
            noteOperators(self);
            handOnOperators(self);
        };
        if (!read->from) {
            ++m_store.calls;
            constexpr std::chrono::milliseconds readTime { 10 };
            m_events.after(readTime, [=, this, &self] {
                if (!self.machine.isTurnedAway)
                    self.operators = m_operators;
                end(!self.machine.isTurnedAway);
            });
            return;
        }
        Instance& source = find(*read->from);
        exchange(
            self, source, [] { return std::optional(bytesOfRecords); }, [=, &self, &source](bool isAnswered) {
            const bool isNewer = isAnswered && source.operators > self.operators;
            if (isNewer)
                self.operators = source.operators;
            end(isNewer); });
    }

    void ask(Instance& self, Instance& source)
    {
        ++self.reads;
        const std::uint64_t after = self.known();
        const std::uint64_t life = self.life;
        const auto told = std::make_shared<std::pair<std::uint64_t, std::uint64_t>>(); // After which revision, up to which.
        exchange(
            self, source, [=, this, &source]() -> std::optional<double> {
            if (source.known() <= after)
                return std::nullopt;
            *told = { source.historyFrom <= after ? after : 0, source.known() };
            const double rows = rowsOf(*told);
            if (std::exchange(source.encodedAfter, told->first) != told->first || std::exchange(source.encodedUpTo, told->second) != told->second)
                source.machine.core.use(rows * secondsToEncodeRow, m_events.now());
            return rows * bytesOfRow; }, [=, this, &self, &source](bool isAnswered) {
            if (isOver(self, life))
                return;
            if (!isAnswered) {
                --self.reads;
                self.relay->noteRefused(source.name, {}, m_events.now());
                return;
            }
            m_events.at(self.machine.core.use(rowsOf(*told) * secondsToTakeRow, m_events.now()), [=, this, &self] {
                if (isOver(self, life))
                    return;
                --self.reads;
                if (self.follows || !self.relay->hearList(told->first, told->second, m_events.now()))
                    return;
                if (told->first == 0)
                    self.historyFrom = told->second;
                trimHistory(self);
                noteKnown(self);
                handOnHeld(self);
            }); });
    }

    double rowsOf(const std::pair<std::uint64_t, std::uint64_t>& told) const
    {
        return static_cast<double>(told.first == 0 ? m_store.listedAt(told.second) : told.second - told.first);
    }

    // Reads over a connection: the source's answer has a size, or there is none.
    void exchange(Instance& self, Instance& source, std::function<std::optional<double>()> answer, std::function<void(bool)> done)
    {
        constexpr std::chrono::milliseconds connectTimeout { 400 };
        self.machine.out.use(bytesOfRequest, m_events.now());
        const auto sent = self.machine.core.use(secondsOfRead, m_events.now()) + 3 * way;
        const auto hasBegun = std::make_shared<bool>(false);
        m_events.at(sent + peer::recordPacesFor(inForce).answerWait, [hasBegun, done] {
            if (!std::exchange(*hasBegun, true))
                done(false);
        });
        m_events.at(sent, [=, this, &self, &source, answer = std::move(answer), done = std::move(done)] {
            if (!source.machine.lives) {
                m_events.after(connectTimeout, [hasBegun, done] {
                    if (!std::exchange(*hasBegun, true))
                        done(false);
                });
                return;
            }
            m_events.at(source.machine.core.use(secondsOfRead, m_events.now()), [=, this, &self, &source] {
                std::optional<double> bytes;
                if (source.budget.wait(m_events.now()).count() == 0)
                    bytes = answer();
                if (bytes)
                    source.budget.note(static_cast<std::size_t>(*bytes), source.machine.core.use(0, m_events.now()) - m_events.now(), m_events.now());
                m_events.at(source.machine.core.use(0, m_events.now()), [=, this, &self, &source] {
                    if (std::exchange(*hasBegun, true))
                        return; // The one that asked has given it up.
                    m_events.at(source.machine.out.use(bytes.value_or(bytesOfRequest), m_events.now()) + way, [=, this, &self] {
                        m_events.at(self.machine.in.use(bytes.value_or(bytesOfRequest), m_events.now()), [=] { done(bytes.has_value()); });
                    });
                });
            });
        });
    }

    Instance& find(const InstanceName& name) { return *m_instances[static_cast<std::size_t>(std::stoul(name.value.substr(name.value.find('-') + 1)))]; }

    // In the order in which they follow.
    std::vector<Instance*> ordered()
    {
        std::vector<Instance*> all;
        for (const auto& instance : m_instances)
            all.push_back(instance.get());
        std::sort(all.begin(), all.end(), [](const auto* left, const auto* right) {
            if (left->link != right->link)
                return left->link > right->link;
            return stableHash(left->name.value) < stableHash(right->name.value);
        });
        return all;
    }

    FakeClock m_clock;
    EventQueue m_events { m_clock };
    RatedStore m_store { m_events };
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<std::uint64_t> m_leaving; // Revisions.
    std::uint64_t m_operators = 1;
    std::vector<std::pair<std::uint64_t, SteadyTime>> m_versions;
};

}
