// Instances that share a bound on repeats, on a virtual clock: they restart, vanish, freeze and fall behind while endpoints reject.
//
// Requests count from when callers send them, repeats from when they arrive at an endpoint. The result is the margin: the largest
// share of what is allowed that the repeats of any window take.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Random.h"
#include "whinyard/policy/RepeatBudget.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace whinyard::policy {

struct RepeatFleetSettings {
    std::size_t instances = 6;
    double requestsPerSecond = 90; // Of all callers.
    double ratio = 0.9; // Of the site's bound.
    double slack = 52;
    double rejectedShare = 0.8; // Of the attempts, while endpoints reject.
    std::chrono::milliseconds length { 40'000 }; // In which callers come.
    std::chrono::milliseconds lead { 12'000 }; // For which instances run before the first caller comes.
    std::uint64_t seed = 1;
};

enum class Disturbance : std::uint8_t {
    restart, // Killed, and back after `duration`.
    vanish, // Killed for good; the others know it after some seconds.
    freeze, // Stands still for `duration`.
    lag, // Does for `duration` what is due once in `delay` only.
    reject, // Endpoints reject for `duration`; concerns all.
    breakOff, // The answers to all requests of the last ten seconds break off, and all of them could go on elsewhere.
    wait, // Each repeat waits for `delay` before it is sent.
    surge, // Callers come `factor` times as often.
};

struct PlannedDisturbance {
    Disturbance kind = Disturbance::reject;
    std::chrono::milliseconds at { 0 }; // From the first caller on.
    std::chrono::milliseconds duration { 0 };
    double share = 1; // Of the instances.
    std::chrono::milliseconds delay { 0 };
    double factor = 1;
};

class RepeatFleet {
public:
    explicit RepeatFleet(const RepeatFleetSettings& settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_instances(settings.instances)
    {
        for (Instance& instance : m_instances)
            start(instance);
    }

    void plan(const PlannedDisturbance& disturbance) { m_plan.push_back(disturbance); }

    // Plays the plan and returns the margin.
    double run()
    {
        const SteadyTime end = callersFrom() + m_settings.length;
        for (; m_now < end; m_now += step) {
            for (const PlannedDisturbance& disturbance : m_plan) {
                if (m_now == callersFrom() + disturbance.at)
                    begin(disturbance);
            }
            if (m_now >= callersFrom())
                sendRequests();
            for (Instance& instance : m_instances)
                turn(instance);
        }
        return margin();
    }

    std::size_t repeats() const { return m_repeats.size(); }

private:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr Milliseconds step { 10 };
    static constexpr Milliseconds window { 10'000 };
    static constexpr Milliseconds unreadFor { 1'000 }; // Then a caller goes to another instance.
    static constexpr Milliseconds rejectsAfter { 10 };
    static constexpr Milliseconds answersTake { 10'000 };
    static constexpr Milliseconds knownGoneAfter { 4'000 };
    static constexpr std::uint32_t mostAttempts = 4;

    struct Request {
        SteadyTime sentAt;
        bool wasResent = false;
    };

    // A request whose latest attempt was rejected, or whose repeat is being prepared.
    struct Attempt {
        SteadyTime due;
        std::uint32_t made = 1;
        std::optional<RepeatGrant> grant {};
    };

    struct Instance {
        std::unique_ptr<SharedAllowance> slack;
        std::unique_ptr<RepeatBudget> budget;
        SteadyTime downUntil {};
        SteadyTime frozenUntil {};
        SteadyTime lagsUntil {};
        Milliseconds turnEvery { 0 };
        SteadyTime turnedAt {};
        bool isGone = false;
        std::deque<Request> unread;
        std::deque<SteadyTime> readAt; // Of the requests whose answers are under way.
        std::vector<Attempt> attempts;
    };

    SteadyTime callersFrom() const { return SteadyTime { std::chrono::hours(1) } + m_settings.lead; }

    void start(Instance& instance)
    {
        instance.slack = std::make_unique<SharedAllowance>(m_settings.slack);
        instance.budget = makeBudget(instance);
        instance.attempts.clear();
        instance.unread.clear();
        instance.readAt.clear();
        instance.turnedAt = m_now;
    }

    std::unique_ptr<RepeatBudget> makeBudget(Instance& instance)
    {
        constexpr double usedPart = 0.9;
        return std::make_unique<RepeatBudget>(RepeatBounds { usedPart * m_settings.ratio, 0 }, *instance.slack, m_now, uniform(m_random));
    }

    std::size_t countOf(double share) const { return static_cast<std::size_t>(share * static_cast<double>(m_instances.size()) + 0.5); }

    void begin(const PlannedDisturbance& disturbance)
    {
        const SteadyTime until = m_now + disturbance.duration;
        if (disturbance.kind == Disturbance::reject)
            m_rejectsUntil = until;
        if (disturbance.kind == Disturbance::surge) {
            m_surgesUntil = until;
            m_surge = disturbance.factor;
        }
        if (disturbance.kind == Disturbance::wait) {
            m_waitsUntil = until;
            m_wait = disturbance.delay;
        }
        const std::size_t first = below(m_random, m_instances.size());
        for (std::size_t i = 0; i < countOf(disturbance.share); ++i)
            disturb(m_instances[(first + i) % m_instances.size()], disturbance, until);
    }

    void disturb(Instance& instance, const PlannedDisturbance& disturbance, SteadyTime until)
    {
        switch (disturbance.kind) {
        case Disturbance::restart:
            instance.downUntil = until;
            break;
        case Disturbance::vanish:
            instance.isGone = true;
            m_goneAt.push_back(m_now);
            break;
        case Disturbance::freeze:
            instance.frozenUntil = until;
            break;
        case Disturbance::lag:
            instance.lagsUntil = until;
            instance.turnEvery = disturbance.delay;
            break;
        case Disturbance::breakOff:
            for (std::size_t i = 0; i < instance.readAt.size(); ++i)
                instance.attempts.push_back({ m_now, 1, {} });
            instance.readAt.clear();
            break;
        case Disturbance::wait:
        case Disturbance::reject:
        case Disturbance::surge:
            break;
        }
    }

    bool isListening(const Instance& instance) const { return !instance.isGone && m_now >= instance.downUntil; }

    void sendRequests()
    {
        const double factor = m_now < m_surgesUntil ? m_surge : 1;
        m_due += factor * m_settings.requestsPerSecond * std::chrono::duration<double>(step).count();
        for (; m_due >= 1; m_due -= 1)
            send({ m_now, false });
    }

    void send(const Request& request)
    {
        m_sent.push_back(m_now);
        constexpr int mostTries = 8;
        for (int i = 0; i < mostTries; ++i) {
            Instance& instance = m_instances[below(m_random, m_instances.size())];
            if (!isListening(instance))
                continue;
            instance.unread.push_back(request);
            return;
        }
    }

    void turn(Instance& instance)
    {
        if (instance.isGone)
            return;
        if (m_now < instance.downUntil) {
            if (instance.budget)
                instance.budget.reset();
            return;
        }
        if (!instance.budget)
            start(instance);
        leaveUnread(instance);
        if (m_now < instance.frozenUntil || (m_now < instance.lagsUntil && m_now - instance.turnedAt < instance.turnEvery))
            return;
        instance.slack->useInstances(knownInstances(), m_now);
        while (!instance.unread.empty()) {
            instance.budget->noteRequest(instance.turnedAt, m_now);
            instance.unread.pop_front();
            instance.readAt.push_back(m_now);
            attempt(instance, { m_now, 1, {} });
        }
        while (!instance.readAt.empty() && m_now - instance.readAt.front() > answersTake)
            instance.readAt.pop_front();
        std::vector<Attempt> due;
        std::erase_if(instance.attempts, [&](const Attempt& attempt) {
            if (attempt.due <= m_now)
                due.push_back(attempt);
            return attempt.due <= m_now;
        });
        for (const Attempt& attempt : due)
            goOn(instance, attempt);
        instance.turnedAt = m_now;
    }

    // Callers whose requests nobody reads go to another instance, once.
    void leaveUnread(Instance& instance)
    {
        std::vector<Request> left;
        std::erase_if(instance.unread, [&](const Request& request) {
            const bool leaves = !request.wasResent && m_now - request.sentAt >= unreadFor;
            if (leaves)
                left.push_back(request);
            return leaves;
        });
        for (std::size_t i = 0; i < left.size(); ++i)
            send({ m_now, true });
    }

    // An attempt arrives at an endpoint.
    void attempt(Instance& instance, const Attempt& attempt)
    {
        if (attempt.made > 1)
            m_repeats.push_back(m_now);
        if (m_now < m_rejectsUntil && uniform(m_random) < m_settings.rejectedShare && attempt.made < mostAttempts)
            instance.attempts.push_back({ m_now + rejectsAfter, attempt.made, {} });
    }

    void goOn(Instance& instance, Attempt next)
    {
        if (!next.grant) {
            next.grant = instance.budget->take(m_now);
            if (!next.grant)
                return;
            next.due = m_now + (m_now < m_waitsUntil ? m_wait : Milliseconds(0));
            if (next.due > m_now) {
                instance.attempts.push_back(next);
                return;
            }
        }
        if (!instance.budget->renew(*next.grant, m_now))
            return;
        ++next.made;
        attempt(instance, next);
    }

    std::size_t knownInstances() const
    {
        const auto gone = std::count_if(m_goneAt.begin(), m_goneAt.end(), [&](SteadyTime at) { return m_now - at >= knownGoneAfter; });
        return m_instances.size() - static_cast<std::size_t>(gone);
    }

    // The repeats of a window are compared with the requests of that window, the one before it, or the one half a window before it,
    // whichever has most.
    double margin() const
    {
        const auto count = [](const std::vector<SteadyTime>& times, SteadyTime from) {
            return static_cast<double>(std::lower_bound(times.begin(), times.end(), from + window) - std::lower_bound(times.begin(), times.end(), from));
        };
        double most = 0;
        for (SteadyTime from = callersFrom() - window; from < m_now; from += step) {
            const double requests = std::max({ count(m_sent, from), count(m_sent, from - window / 2), count(m_sent, from - window) });
            most = std::max(most, count(m_repeats, from) / (m_settings.ratio * requests + m_settings.slack));
        }
        return most;
    }

    const RepeatFleetSettings m_settings;
    Random m_random;
    SteadyTime m_now { std::chrono::hours(1) };
    std::vector<Instance> m_instances;
    std::vector<PlannedDisturbance> m_plan;
    double m_due = 0; // Requests that are to be sent, with their fraction.
    SteadyTime m_rejectsUntil {};
    SteadyTime m_surgesUntil {};
    double m_surge = 1;
    SteadyTime m_waitsUntil {};
    Milliseconds m_wait { 0 };
    std::vector<SteadyTime> m_goneAt;
    std::vector<SteadyTime> m_sent;
    std::vector<SteadyTime> m_repeats;
};

}
