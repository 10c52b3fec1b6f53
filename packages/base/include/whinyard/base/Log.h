// Structured logs: JSON lines on standard output through spdlog, written by a thread of its own.
//
// Every line has "time", "level", "process" and "message"; further fields come from the caller. A
// key or secret never goes into a log line.
#pragma once

#include "whinyard/base/Event.h"

#include <chrono>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace whinyard::log {

// A further field of a line.
struct Field {
    std::string_view name;
    std::string value;
};

// Starts logging for this process. `level` is debug, info, warning or error.
void start(std::string_view process, std::string_view level);

// Writes out what is queued and stops the writing thread. Returns false when that took longer than `bound`, since nobody
// reads the lines: the process should then end by std::_Exit(), as the thread still waits.
bool stop(std::chrono::milliseconds bound = std::chrono::milliseconds(1'000));

void debug(std::string_view message, std::initializer_list<Field> fields = {});
void info(std::string_view message, std::initializer_list<Field> fields = {});
void warning(std::string_view message, std::initializer_list<Field> fields = {});
void error(std::string_view message, std::initializer_list<Field> fields = {});

// Writes an event of the time line as its own JSON line.
void event(const Event& event);

}
