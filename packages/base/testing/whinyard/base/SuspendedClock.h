// Lets a test suspend its machine: CLOCK_BOOTTIME and the time of day go on meanwhile, the steady clock doesn't. It takes the C
// library's place for whoever asks for the time in this program, so one file of a program includes it.
#pragma once

#include <atomic>
#include <chrono>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace whinyard {

inline std::atomic<std::int64_t> suspendedSeconds = 0;

inline void suspend(std::chrono::seconds duration) { suspendedSeconds += duration.count(); }

}

extern "C" int clock_gettime(clockid_t id, struct timespec* time) noexcept
{
    const long result = syscall(SYS_clock_gettime, id, time);
    if (id == CLOCK_BOOTTIME || id == CLOCK_REALTIME)
        time->tv_sec += whinyard::suspendedSeconds;
    return static_cast<int>(result);
}
