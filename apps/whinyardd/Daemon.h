// One whinyardd process: its duties, what runs on each, and its way from start to end.
//
// main() makes one, waits for a signal, and has it drained and stopped. Tests may hold several.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/settings/DaemonSettings.h"

#include <memory>

namespace whinyard::daemon {

class Daemon {
public:
    // Starts the duties and opens the addresses. An unreachable platform is no failure: the daemon
    // starts, isn't ready, and keeps trying. Returns null with the reason for a port in use or a
    // missing key.
    static std::unique_ptr<Daemon> start(const settings::DaemonSettings& settings, Failure& failure);

    ~Daemon();

    // Begins the graceful end: not ready from now on, new requests are refused, running ones finish.
    void beginDrain();

    // Returns whether the graceful end is complete.
    bool drained() const;

    // Closes everything at once.
    void stop();

private:
    struct State;
    explicit Daemon(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

}
