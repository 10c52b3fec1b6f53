// Tells how a process ends where nothing else can: one JSON line on standard output for a fatal signal, an exception that
// nobody caught, or an exit() from inside.
//
// The line has the fields of the log's lines and names what ended the process and where; docs/OPERATIONS.md says how to read it.
// The exit status stays as it would be without. SIGKILL, _exit() and std::_Exit() leave no line.
#pragma once

#include <string_view>

namespace whinyard::crash {

// Installs the report for this process and gives the calling thread a stack for its signals. Signals that are handled or
// ignored already are left as they are, as a sanitizer's. `process` is named in the line.
void install(std::string_view process);

// While one lives, exit() is told as an end by a fault.
class ExitGuard {
public:
    ExitGuard();
    ~ExitGuard();
    ExitGuard(const ExitGuard&) = delete;
    ExitGuard& operator=(const ExitGuard&) = delete;
};

// Gives the calling thread a stack for its signals, so that the overflow of its own, or of a fiber's, is told too. Belongs to
// that thread, and must end on it.
class SignalStack {
public:
    // `thread` is named in the line.
    explicit SignalStack(std::string_view thread);
    ~SignalStack();
    SignalStack(const SignalStack&) = delete;
    SignalStack& operator=(const SignalStack&) = delete;

private:
    void* m_memory = nullptr; // Null where the thread has such a stack already.
};

}
