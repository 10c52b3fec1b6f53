// What a soak sees from outside the daemons: callers' requests, engines' runs, and when which process or link was disturbed.
#pragma once

#include "whinyard/base/Clock.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace whinyard::soak {

enum class RequestKind : std::uint8_t {
    idempotent,
    nonIdempotent,
    stream, // That may be resumed.
};

// A request as its caller saw it.
struct CallerRecord {
    std::string id;
    RequestKind kind = RequestKind::idempotent;
    std::string customer; // Whose key it bore.
    std::size_t daemon = 0;
    SteadyTime sent;
    SteadyTime ended;
    int status = 0; // 0: no head of an answer came.
    bool isWhole = false; // The answer came to its proper end.
    bool gaveUp = false; // The caller left before the answer's end.
    bool isSigned = false;
    bool namesRequest = false; // Body or events are those of this request.
    std::vector<int> events; // Numbers of a stream's events, in the order of their coming.
};

// One run at an engine.
struct RunRecord {
    std::string id; // Of the request.
    std::size_t engine = 0;
    std::string customer;
    SteadyTime at; // When the soak read of it.
};

enum class DisturbedPart : std::uint8_t {
    daemon, // The process, or its link to the store.
    daemonStop, // A graceful stop, whose promises go on holding.
    engine, // The process or the link to it.
    store,
};

struct Disturbance {
    DisturbedPart part = DisturbedPart::daemon;
    std::size_t index = 0; // Of the daemon or engine.
    SteadyTime from;
    SteadyTime to; // The end of time while it lasts.
    std::string what;
};

struct Observations {
    std::vector<CallerRecord> requests;
    std::vector<RunRecord> runs;
    std::set<std::string> brokenOff {}; // Requests whose streams engines broke off by themselves.
    std::vector<Disturbance> disturbances;
};

}
