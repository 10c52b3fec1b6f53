// The stand-in of a plain service. It runs every call that reaches it and never deduplicates, so
// that a call that ran twice shows in its history.
//
//   any other path              200 {"confirmation","path","runs"}; runs counts this Idempotency-Key and path
//   GET  /control/history       200 {"runs": [{"order","key","attempt","method","path"}],
//                               "refusalsMs": [of new work, after leaving began]}
//   POST /control/fault         error, slow, lostReply
//   POST /control/leave         from now on new calls get 503 and X-Leaving: 1, and don't run
//   GET  /healthz               200
#include "StandIn.h"

#include "whinyard/base/Log.h"

#include <map>

namespace whinyard::standin {

namespace {

    struct Execution {
        std::string key;
        std::string attempt;
        std::string method;
        std::string path;
    };

    class PlainService final : public Service {
    public:
        explicit PlainService(std::uint64_t seed)
            : m_faults({ FaultMode::error, FaultMode::slow, FaultMode::lostReply }, seed)
        {
        }

        void handle(const net::HttpRequest& request, net::HttpResponder& responder) override
        {
            const auto path = net::pathOf(request.target);
            if (path == "/control/history")
                reply(responder, 200, history());
            else if (path == "/control/fault")
                replaceFaults(m_faults, request, responder);
            else if (path == "/control/leave")
                m_leaving.begin(m_clock, responder);
            else if (path == "/healthz")
                reply(responder, 200, { { "status", m_leaving.begun() ? "leaving" : "ok" } });
            else
                run(request, responder);
        }

    private:
        void run(const net::HttpRequest& request, net::HttpResponder& responder)
        {
            if (m_leaving.refuse(m_clock, responder))
                return;
            if (m_faults.strike(FaultMode::error)) {
                replyError(responder, 500, "failed before running");
                return;
            }
            const auto slow = m_faults.strike(FaultMode::slow);
            if (slow)
                net::sleepFor(slow->delay / 2);
            const nlohmann::json answer = execute(request);
            if (slow)
                net::sleepFor(slow->delay / 2);
            if (m_faults.strike(FaultMode::lostReply))
                responder.abort();
            else
                reply(responder, 200, answer);
        }

        nlohmann::json execute(const net::HttpRequest& request)
        {
            const std::string key(net::fieldValue(request.fields, "Idempotency-Key"));
            const std::string path(net::pathOf(request.target));
            m_executions.push_back({ key, std::string(net::fieldValue(request.fields, "X-Attempt")), request.method, path });
            const std::size_t runs = ++m_runs[key + "\n" + path];
            log::debug("executed", { { "key", key }, { "path", path }, { "attempt", m_executions.back().attempt } });
            return { { "confirmation", m_executions.size() }, { "path", path }, { "runs", runs } };
        }

        nlohmann::json history() const
        {
            nlohmann::json runs = nlohmann::json::array();
            for (const Execution& execution : m_executions)
                runs.push_back({ { "order", runs.size() + 1 }, { "key", execution.key }, { "attempt", execution.attempt }, { "method", execution.method }, { "path", execution.path } });
            return { { "runs", runs }, { "refusalsMs", m_leaving.refusalsMs() } };
        }

        Faults m_faults;
        std::vector<Execution> m_executions;
        std::map<std::string, std::size_t> m_runs;
        SystemClock m_clock;
        Leaving m_leaving;
    };

}

}

int main(int argc, char** argv)
{
    using namespace whinyard::standin;
    CLI::App app("Stand-in of a plain service", "whinyard_service_standin");
    StandInOptions options;
    addCommonOptions(app, options);
    CLI11_PARSE(app, argc, argv);
    return serve("service-standin", options, [&](whinyard::net::Duty&) { return std::make_unique<PlainService>(options.seed); });
}
