// One whinyardd process that forwards callers' requests and keeps what lasts in a site's store.
//
// main() makes one, waits for a signal, and has it drained and stopped.
#pragma once

#include "entry/EntryShared.h"
#include "whinyard/base/Error.h"
#include "whinyard/settings/EntrySettings.h"

#include <memory>

namespace whinyard::daemon {

class EntryDaemon {
public:
    // Starts the duties and opens the addresses. An unreachable store is no failure: the daemon starts, isn't ready,
    // and keeps trying. Returns null with the reason for a port in use.
    static std::unique_ptr<EntryDaemon> start(const settings::EntrySettings& settings, Failure& failure, EndpointTransport transport = {});

    ~EntryDaemon();

    // Ends gracefully: not ready from now on, what arrives is still answered, and open connections end one by one.
    // Returns whether all had ended before the bound of the settings.
    bool drain();

    // Takes over from newly read settings what can change while the process runs, and says in the log what can't.
    void reload(const settings::EntrySettings& settings);

    // Closes everything at once.
    void stop();

private:
    struct State;
    explicit EntryDaemon(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

}
