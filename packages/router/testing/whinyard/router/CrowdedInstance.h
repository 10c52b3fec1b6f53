// An instance behind a link of limited rate, the callers that come to it and the endpoints that it calls, on a virtual clock.
//
// Every byte passes the link in its turn: opening packets, prompts and answers. What is decided is decided by the product: whether
// the instance takes a connection, and whether it takes its path to the endpoints for lost.
#pragma once

#include "whinyard/base/Random.h"
#include "whinyard/policy/ConnectionGate.h"
#include "whinyard/policy/EndpointPaths.h"
#include "whinyard/router/VirtualEvents.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace whinyard::router {

struct CrowdSettings {
    double linkMegabits = 10;
    std::size_t promptBytes = 3'000;
    std::size_t answerBytes = 3'000;
    bool othersLive = true; // Other instances, which callers go to that weren't served here, and which may be asked for connections.
};

class CrowdedInstance {
public:
    // What became of the requests that came in some time.
    struct Count {
        std::size_t read = 0;
        std::size_t served = 0; // Of those that were read.
        std::size_t answered = 0; // In that time, whenever their requests came.
        std::size_t unread = 0; // Tries whose connection was refused, or closed before the request was read.

        double servedShare() const { return read == 0 ? 1 : static_cast<double>(served) / static_cast<double>(read); }
    };

    explicit CrowdedInstance(const CrowdSettings& settings, std::uint64_t seed = 1)
        : m_settings(settings)
        , m_random(seed)
        , m_gate({ .linkBytesPerSecond = settings.linkMegabits * bytesOfMegabit })
        , m_paths({}, Random(seed + 1))
        , m_in(settings.linkMegabits)
        , m_out(settings.linkMegabits)
    {
        std::vector<InstanceName> relays;
        for (std::size_t i = 0; settings.othersLive && i < others; ++i)
            relays.push_back({ "other-" + std::to_string(i) });
        m_paths.useRelays(std::move(relays));
        m_acceptedAt = now();
        m_events.at(now(), [this] { tick(); });
        m_events.at(now(), [this] { arrive(); });
    }

    void useCallers(double perSecond) { m_perSecond = perSecond; }
    void cutPath(bool cut) { m_isCut = cut; }
    void run(std::chrono::milliseconds duration) { m_events.runUntil(now() + duration); }

    // Returns what became of the requests that have come since countFromNow(), once they are over.
    Count takeCount()
    {
        const std::size_t answered = m_count.answered;
        run(deadline);
        m_count.answered = answered;
        return std::exchange(m_count, {});
    }

    // Drops what was counted.
    void countFromNow()
    {
        m_from = now();
        m_count = {};
    }

    bool reachesDirectly() const { return m_paths.isDirect(service); }
    std::size_t relaysAsked() const { return m_relaysAsked; }
    SteadyTime::duration longestWithoutAccept() const { return m_longestWithoutAccept; }

private:
    static constexpr double bytesOfMegabit = 1e6 / 8;

    // One direction of the link.
    class Direction {
    public:
        explicit Direction(double megabits)
            : m_bytesPerSecond(megabits * bytesOfMegabit)
        {
        }

        // Returns when bytes have passed that are handed over now.
        SteadyTime pass(std::size_t bytes, SteadyTime now)
        {
            m_total += bytes;
            m_free = std::max(m_free, now) + std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(static_cast<double>(bytes) / m_bytesPerSecond));
            return m_free;
        }

        std::uint64_t total() const { return m_total; }

    private:
        const double m_bytesPerSecond;
        SteadyTime m_free;
        std::uint64_t m_total = 0;
    };

    struct Call {
        SteadyTime began;
        SteadyTime readAt;
        int connects = 0;
    };

    static constexpr std::size_t others = 8;
    static constexpr std::size_t packetBytes = 60; // Of a packet without data.
    static constexpr int mostConnects = 4; // For one request.
    static constexpr std::size_t endpoints = 20;
    static constexpr std::chrono::milliseconds way { 1 };
    static constexpr std::chrono::milliseconds work { 60 };
    static constexpr std::chrono::milliseconds tickInterval { 50 };
    static constexpr std::chrono::milliseconds connectTimeout { 300 };
    static constexpr std::chrono::milliseconds deadline { 5'000 };
    static constexpr std::chrono::milliseconds comeBack { 300 };
    static inline const ServiceName service { "svc" };

    SteadyTime now() const { return m_clock.now(); }
    void after(std::chrono::nanoseconds wait, std::function<void()> run) { m_events.at(now() + wait, std::move(run)); }

    // Calls `then` when bytes that are handed over now have arrived at the other end.
    void pass(Direction& direction, std::size_t bytes, std::function<void()> then) { m_events.at(direction.pass(bytes, now()) + way, std::move(then)); }

    void arrive()
    {
        constexpr double idle = 0.001;
        const double perSecond = std::max(m_perSecond, idle);
        if (m_perSecond > 0)
            open(now());
        after(std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(-std::log(1 - uniform(m_random)) / perSecond)), [this] { arrive(); });
    }

    // A caller opens a connection; `began` is when it first did.
    void open(SteadyTime began)
    {
        pass(m_in, packetBytes, [this, began] {
            if (!isListening()) {
                pass(m_out, packetBytes, [this, began] { turnAway(began); });
                return;
            }
            accept();
            pass(m_out, packetBytes, [this, began] {
                pass(m_in, m_settings.promptBytes, [this, began] {
                    m_received += m_settings.promptBytes;
                    serve(std::make_shared<Call>(Call { began, now() }));
                });
            });
        });
    }

    void turnAway(SteadyTime began)
    {
        m_count.unread += began >= m_from ? 1 : 0;
        if (!m_settings.othersLive && now() - began < deadline)
            after(comeBack, [this, began] { open(began); });
    }

    bool isListening() const { return now() >= m_closedUntil; }

    void accept()
    {
        noteBytes();
        m_closedUntil = now() + m_gate.pauseAfterConnection(now());
        m_longestWithoutAccept = std::max(m_longestWithoutAccept, now() - m_acceptedAt);
        m_acceptedAt = now();
    }

    void noteBytes() { m_gate.noteBytes({ m_received, m_sent }, now()); }

    void serve(const std::shared_ptr<Call>& call)
    {
        m_count.read += call->began >= m_from ? 1 : 0;
        attempt(call);
    }

    void attempt(const std::shared_ptr<Call>& call)
    {
        if (call->connects == mostConnects || m_paths.isLost(service, now()))
            return; // Refused.
        ++call->connects;
        if (m_paths.isDirect(service))
            attemptDirectly(call);
        else
            attemptByRelay(call, std::nullopt);
    }

    void attemptDirectly(const std::shared_ptr<Call>& call)
    {
        const SteadyTime began = now();
        const EndpointName endpoint { "e" + std::to_string(below(m_random, endpoints)) };
        connect(m_isCut, [this, call, began, endpoint](bool isConnected) {
            if (isConnected)
                m_shortestConnect = std::min<std::chrono::nanoseconds>(m_shortestConnect.value_or(now() - began), now() - began);
            if (!isConnected && m_gate.isBehind(now()))
                return attempt(call);
            m_paths.recordDirect(service, endpoint, isConnected, began);
            if (isConnected)
                exchange(call);
            else if (m_paths.mayRelayAfter(service, began))
                attemptByRelay(call, began);
            else
                attempt(call);
        });
    }

    void attemptByRelay(const std::shared_ptr<Call>& call, std::optional<SteadyTime> directBegan)
    {
        const std::optional<InstanceName> relay = m_paths.drawRelay(service, {}, now());
        if (!relay)
            return attempt(call);
        ++m_relaysAsked;
        connect(false, [this, call, relay, directBegan](bool isConnected) {
            m_paths.recordRelay(service, *relay, isConnected ? policy::RelayOutcome::connected : policy::RelayOutcome::unreachable, directBegan, now());
            if (isConnected)
                exchange(call);
            else
                attempt(call);
        });
    }

    void connect(bool isCut, std::function<void(bool)> then)
    {
        const auto isOver = std::make_shared<bool>(false);
        const auto end = [isOver, then = std::move(then)](bool isConnected) {
            if (!std::exchange(*isOver, true))
                then(isConnected);
        };
        after(connectTimeout, [end] { end(false); });
        pass(m_out, packetBytes, [this, isCut, end] {
            if (!isCut)
                pass(m_in, packetBytes, [end] { end(true); });
        });
    }

    void exchange(const std::shared_ptr<Call>& call)
    {
        m_sent += m_settings.promptBytes;
        pass(m_out, m_settings.promptBytes, [this, call] {
            after(work, [this, call] {
                pass(m_in, m_settings.answerBytes, [this, call] {
                    m_received += m_settings.answerBytes;
                    m_sent += m_settings.answerBytes;
                    pass(m_out, m_settings.answerBytes, [this, call] { finish(*call); });
                });
            });
        });
    }

    void finish(const Call& call)
    {
        if (now() - call.began > deadline)
            return;
        ++m_count.answered;
        m_count.served += call.began >= m_from ? 1 : 0;
    }

    void tick()
    {
        noteBytes();
        m_gate.noteWorkDelay(std::chrono::nanoseconds(0), now());
        if (const auto connect = std::exchange(m_shortestConnect, std::nullopt))
            m_gate.noteConnectTime(*connect, now());
        for (const policy::PathProbe& wanted : m_paths.takeProbes(now()))
            probe(wanted.endpoints);
        after(tickInterval, [this] { tick(); });
    }

    void probe(std::size_t count)
    {
        struct Round {
            SteadyTime began;
            std::size_t left = 0;
            std::size_t connected = 0;
            std::size_t failed = 0;
        };
        const auto round = std::make_shared<Round>(Round { now(), count });
        for (std::size_t i = 0; i < count; ++i) {
            connect(m_isCut, [this, round](bool isConnected) {
                ++(isConnected ? round->connected : round->failed);
                if (--round->left > 0)
                    return;
                if (m_gate.isBehind(now()))
                    m_paths.dismissProbes(service);
                else
                    m_paths.recordProbes(service, round->connected, round->failed, round->began);
            });
        }
    }

    const CrowdSettings m_settings;
    FakeClock m_clock;
    VirtualEvents m_events { m_clock };
    Random m_random;
    policy::ConnectionGate m_gate;
    policy::EndpointPaths m_paths;
    Direction m_in;
    Direction m_out;
    double m_perSecond = 0;
    bool m_isCut = false;
    std::optional<std::chrono::nanoseconds> m_shortestConnect; // Since the last tick.
    SteadyTime m_from; // Since when requests are counted.
    SteadyTime m_acceptedAt;
    SteadyTime m_closedUntil;
    std::uint64_t m_received = 0; // Bytes, as the instance counts them.
    std::uint64_t m_sent = 0;
    SteadyTime::duration m_longestWithoutAccept { 0 };
    std::size_t m_relaysAsked = 0;
    Count m_count;
};

}
