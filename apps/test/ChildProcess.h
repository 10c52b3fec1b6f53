// A process that a test starts and ends by its pid.
#pragma once

#include <csignal>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace whinyard::apptest {

// Where a program's standard output goes.
enum class ChildOutput {
    pipe, // For readLine().
    logFile,
};

class ChildProcess {
public:
    // Starts a program; its standard error goes to `logFile`.
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::vector<std::string>& environment, const std::string& logFile, ChildOutput output = ChildOutput::pipe);

    // Kills the process if it still runs.
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    // Returns the next line of its standard output; nothing at its end.
    std::optional<std::string> readLine();

    pid_t pid() const { return m_pid; }
    void signal(int number) const;

    // Waits for the end and returns the exit code, or minus the signal that ended it.
    int wait();

private:
    pid_t m_pid = -1;
    int m_output = -1;
};

}
