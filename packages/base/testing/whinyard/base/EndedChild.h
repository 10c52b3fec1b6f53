// Runs a part of a test in a process of its own, for tests of how a process ends.
#pragma once

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <poll.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace whinyard {

struct EndedChild {
    int status = 0; // As waitpid() tells it.
    std::vector<std::string> lines; // Of its standard output, without empty ones.
    bool inTime = true;

    bool endedBy(int signal) const { return inTime && WIFSIGNALED(status) && WTERMSIG(status) == signal; }
};

// Forks a child that runs `body` and, should that return, ends with status 0. Its standard error is dropped. What it writes is
// read once it has ended where `readsLate`. A child that goes on for longer than `bound` is killed.
inline EndedChild runInChild(const std::function<void()>& body, bool readsLate = false, std::chrono::seconds bound = std::chrono::seconds(20))
{
    std::array<int, 2> ends {};
    EXPECT_EQ(pipe(ends.data()), 0);
    fflush(nullptr);
    const pid_t child = fork();
    if (child == 0) {
        dup2(ends[1], STDOUT_FILENO);
        close(ends[0]);
        close(ends[1]);
        if (!freopen("/dev/null", "w", stderr))
            std::_Exit(EXIT_FAILURE);
        body();
        fflush(stdout);
        std::_Exit(EXIT_SUCCESS);
    }
    close(ends[1]);
    EndedChild ended;
    std::string output;
    std::array<char, 4096> buffer {};
    const auto end = std::chrono::steady_clock::now() + bound;
    bool hasEnded = false;
    bool isClosed = false;
    while (!hasEnded || !isClosed) {
        hasEnded = hasEnded || waitpid(child, &ended.status, WNOHANG) == child;
        if (!hasEnded && ended.inTime && std::chrono::steady_clock::now() > end) {
            ended.inTime = false;
            kill(child, SIGKILL);
        }
        if (readsLate && !hasEnded) {
            usleep(1'000);
            continue;
        }
        pollfd ready { .fd = ends[0], .events = POLLIN, .revents = 0 };
        if (poll(&ready, 1, 1) <= 0)
            continue;
        const ssize_t count = read(ends[0], buffer.data(), buffer.size());
        isClosed = count <= 0;
        output.append(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
    }
    close(ends[0]);
    std::string line;
    for (const char byte : output + "\n") {
        if (byte != '\n')
            line.push_back(byte);
        else if (!line.empty())
            ended.lines.push_back(std::exchange(line, {}));
    }
    return ended;
}

}
