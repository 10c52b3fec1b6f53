#include "whinyard/base/CrashReport.h"

#include "internal/ReportLine.h"
#include "whinyard/base/EndedChild.h"
#include "whinyard/base/Log.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sys/mman.h>
#include <sys/resource.h>

#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <functional>
#include <ostream>
#include <stdexcept>
#include <thread>

namespace whinyard::crash {
namespace {

    using namespace std::chrono_literals;
    using Json = nlohmann::json;

    constexpr std::uintptr_t badAddress = 0x10;

    [[gnu::noinline]] void writeToBadAddress()
    {
        *reinterpret_cast<volatile int*>(badAddress) = 1;
    }

    [[gnu::noinline]] int overflow(int depth)
    {
        volatile char frame[512] = {};
        frame[0] = static_cast<char>(depth);
        return depth < 0 ? 0 : overflow(depth + 1) + frame[0];
    }

    void writeToClosedPipe()
    {
        std::array<int, 2> ends {};
        EXPECT_EQ(pipe(ends.data()), 0);
        close(ends[0]);
        static_cast<void>(write(ends[1], "x", 1));
    }

    void touchBeyondEndOfFile()
    {
        const int file = open("/proc/self/exe", O_RDONLY);
        const long pages = sysconf(_SC_PAGESIZE);
        const off_t behind = lseek(file, 0, SEEK_END) / pages * pages + pages;
        const void* mapped = mmap(nullptr, static_cast<std::size_t>(pages), PROT_READ, MAP_PRIVATE, file, behind);
        static_cast<void>(*static_cast<const volatile char*>(mapped));
    }

    void divideByZero()
    {
        volatile int zero = 0;
        volatile int result = 7 / zero;
        static_cast<void>(result);
    }

    void freeTwice()
    {
        void* volatile memory = std::malloc(24);
        void* volatile again = memory;
        std::free(memory);
        std::free(again);
    }

    // Set in a child: a function that exit() calls after the report's own faults.
    std::atomic<bool> faultsAtExit = false;
    const int registeredBeforeMain = std::atexit([] {
        if (faultsAtExit)
            writeToBadAddress();
    });

    // Runs `body` in a child that must end by `signal` and leave one line, and returns it.
    Json lineOf(int signal, const std::function<void()>& body, bool readsLate = false)
    {
        const EndedChild child = runInChild(body, readsLate);
        EXPECT_TRUE(child.endedBy(signal)) << child.status;
        EXPECT_EQ(child.lines.size(), 1U);
        return child.lines.empty() ? Json::object() : Json::parse(child.lines.back());
    }

    struct End {
        int signal;
        const char* name;
        void (*body)();
    };

    std::ostream& operator<<(std::ostream& stream, const End& end) { return stream << end.name; }

    class CrashReportSignalTest : public ::testing::TestWithParam<End> { };

    TEST_P(CrashReportSignalTest, LeavesOneLineAndTheExitStatus)
    {
        const Json line = lineOf(GetParam().signal, GetParam().body);
        EXPECT_EQ(line["level"], "critical");
        EXPECT_EQ(line["process"], "whinyard_base_test");
        EXPECT_EQ(line["message"], "ended by a signal");
        EXPECT_EQ(line["signal"], GetParam().name);
        EXPECT_EQ(line["threadName"], "main");
        EXPECT_FALSE(line["thread"].get<std::string>().empty());
        EXPECT_GT(line["stack"].size(), 1U);
        EXPECT_TRUE(line["load"].get<std::string>().starts_with("0x"));
    }

    INSTANTIATE_TEST_SUITE_P(AllSignals, CrashReportSignalTest,
        ::testing::Values(End { SIGSEGV, "SIGSEGV", &writeToBadAddress },
            End { SIGABRT, "SIGABRT", [] { std::abort(); } },
            End { SIGABRT, "SIGABRT", &freeTwice },
            End { SIGBUS, "SIGBUS", &touchBeyondEndOfFile },
            End { SIGFPE, "SIGFPE", &divideByZero },
            End { SIGPIPE, "SIGPIPE", &writeToClosedPipe },
            End { SIGSEGV, "SIGSEGV", [] { kill(getpid(), SIGSEGV); } },
            End { SIGTERM, "SIGTERM", [] { kill(getpid(), SIGTERM); } }));

    // Guards against a process that faults again and again, as its first fault comes after exit() has left the line.
    TEST(CrashReportTest, EndsByAFaultWithinExit)
    {
        ASSERT_EQ(registeredBeforeMain, 0);
        const EndedChild child = runInChild([] {
            faultsAtExit = true;
            std::exit(3);
        });
        EXPECT_TRUE(child.endedBy(SIGSEGV)) << child.status;
    }

    TEST(CrashReportTest, NamesTheAddressAndTheCode)
    {
        const Json line = lineOf(SIGSEGV, &writeToBadAddress);
        EXPECT_EQ(line["address"], "0x10");
        const auto load = std::stoull(line["load"].get<std::string>(), nullptr, 16);
        const std::string first = line["stack"][0].get<std::string>();
        const std::string program = "whinyard_base_test+";
        ASSERT_TRUE(first.starts_with(program)) << first;
        const auto at = load + std::stoull(first.substr(program.size()), nullptr, 16);
        const auto function = reinterpret_cast<std::uintptr_t>(&writeToBadAddress);
        EXPECT_GE(at, function);
        EXPECT_LT(at, function + 64);
    }

    TEST(CrashReportTest, NamesTheSenderOfASignal)
    {
        EXPECT_EQ(lineOf(SIGTERM, [] { kill(getpid(), SIGTERM); })["sender"].get<std::string>().empty(), false);
    }

    TEST(CrashReportTest, TellsAnExceptionThatLeavesAThread)
    {
        const Json line = lineOf(SIGABRT, [] {
            std::thread([] { throw std::runtime_error("a \"reason\""); }).join();
        });
        EXPECT_EQ(line["message"], "ended by an exception that nobody caught");
        EXPECT_EQ(line["exception"], "std::runtime_error");
        EXPECT_EQ(line["what"], "a \"reason\"");
    }

    TEST(CrashReportTest, TellsAThreadThatWasNotJoined)
    {
        const Json line = lineOf(SIGABRT, [] { const std::thread forgotten([] { pause(); }); });
        EXPECT_EQ(line["message"], "ended by an exception that nobody caught");
        EXPECT_EQ(line["exception"], "none");
    }

    TEST(CrashReportTest, TellsAnExitFromInside)
    {
        constexpr int status = 3;
        const EndedChild child = runInChild([] { std::exit(status); });
        EXPECT_TRUE(WIFEXITED(child.status));
        EXPECT_EQ(WEXITSTATUS(child.status), status);
        ASSERT_EQ(child.lines.size(), 1U);
        const Json line = Json::parse(child.lines.back());
        EXPECT_EQ(line["message"], "ended by exit()");
        EXPECT_EQ(line["status"], "3");
    }

    TEST(CrashReportTest, TellsAnOverflowOfTheStack)
    {
        const Json line = lineOf(SIGSEGV, [] {
            const rlimit small { .rlim_cur = 1 << 20, .rlim_max = RLIM_INFINITY };
            setrlimit(RLIMIT_STACK, &small);
            overflow(0);
        });
        EXPECT_EQ(line["signal"], "SIGSEGV");
        EXPECT_GT(line["stack"].size(), 10U) << "the calls that filled it";
    }

    TEST(CrashReportTest, TellsAnOverflowOfAThreadsStack)
    {
        const Json line = lineOf(SIGSEGV, [] {
            std::thread([] {
                const SignalStack signals("deep");
                overflow(0);
            }).join();
        });
        EXPECT_EQ(line["threadName"], "deep");
        EXPECT_GT(line["stack"].size(), 10U);
    }

    TEST(CrashReportTest, TellsThreadsThatFaultTogetherOnce)
    {
        lineOf(SIGSEGV, [] {
            std::atomic<int> ready = 0;
            const auto fault = [&] {
                ++ready;
                while (ready < 3)
                    ;
                writeToBadAddress();
            };
            std::thread one(fault);
            std::thread other(fault);
            fault();
        });
    }

    TEST(CrashReportTest, TellsAFaultInsideTheLogsThread)
    {
        const EndedChild child = runInChild([] {
            const int output = dup(STDOUT_FILENO);
            std::array<int, 2> ends {};
            EXPECT_EQ(pipe(ends.data()), 0);
            dup2(ends[1], STDOUT_FILENO);
            log::start("test", "info");
            log::info("before");
            char byte = 0;
            EXPECT_EQ(read(ends[0], &byte, 1), 1); // The thread runs.
            dup2(output, STDOUT_FILENO);
            for (const auto& thread : std::filesystem::directory_iterator("/proc/self/task")) {
                const pid_t number = std::stoi(thread.path().filename());
                if (number != getpid())
                    tgkill(getpid(), number, SIGSEGV); // Wherever the log's thread stands.
            }
            pause();
        });
        EXPECT_TRUE(child.endedBy(SIGSEGV)) << child.status;
        ASSERT_FALSE(child.lines.empty());
        EXPECT_EQ(Json::parse(child.lines.back())["threadName"], "log");
    }

    TEST(CrashReportTest, EndsWhereNobodyReads)
    {
        const EndedChild child = runInChild(
            [] {
                fcntl(STDOUT_FILENO, F_SETFL, O_NONBLOCK);
                while (write(STDOUT_FILENO, "xxxxxxxxxxxxxxx\n", 16) > 0)
                    ;
                fcntl(STDOUT_FILENO, F_SETFL, 0);
                std::abort();
            },
            true);
        EXPECT_TRUE(child.endedBy(SIGABRT)) << child.status;
    }

    TEST(CrashReportTest, KeepsTheSignalWhereTheOutputIsClosed)
    {
        const EndedChild child = runInChild([] {
            std::array<int, 2> ends {};
            EXPECT_EQ(pipe(ends.data()), 0);
            dup2(ends[1], STDOUT_FILENO);
            close(ends[0]);
            writeToBadAddress();
        });
        EXPECT_TRUE(child.endedBy(SIGSEGV)) << child.status;
    }

    TEST(ReportLineTest, WritesTimesAsTheLogDoes)
    {
        for (const time_t second : { 0L, 951'782'399L, 951'868'800L, 1'709'164'800L, 1'796'328'786L, 4'102'444'799L }) {
            internal::ReportLine line;
            line.appendTime({ .tv_sec = second, .tv_nsec = 1'234'000 });
            std::array<char, 40> expected {};
            tm parts {};
            gmtime_r(&second, &parts);
            const std::size_t size = strftime(expected.data(), expected.size(), "%Y-%m-%dT%H:%M:%S.001234Z", &parts);
            EXPECT_EQ(line.text(), std::string(expected.data(), size));
        }
    }

    TEST(ReportLineTest, LeavesOutWhatDoesNotFit)
    {
        internal::ReportLine line;
        line.append(std::string(internal::ReportLine::capacity + 1, 'x'));
        EXPECT_EQ(line.text().size(), internal::ReportLine::capacity);
        EXPECT_EQ(line.room(), 0U);
    }

}
}
