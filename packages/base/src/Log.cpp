#include "whinyard/base/Log.h"

#include "whinyard/base/CrashReport.h"

#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <thread>

namespace whinyard::log {

namespace {

    constexpr std::size_t queueLength = 8192;
    constexpr const char* loggerName = "whinyard";

    std::string processName;

    std::string dump(const nlohmann::ordered_json& json)
    {
        return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    }

    void write(spdlog::level::level_enum level, std::string_view message, std::initializer_list<Field> fields)
    {
        const auto logger = spdlog::get(loggerName);
        if (!logger || !logger->should_log(level))
            return;
        nlohmann::ordered_json json;
        json["process"] = processName;
        json["message"] = message;
        for (const Field& field : fields)
            json[std::string(field.name)] = field.value;
        logger->log(level, dump(json).substr(1));
    }

}

void start(std::string_view process, std::string_view level)
{
    spdlog::shutdown();
    processName = process;
    spdlog::init_thread_pool(queueLength, 1, [] { thread_local const crash::SignalStack signals("log"); });
    auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    // When the queue is full the oldest line is overwritten: logging never holds a request back.
    auto logger = std::make_shared<spdlog::async_logger>(loggerName, std::move(sink), spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l",%v)", spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(std::string(level)));
    logger->flush_on(spdlog::level::info);
    spdlog::register_logger(std::move(logger));
}

bool stop(std::chrono::milliseconds bound)
{
    const auto ended = std::make_shared<std::promise<void>>();
    std::future<void> end = ended->get_future();
    std::thread([ended] {
        spdlog::shutdown();
        ended->set_value();
    }).detach();
    return end.wait_for(bound) == std::future_status::ready;
}

void debug(std::string_view message, std::initializer_list<Field> fields) { write(spdlog::level::debug, message, fields); }
void info(std::string_view message, std::initializer_list<Field> fields) { write(spdlog::level::info, message, fields); }
void warning(std::string_view message, std::initializer_list<Field> fields) { write(spdlog::level::warn, message, fields); }
void error(std::string_view message, std::initializer_list<Field> fields) { write(spdlog::level::err, message, fields); }

void event(const Event& event)
{
    const auto logger = spdlog::get(loggerName);
    if (!logger || !logger->should_log(spdlog::level::info))
        return;
    logger->info(toJsonLine(event).substr(1));
}

}
