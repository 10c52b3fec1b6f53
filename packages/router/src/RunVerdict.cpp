#include "whinyard/router/RunVerdict.h"

namespace whinyard::router {

RunState runVerdict(std::span<const endpoint::AttemptAccount> attempts, RunState recorded)
{
    RunState verdict = recorded;
    for (const endpoint::AttemptAccount& attempt : attempts) {
        const RunState state = runStateOf(attempt);
        if (state == RunState::ran)
            return RunState::ran;
        if (state == RunState::unknown)
            verdict = RunState::unknown;
    }
    return verdict;
}

}
