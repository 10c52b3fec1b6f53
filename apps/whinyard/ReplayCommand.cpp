#include "Commands.h"

#include <ostream>

namespace whinyard::command {

ExitCode replay(const replay::ReplayOptions& options, Streams streams)
{
    Failure failure;
    const auto text = replay::runReplay(options, failure);
    if (text) {
        streams.out << *text;
        return ExitCode::done;
    }
    // A missed outcome is the report itself.
    const bool isMissed = failure.kind == ErrorKind::invalidConfiguration;
    (isMissed ? streams.out : streams.err) << failure.reason << "\n";
    return isMissed || failure.kind == ErrorKind::notFound ? ExitCode::refused : ExitCode::invalid;
}

}
