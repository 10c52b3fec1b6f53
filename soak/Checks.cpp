#include "Checks.h"

#include <algorithm>
#include <map>

namespace whinyard::soak {

namespace {

    constexpr int firstSuccess = 200;
    constexpr int firstBeyondSuccess = 300;

    bool promisesNotRun(int status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    bool isSuccess(int status)
    {
        return status >= firstSuccess && status < firstBeyondSuccess;
    }

    class Judge {
    public:
        Judge(const Observations& seen, const CheckBounds& bounds)
            : m_seen(seen)
            , m_bounds(bounds)
        {
            for (const RunRecord& run : seen.runs)
                m_runs[run.id].push_back(&run);
        }

        std::vector<Violation> all()
        {
            for (const CallerRecord& request : m_seen.requests) {
                checkRuns(request);
                checkAnswer(request);
                checkTime(request);
                checkStop(request);
            }
            checkUnasked();
            checkRepeats();
            return std::move(m_found);
        }

    private:
        void report(const std::string& promise, const std::string& request, const std::string& detail = {})
        {
            m_found.push_back({ promise, request, detail });
        }

        std::size_t runsOf(const CallerRecord& request) const
        {
            const auto runs = m_runs.find(request.id);
            return runs == m_runs.end() ? 0 : runs->second.size();
        }

        void checkRuns(const CallerRecord& request)
        {
            const std::size_t runs = runsOf(request);
            if (promisesNotRun(request.status) && runs > 0)
                report("not run is true", request.id, "status " + std::to_string(request.status));
            if (request.kind == RequestKind::nonIdempotent && runs > 1)
                report("at most once", request.id, std::to_string(runs) + " runs");
            if (runs == 0)
                return;
            for (const RunRecord* run : m_runs.at(request.id)) {
                if (run->customer != request.customer)
                    report("the key's customer", request.id, "engine " + std::to_string(run->engine) + " saw \"" + run->customer + "\"");
            }
        }

        void checkAnswer(const CallerRecord& request)
        {
            if (isSuccess(request.status) && (!request.isSigned || (request.isWhole && !request.namesRequest)))
                report("the caller's own answer", request.id);
            if (request.kind != RequestKind::stream)
                return;
            for (std::size_t place = 0; place < request.events.size(); ++place) {
                if (request.events[place] != static_cast<int>(place) + 1) {
                    report("events in order", request.id, "event " + std::to_string(request.events[place]) + " at place " + std::to_string(place + 1));
                    return;
                }
            }
            if (isSuccess(request.status) && request.isWhole && static_cast<int>(request.events.size()) != m_bounds.streamEvents)
                report("whole answers", request.id, std::to_string(request.events.size()) + " events");
        }

        void checkTime(const CallerRecord& request)
        {
            const bool isLate = request.ended - request.sent > m_bounds.timeout + m_bounds.timeoutSlack;
            if (isLate && !isDisturbed(request, DisturbedPart::daemon) && !isDisturbed(request, DisturbedPart::daemonStop))
                report("a final answer by the timeout", request.id, std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(request.ended - request.sent).count()) + " ms");
        }

        // A graceful stop ends no request that has run without its answer, unless something else was disturbed, or its engine broke
        // it off: then no other engine may take it on in time.
        void checkStop(const CallerRecord& request)
        {
            const bool hasAnswer = request.status != 0 && request.isWhole;
            if (hasAnswer || request.gaveUp || m_seen.brokenOff.contains(request.id) || runsOf(request) == 0 || !isDisturbed(request, DisturbedPart::daemonStop))
                return;
            if (isDisturbed(request, DisturbedPart::daemon) || anyDisturbed(request, DisturbedPart::engine))
                return;
            report("a stop cuts no answer", request.id);
        }

        void checkUnasked()
        {
            std::map<std::string, bool> asked;
            for (const CallerRecord& request : m_seen.requests)
                asked[request.id] = true;
            for (const RunRecord& run : m_seen.runs) {
                if (!asked.contains(run.id))
                    report("nothing unasked", run.id);
            }
        }

        // In any ten seconds that begin with a repeat; requests count from a window before it.
        void checkRepeats()
        {
            constexpr std::chrono::seconds window { 10 };
            std::vector<SteadyTime> repeats;
            for (const auto& [id, runs] : m_runs) {
                for (std::size_t later = 1; later < runs.size(); ++later)
                    repeats.push_back(runs[later]->at);
            }
            std::sort(repeats.begin(), repeats.end());
            for (auto first = repeats.begin(); first != repeats.end(); ++first) {
                const auto last = std::upper_bound(first, repeats.end(), *first + window);
                const auto requests = std::count_if(m_seen.requests.begin(), m_seen.requests.end(), [&](const CallerRecord& request) {
                    return request.sent >= *first - window && request.sent <= *first + window;
                });
                if (static_cast<double>(last - first) > m_bounds.repeatRatio * static_cast<double>(requests) + m_bounds.repeatSlack) {
                    report("repeats within the budget", "", std::to_string(last - first) + " for " + std::to_string(requests) + " requests");
                    return;
                }
            }
        }

        bool overlaps(const Disturbance& disturbance, const CallerRecord& request) const
        {
            return disturbance.from <= request.ended && disturbance.to >= request.sent - m_bounds.aftermath;
        }

        bool isDisturbed(const CallerRecord& request, DisturbedPart part) const
        {
            return std::any_of(m_seen.disturbances.begin(), m_seen.disturbances.end(), [&](const Disturbance& one) { return one.part == part && one.index == request.daemon && overlaps(one, request); });
        }

        bool anyDisturbed(const CallerRecord& request, DisturbedPart part) const
        {
            return std::any_of(m_seen.disturbances.begin(), m_seen.disturbances.end(), [&](const Disturbance& one) { return one.part == part && overlaps(one, request); });
        }

        const Observations& m_seen;
        const CheckBounds& m_bounds;
        std::map<std::string, std::vector<const RunRecord*>> m_runs;
        std::vector<Violation> m_found;
    };

}

std::vector<Violation> judge(const Observations& seen, const CheckBounds& bounds)
{
    return Judge(seen, bounds).all();
}

}
