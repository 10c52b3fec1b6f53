// The command line `whinyard` of operators and support engineers.
//
// main() runs it on the process's streams; tests run it on their own.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace whinyard::command {

// What the process returns.
enum class ExitCode : int {
    done = 0,
    refused = 1, // Refused, not found, not yet accepted, or no instance could be asked.
    invalid = 2, // Wrong usage or invalid input.
};

// Where a command writes to.
struct Streams {
    std::ostream& out; // What was asked for.
    std::ostream& err; // Why it can't be given.
};

// Runs the program with its arguments, the program's name left out.
ExitCode runCommandLine(std::vector<std::string> arguments, Streams streams);

}
