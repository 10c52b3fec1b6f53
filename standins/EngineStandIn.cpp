// The stand-in of a model engine: the engines' protocol of docs/DESIGN.md, section 5, over BatchingEngine.
//
//   POST /v1/chat/completions      whole or streamed; each event has `id: <attempt>:<offset>`, the end mark too
//   GET|DELETE /v1/streams/ATTEMPT resume with ?from=OFFSET, cancel
//   GET  /load                     as it was --load-lag-ms ago
//   POST /orders {"order","version","fence"}  load or unload; with --check-fence an older fence gets 409
//   POST /control/leave            from now on new work gets 503 and X-Leaving: 1, and doesn't run
//   POST /control/fault            error, cutAfter, stall, duplicate, crossed
//   GET  /control/history          200 {"runs": [{"attempt","version","tokens","state","atMs"}],
//                                  "refusalsMs": [of new work, after leaving began]}
//   GET  /healthz                  200
#include "BatchingEngine.h"
#include "ChatJson.h"
#include "StandIn.h"

#include "whinyard/base/Clock.h"
#include "whinyard/base/Log.h"

#include <array>
#include <charconv>
#include <deque>
#include <set>

namespace whinyard::standin {

namespace {

    using namespace std::chrono_literals;
    using nlohmann::json;

    constexpr std::string_view streamsPath = "/v1/streams/";

    struct EngineOptions {
        EngineLimits limits;
        std::int64_t stepMs = 5;
        std::int64_t loadLagMs = 0;
        bool checkFence = false;
        std::vector<std::string> versions; // Loaded at the start; none: every version is, until the first order.
    };

    std::string stateName(GenerationState state)
    {
        constexpr std::array names { "queued", "running", "finished", "cancelled" };
        return names[static_cast<std::size_t>(state)];
    }

    // The faults drawn for one answer.
    struct AnswerFaults {
        std::optional<FaultPlan> cut;
        std::optional<FaultPlan> stall;
        std::optional<FaultPlan> duplicate;
        std::optional<FaultPlan> crossed;
    };

    bool strikesAt(const std::optional<FaultPlan>& plan, std::size_t offset)
    {
        return plan && plan->after == offset;
    }

    class EngineService final : public Service {
    public:
        EngineService(const EngineOptions& options, std::uint64_t seed, net::Duty& duty)
            : m_options(options)
            , m_engine(options.limits)
            , m_anyVersion(options.versions.empty())
            , m_versions(options.versions.begin(), options.versions.end())
            , m_faults({ FaultMode::error, FaultMode::cutAfter, FaultMode::stall, FaultMode::duplicate, FaultMode::crossed }, seed)
        {
            duty.spawn([this] { runSteps(); });
            duty.spawn([this] { sampleLoad(); });
        }

        void handle(const net::HttpRequest& request, net::HttpResponder& responder) override
        {
            const auto path = net::pathOf(request.target);
            if (path == "/v1/chat/completions")
                complete(request, responder);
            else if (path.starts_with(streamsPath))
                handleStream(std::string(path.substr(streamsPath.size())), request, responder);
            else if (path == "/load")
                reply(responder, 200, m_samples.empty() ? loadNow() : m_samples.front().load);
            else if (path == "/orders")
                takeOrder(bodyOf(request), responder);
            else if (path == "/control/leave")
                m_leaving.begin(m_clock, responder);
            else if (path == "/control/fault")
                replaceFaults(m_faults, request, responder);
            else if (path == "/control/history")
                reply(responder, 200, history());
            else if (path == "/healthz")
                reply(responder, 200, { { "status", m_leaving.begun() ? "leaving" : "ok" } });
            else
                replyError(responder, 404, "no such path");
        }

    private:
        void runSteps()
        {
            while (true) {
                if (!m_engine.busy()) {
                    m_work.wait(1s);
                    continue;
                }
                net::sleepFor(std::chrono::milliseconds(m_options.stepMs));
                m_engine.step();
                m_progress.notify();
            }
        }

        // Keeps samples back to the first one that is at least as old as the lag.
        void sampleLoad()
        {
            constexpr auto finest = 5ms;
            const std::chrono::milliseconds lag(m_options.loadLagMs);
            if (lag == 0ms)
                return;
            while (true) {
                const SteadyTime now = m_clock.now();
                m_samples.push_back({ now, loadNow() });
                while (m_samples.size() > 1 && m_samples[1].at + lag <= now)
                    m_samples.pop_front();
                net::sleepFor(std::max<std::chrono::milliseconds>(finest, lag / 4));
            }
        }

        std::int64_t wallMilliseconds() const
        {
            return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.wallNow().time_since_epoch()).count();
        }

        json loadNow() const
        {
            return {
                { "queued", m_engine.queued() },
                { "running", m_engine.running() },
                { "slots", m_engine.slots() },
                { "stepMs", m_options.stepMs },
                { "prefixes", m_engine.cachedPrefixes() },
                { "asOfMs", wallMilliseconds() },
            };
        }

        // Refuses before anything runs; returns whether it did.
        bool refused(const json& body, net::HttpResponder& responder)
        {
            if (m_leaving.refuse(m_clock, responder))
                return true;
            if (m_faults.strike(FaultMode::error)) {
                replyError(responder, 500, "failed before running");
                return true;
            }
            if (!m_anyVersion && !m_versions.contains(body.at("model").get<std::string>())) {
                replyError(responder, 404, "the version isn't loaded");
                return true;
            }
            return false;
        }

        void complete(const net::HttpRequest& request, net::HttpResponder& responder)
        {
            const json body = bodyOf(request);
            if (refused(body, responder))
                return;
            std::string attempt(net::fieldValue(request.fields, "X-Attempt"));
            if (attempt.empty())
                attempt = "unnamed-" + std::to_string(m_engine.history().size());
            if (m_engine.knows(attempt)) {
                replyError(responder, 409, "the attempt is known");
                return;
            }
            Generation wanted = generationOf(attempt, body);
            wanted.arrivedMs = wallMilliseconds();
            const GenerationRef generation = m_engine.add(std::move(wanted));
            if (!generation) {
                replyError(responder, 503, "the queue is full");
                return;
            }
            m_work.notify();
            const AnswerFaults faults = drawFaults();
            if (body.value("stream", false))
                sendStream(*generation, 0, faults, responder);
            else
                sendWhole(*generation, faults, responder);
        }

        AnswerFaults drawFaults()
        {
            return {
                .cut = m_faults.strike(FaultMode::cutAfter),
                .stall = m_faults.strike(FaultMode::stall),
                .duplicate = m_faults.strike(FaultMode::duplicate),
                .crossed = m_faults.strike(FaultMode::crossed),
            };
        }

        void sendWhole(const Generation& generation, const AnswerFaults& faults, net::HttpResponder& responder)
        {
            while (!generation.ended()) {
                if (faults.cut && generation.produced >= faults.cut->after) {
                    responder.abort();
                    return;
                }
                m_progress.wait(1s);
            }
            if (faults.cut || generation.state == GenerationState::cancelled) {
                responder.abort();
                return;
            }
            if (faults.stall)
                net::sleepFor(faults.stall->delay);
            reply(responder, 200, wholeAnswer(generation));
        }

        void sendStream(const Generation& generation, std::size_t from, const AnswerFaults& faults, net::HttpResponder& responder)
        {
            responder.begin({ .status = 200, .fields = { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-cache" } }, .body = {} });
            const std::size_t pieces = generation.tokens.size() + 1;
            for (std::size_t offset = from; offset < pieces; ++offset) {
                if (!waitForPiece(generation, offset, responder) || strikesAt(faults.cut, offset)) {
                    responder.abort();
                    return;
                }
                if (strikesAt(faults.stall, offset))
                    net::sleepFor(faults.stall->delay);
                if (strikesAt(faults.crossed, offset))
                    responder.write(eventText("00000000000000000000000000000000-1", offset, chunkOf(generation, { { "content", " CROSSED" } }, nullptr).dump()));
                const std::string piece = eventText(generation.attempt, offset, pieceOf(generation, offset).dump());
                responder.write(piece);
                if (strikesAt(faults.duplicate, offset))
                    responder.write(piece);
            }
            responder.write(eventText(generation.attempt, pieces, "[DONE]"));
            responder.end();
        }

        // Returns false when the piece will not come: the generation was cancelled or the peer is gone.
        bool waitForPiece(const Generation& generation, std::size_t offset, const net::HttpResponder& responder)
        {
            while (true) {
                if (generation.state == GenerationState::cancelled || responder.peerGone())
                    return false;
                if (offset < generation.produced || generation.state == GenerationState::finished)
                    return true;
                m_progress.wait(1s);
            }
        }

        void handleStream(const std::string& attempt, const net::HttpRequest& request, net::HttpResponder& responder)
        {
            const GenerationRef generation = m_engine.find(attempt);
            if (!generation) {
                replyError(responder, 404, "no such attempt");
                return;
            }
            if (request.method == "DELETE") {
                m_engine.cancel(attempt);
                m_progress.notify();
                responder.send({ .status = 204, .fields = {}, .body = {} });
                return;
            }
            const std::string text = net::queryValue(request.target, "from");
            std::size_t from = 0;
            std::from_chars(text.data(), text.data() + text.size(), from);
            sendStream(*generation, from, {}, responder);
        }

        void takeOrder(const json& body, net::HttpResponder& responder)
        {
            const auto fence = body.value("fence", std::uint64_t { 0 });
            if (m_options.checkFence && fence < m_fence) {
                replyError(responder, 409, "an order with a newer fence came before");
                return;
            }
            m_fence = std::max(m_fence, fence);
            const auto version = body.at("version").get<std::string>();
            m_anyVersion = false;
            if (body.at("order") == "load")
                m_versions.insert(version);
            else
                m_versions.erase(version);
            reply(responder, 200, { { "versions", m_versions } });
        }

        json history() const
        {
            json runs = json::array();
            for (const EngineRun& run : m_engine.history())
                runs.push_back({ { "attempt", run.attempt }, { "version", run.version }, { "tokens", run.tokens }, { "state", stateName(run.state) }, { "atMs", run.arrivedMs } });
            return { { "runs", runs }, { "refusalsMs", m_leaving.refusalsMs() } };
        }

        struct LoadSample {
            SteadyTime at;
            json load;
        };

        SystemClock m_clock;
        EngineOptions m_options;
        BatchingEngine m_engine;
        bool m_anyVersion;
        std::set<std::string> m_versions; // Loaded.
        Faults m_faults;
        net::Signal m_work;
        net::Signal m_progress;
        std::deque<LoadSample> m_samples; // Oldest first.
        std::uint64_t m_fence = 0;
        Leaving m_leaving;
    };

}

}

int main(int argc, char** argv)
{
    using namespace whinyard::standin;
    CLI::App app("Stand-in of a model engine", "whinyard_engine_standin");
    StandInOptions options;
    EngineOptions engine;
    addCommonOptions(app, options);
    app.add_option("--step-ms", engine.stepMs, "time of one batching step");
    app.add_option("--slots", engine.limits.slots, "generations that run at once");
    app.add_option("--queue", engine.limits.queueLength, "generations that may wait");
    app.add_option("--cache-blocks", engine.limits.cacheBlocks, "capacity of the prefix cache");
    app.add_option("--kept-streams", engine.limits.keptFinished, "finished streams that can be resumed");
    app.add_option("--load-lag-ms", engine.loadLagMs, "age of load reports");
    app.add_flag("--check-fence", engine.checkFence, "refuse orders with an older fence");
    app.add_option("--version", engine.versions, "a version loaded at the start; none means all");
    CLI11_PARSE(app, argc, argv);
    return serve("engine-standin", options, [&](whinyard::net::Duty& duty) { return std::make_unique<EngineService>(engine, options.seed, duty); });
}
