// The stand-in of the platform: serves the protocol of packages/platform's HttpPlatform.h from memory.
//
//   POST /control/put {"key","value"}     200 {"revision"}: writes whatever stands there
//   POST /control/instances {"instances"} replaces the list, which shows --list-lag-ms later
//   POST /control/quality {"VERSION": Q}  the share of a version's answers that are rated good
//   POST /control/fault                   down, slow, lostReply, frozen
//   GET  /control/counts                  200 {"reads","writes","watches",...}
//   GET  /healthz                         200
#include "StandIn.h"

#include "whinyard/backing/MemoryStore.h"
#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"
#include "whinyard/base/Log.h"

#include <charconv>
#include <deque>
#include <map>

namespace whinyard::standin {

namespace {

    using namespace std::chrono_literals;
    using nlohmann::json;

    struct PlatformOptions {
        std::int64_t listLagMs = 0;
        double readsPerSecond = 0; // 0 sets no bound.
        double writesPerSecond = 0;
    };

    enum class CallKind : std::uint8_t {
        read,
        write,
    };

    // A token bucket of one second's worth.
    class RateLimit {
    public:
        explicit RateLimit(double perSecond)
            : m_perSecond(perSecond)
            , m_tokens(perSecond)
        {
        }

        bool take(SteadyTime now)
        {
            if (m_perSecond == 0)
                return true;
            const std::chrono::duration<double> elapsed = now - m_last;
            m_last = now;
            m_tokens = std::min(m_perSecond, m_tokens + elapsed.count() * m_perSecond);
            if (m_tokens < 1)
                return false;
            m_tokens -= 1;
            return true;
        }

    private:
        double m_perSecond;
        double m_tokens;
        SteadyTime m_last;
    };

    std::uint64_t numberParameter(const net::HttpRequest& request, std::string_view name)
    {
        const std::string text = net::queryValue(request.target, name);
        std::uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    json toJson(const backing::Record& record)
    {
        return { { "key", record.key }, { "value", record.value }, { "revision", record.revision.number } };
    }

    class PlatformService final : public Service {
    public:
        PlatformService(const PlatformOptions& options, std::uint64_t seed)
            : m_listLag(options.listLagMs)
            , m_seed(seed)
            , m_reads(options.readsPerSecond)
            , m_writes(options.writesPerSecond)
            , m_faults({ FaultMode::down, FaultMode::slow, FaultMode::lostReply, FaultMode::frozen }, seed)
        {
        }

        void handle(const net::HttpRequest& request, net::HttpResponder& responder) override
        {
            const std::string path(net::pathOf(request.target));
            const auto call = calls().find(path);
            if (call != calls().end())
                (this->*call->second.function)(request, responder, call->second);
            else if (path == "/healthz")
                reply(responder, 200, json::object());
            else
                replyError(responder, 404, "no such path");
        }

    private:
        struct Call;
        using CallFunction = void (PlatformService::*)(const net::HttpRequest&, net::HttpResponder&, const Call&);

        struct Call {
            CallFunction function;
            CallKind kind;
            const char* counter;
        };

        static const std::map<std::string, Call>& calls()
        {
            static const std::map<std::string, Call> table {
                { "/kv/read", { &PlatformService::read, CallKind::read, "reads" } },
                { "/kv/swap", { &PlatformService::swap, CallKind::write, "swaps" } },
                { "/kv/erase", { &PlatformService::erase, CallKind::write, "erases" } },
                { "/kv/list", { &PlatformService::list, CallKind::read, "lists" } },
                { "/kv/watch", { &PlatformService::watch, CallKind::read, "watches" } },
                { "/kv/lease", { &PlatformService::lease, CallKind::write, "leases" } },
                { "/kv/keep", { &PlatformService::keep, CallKind::write, "keeps" } },
                { "/instances", { &PlatformService::instances, CallKind::read, "instances" } },
                { "/rate", { &PlatformService::rate, CallKind::read, "ratings" } },
                { "/control/put", { &PlatformService::put, CallKind::write, "" } },
                { "/control/instances", { &PlatformService::setInstances, CallKind::write, "" } },
                { "/control/quality", { &PlatformService::setQuality, CallKind::write, "" } },
                { "/control/fault", { &PlatformService::setFaults, CallKind::write, "" } },
                { "/control/counts", { &PlatformService::counts, CallKind::read, "" } },
            };
            return table;
        }

        // Counts a call and lets the faults before its effect strike. Returns false when it is
        // refused; it then has been answered.
        bool admitted(net::HttpResponder& responder, const Call& call)
        {
            ++m_counts[call.counter];
            RateLimit& limit = call.kind == CallKind::read ? m_reads : m_writes;
            if (m_faults.strike(FaultMode::down) || !limit.take(m_clock.now())) {
                refuse(responder);
                return false;
            }
            if (const auto slow = m_faults.strike(FaultMode::slow))
                net::sleepFor(slow->delay);
            if (m_faults.strike(FaultMode::frozen)) {
                while (m_faults.active(FaultMode::frozen))
                    m_changed.wait(1s);
            }
            return true;
        }

        void refuse(net::HttpResponder& responder)
        {
            ++m_counts["refused"];
            replyError(responder, 503, "without effect");
        }

        // Answers a call whose effect, if any, has come.
        void answer(net::HttpResponder& responder, int status, const json& body)
        {
            if (m_faults.strike(FaultMode::lostReply)) {
                ++m_counts["lostReplies"];
                responder.abort();
                return;
            }
            if (status == 204)
                responder.send({ .status = status, .fields = {}, .body = {} });
            else
                reply(responder, status, body);
        }

        void read(const net::HttpRequest& request, net::HttpResponder& responder, const Call& call)
        {
            if (!admitted(responder, call))
                return;
            const auto record = m_store.read(net::queryValue(request.target, "key"));
            answer(responder, record ? 200 : 404, record ? toJson(*record) : json::object());
        }

        void swap(const net::HttpRequest& request, net::HttpResponder& responder, const Call& call)
        {
            const json body = bodyOf(request);
            const backing::Swap swap {
                .key = body.at("key").get<std::string>(),
                .value = body.at("value").get<std::string>(),
                .expected = body.at("expected").get<std::uint64_t>(),
                .lease = { body.value("lease", std::uint64_t { 0 }) },
            };
            if (swap.value.size() > backing::largestValue) {
                replyError(responder, 413, "the value is too large");
                return;
            }
            if (!admitted(responder, call))
                return;
            const auto revision = m_store.swap(swap);
            if (revision)
                m_changed.notify();
            answer(responder, revision ? 200 : 409, { { "revision", (revision ? *revision : m_store.revisionOf(swap.key)).number } });
        }

        void erase(const net::HttpRequest& request, net::HttpResponder& responder, const Call& call)
        {
            const json body = bodyOf(request);
            const auto key = body.at("key").get<std::string>();
            const auto expected = body.at("expected").get<std::uint64_t>();
            if (!admitted(responder, call))
                return;
            answer(responder, m_store.erase(key, expected) ? 200 : 409, json::object());
        }

        void list(const net::HttpRequest& request, net::HttpResponder& responder, const Call& call)
        {
            if (!admitted(responder, call))
                return;
            json records = json::array();
            for (const auto& record : m_store.list(net::queryValue(request.target, "prefix"), net::queryValue(request.target, "after"), numberParameter(request, "limit")))
                records.push_back(toJson(record));
            answer(responder, 200, { { "records", records } });
        }

        void watch(const net::HttpRequest& request, net::HttpResponder& responder, const Call& call)
        {
            if (!admitted(responder, call))
                return;
            const std::string key = net::queryValue(request.target, "key");
            const backing::Revision known = numberParameter(request, "known");
            const SteadyTime end = m_clock.now() + std::chrono::milliseconds(numberParameter(request, "timeoutMs"));
            while (!responder.peerGone()) {
                if (m_faults.strike(FaultMode::down)) {
                    refuse(responder);
                    return;
                }
                const auto record = m_store.read(key);
                if (record && record->revision > known) {
                    answer(responder, 200, toJson(*record));
                    return;
                }
                const SteadyTime now = m_clock.now();
                if (now >= end) {
                    answer(responder, 204, json::object());
                    return;
                }
                m_changed.wait(std::min<std::chrono::nanoseconds>(end - now, 1s));
            }
        }

        void lease(const net::HttpRequest& request, net::HttpResponder& responder, const Call& call)
        {
            const std::chrono::milliseconds timeToLive(bodyOf(request).at("timeToLiveMs").get<std::int64_t>());
            if (!admitted(responder, call))
                return;
            answer(responder, 200, { { "lease", m_store.grantLease(timeToLive).number } });
        }

        void keep(const net::HttpRequest& request, net::HttpResponder& responder, const Call& call)
        {
            const backing::LeaseId lease { bodyOf(request).at("lease").get<std::uint64_t>() };
            if (!admitted(responder, call))
                return;
            answer(responder, m_store.keepLease(lease) ? 200 : 404, json::object());
        }

        void instances(const net::HttpRequest&, net::HttpResponder& responder, const Call& call)
        {
            if (!admitted(responder, call))
                return;
            while (!m_coming.empty() && m_coming.front().shownFrom <= m_clock.now()) {
                m_shown = std::move(m_coming.front().entries);
                m_coming.pop_front();
            }
            answer(responder, 200, { { "instances", m_shown } });
        }

        // A share of a version's answers, its quality, is good: the score is then in [0.7, 1], else
        // in [0, 0.4]. The score is a function of seed, version, question and answer.
        void rate(const net::HttpRequest& request, net::HttpResponder& responder, const Call& call)
        {
            const json body = bodyOf(request);
            const auto version = body.at("version").get<std::string>();
            if (!admitted(responder, call))
                return;
            constexpr double defaultQuality = 0.9;
            const auto quality = m_quality.find(version);
            Random random(stableHash(version + "\n" + body.value("question", "") + "\n" + body.value("answer", ""), m_seed));
            const bool good = uniform(random) < (quality == m_quality.end() ? defaultQuality : quality->second);
            answer(responder, 200, { { "score", good ? 0.7 + 0.3 * uniform(random) : 0.4 * uniform(random) } });
        }

        void put(const net::HttpRequest& request, net::HttpResponder& responder, const Call&)
        {
            const json body = bodyOf(request);
            const auto revision = m_store.put(body.at("key").get<std::string>(), body.at("value").get<std::string>());
            m_changed.notify();
            reply(responder, 200, { { "revision", revision.number } });
        }

        void setInstances(const net::HttpRequest& request, net::HttpResponder& responder, const Call&)
        {
            json entries = bodyOf(request).at("instances");
            // The first list shows at once: there is nothing older to show.
            const bool first = m_shown.empty() && m_coming.empty();
            m_coming.push_back({ m_clock.now() + (first ? 0ms : m_listLag), std::move(entries) });
            reply(responder, 200, json::object());
        }

        void setQuality(const net::HttpRequest& request, net::HttpResponder& responder, const Call&)
        {
            const json body = bodyOf(request);
            for (const auto& [version, quality] : body.items())
                m_quality[version] = quality.get<double>();
            reply(responder, 200, json::object());
        }

        void setFaults(const net::HttpRequest& request, net::HttpResponder& responder, const Call&)
        {
            replaceFaults(m_faults, request, responder);
            m_changed.notify();
        }

        void counts(const net::HttpRequest&, net::HttpResponder& responder, const Call&) { reply(responder, 200, m_counts); }

        struct ListState {
            SteadyTime shownFrom;
            json entries;
        };

        SystemClock m_clock;
        backing::MemoryStore m_store { m_clock };
        net::Signal m_changed; // A record, or the faults.
        std::chrono::milliseconds m_listLag;
        std::uint64_t m_seed;
        RateLimit m_reads;
        RateLimit m_writes;
        Faults m_faults;
        std::map<std::string, std::uint64_t> m_counts;
        json m_shown = json::array();
        std::deque<ListState> m_coming;
        std::map<std::string, double> m_quality;
    };

}

}

int main(int argc, char** argv)
{
    using namespace whinyard::standin;
    CLI::App app("Stand-in of the platform", "whinyard_platform_standin");
    StandInOptions options;
    PlatformOptions platform;
    addCommonOptions(app, options);
    app.add_option("--list-lag-ms", platform.listLagMs, "how long a new instance list takes to show");
    app.add_option("--reads-per-second", platform.readsPerSecond, "further reads get 503; 0 sets no bound");
    app.add_option("--writes-per-second", platform.writesPerSecond, "further writes get 503; 0 sets no bound");
    CLI11_PARSE(app, argc, argv);
    return serve("platform-standin", options, [&](whinyard::net::Duty&) { return std::make_unique<PlatformService>(platform, options.seed); });
}
