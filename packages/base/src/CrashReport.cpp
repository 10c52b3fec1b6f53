#include "whinyard/base/CrashReport.h"

#include "internal/ReportLine.h"
#include "internal/StackTrace.h"

#include <cxxabi.h>
#include <poll.h>
#include <sys/mman.h>
#include <ucontext.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <exception>

namespace whinyard::crash {

namespace {

    struct FatalSignal {
        int number;
        std::string_view name;
    };

    // SIGSYS isn't among them: where system calls are filtered it belongs to the filter.
    constexpr std::array<FatalSignal, 11> fatalSignals { {
        { SIGSEGV, "SIGSEGV" },
        { SIGBUS, "SIGBUS" },
        { SIGFPE, "SIGFPE" },
        { SIGILL, "SIGILL" },
        { SIGTRAP, "SIGTRAP" },
        { SIGABRT, "SIGABRT" },
        { SIGPIPE, "SIGPIPE" },
        { SIGXCPU, "SIGXCPU" },
        { SIGXFSZ, "SIGXFSZ" },
        { SIGTERM, "SIGTERM" },
        { SIGHUP, "SIGHUP" },
    } };

    constexpr std::size_t stackBytes = std::size_t { 64 } * 1'024;
    constexpr std::size_t maximumAddresses = 60;
    constexpr std::size_t maximumWords = 8'192; // 64 KiB of the stack.
    constexpr std::size_t roomOfAddress = 64; // In the line, with its file's name.
    constexpr int writeMilliseconds = 200; // Where nobody reads the output.
    constexpr long lookNanoseconds = 10'000'000;
    constexpr int looks = 100; // Of a second thread, while the first one writes.

    enum class Stage {
        none,
        began,
        reading, // Of the stack, which may fault.
        finishing,
    };

    // What a text from outside is kept in: the report can't allocate.
    class FixedText {
    public:
        void take(std::string_view text)
        {
            m_size = std::min(text.size(), m_bytes.size());
            std::copy_n(text.begin(), m_size, m_bytes.begin());
        }

        std::string_view text() const { return { m_bytes.data(), m_size }; }

    private:
        std::array<char, 256> m_bytes {};
        std::size_t m_size = 0;
    };

    FixedText processName;
    FixedText exceptionType; // Of the exception that nobody caught.
    FixedText exceptionText;
    std::atomic<bool> hasTerminated = false;
    std::atomic<int> exitGuards = 0;
    std::terminate_handler previousTerminate = nullptr;

    thread_local std::array<char, 16> threadName {};

    // Of the one report that a process makes.
    std::atomic<pid_t> reporter = 0;
    std::atomic<Stage> stage = Stage::none;
    int reported = 0; // The signal.
    internal::ReportLine line;
    std::uintptr_t nextWord = 0; // Of the stack, to be read.
    std::size_t wordsLeft = 0;
    std::size_t addresses = 0; // In the line.

    std::string_view nameOf(int signal)
    {
        const auto* found = std::find_if(fatalSignals.begin(), fatalSignals.end(), [&](const FatalSignal& one) { return one.number == signal; });
        return found == fatalSignals.end() ? std::string_view("unknown") : found->name;
    }

    void appendField(std::string_view name, std::string_view text)
    {
        line.append(",\"");
        line.append(name);
        line.append("\":\"");
        line.appendEscaped(text);
        line.append('"');
    }

    void appendNumberField(std::string_view name, std::uint64_t number)
    {
        line.append(",\"");
        line.append(name);
        line.append("\":\"");
        line.appendNumber(number);
        line.append('"');
    }

    void appendAddressField(std::string_view name, std::uintptr_t address)
    {
        line.append(",\"");
        line.append(name);
        line.append("\":\"");
        line.appendAddress(address);
        line.append('"');
    }

    void beginLine(std::string_view message)
    {
        timespec now {};
        clock_gettime(CLOCK_REALTIME, &now);
        line.append("{\"time\":\"");
        line.appendTime(now);
        line.append("\",\"level\":\"critical\"");
        appendField("process", processName.text());
        appendField("message", message);
    }

    void appendStackAddress(std::uintptr_t address)
    {
        const internal::CodeRange* range = internal::codeAt(address);
        line.append(addresses++ == 0 ? "\"" : ",\"");
        if (range) {
            line.appendEscaped(range->name);
            line.append('+');
        }
        line.appendAddress(range ? address - range->base : address);
        line.append('"');
    }

    void readStack()
    {
        while (wordsLeft > 0 && addresses < maximumAddresses && line.room() > 2 * roomOfAddress) {
            const std::uintptr_t at = nextWord;
            nextWord += sizeof(std::uintptr_t);
            --wordsLeft;
            const std::uintptr_t word = *reinterpret_cast<const volatile std::uintptr_t*>(at); // NOLINT(performance-no-int-to-ptr)
            if (internal::followsCall(word))
                appendStackAddress(word);
        }
    }

    bool writeAll(int file, std::string_view text)
    {
        while (!text.empty()) {
            // A pipe that is ready takes this much at once, so the write doesn't block.
            pollfd ready { .fd = file, .events = POLLOUT, .revents = 0 };
            if (poll(&ready, 1, writeMilliseconds) <= 0)
                return false;
            const ssize_t written = write(file, text.data(), text.size());
            if (written < 0 && errno != EINTR)
                return false;
            text.remove_prefix(written < 0 ? 0 : static_cast<std::size_t>(written));
        }
        return true;
    }

    void writeLine()
    {
        line.append("}\n");
        // A closed standard output would end the process by another signal.
        struct sigaction ignore { };
        ignore.sa_handler = SIG_IGN; // NOLINT(performance-no-int-to-ptr)
        sigaction(SIGPIPE, &ignore, nullptr);
        if (!writeAll(STDOUT_FILENO, line.text()))
            writeAll(STDERR_FILENO, line.text());
    }

    // Ends the process as `signal` would have without a handler.
    void takeDefaultAction(int signal)
    {
        struct sigaction action { };
        action.sa_handler = SIG_DFL;
        sigaction(signal, &action, nullptr);
        raise(signal);
    }

    void finish()
    {
        stage = Stage::finishing;
        line.append(']');
        writeLine();
    }

    // Where the code stood and its stack, from the context of the signal.
    void findPosition(const void* context, std::uintptr_t& instruction, std::uintptr_t& stack)
    {
        const auto* machine = &static_cast<const ucontext_t*>(context)->uc_mcontext;
#if defined(__x86_64__)
        instruction = static_cast<std::uintptr_t>(machine->gregs[REG_RIP]);
        stack = static_cast<std::uintptr_t>(machine->gregs[REG_RSP]);
#elif defined(__aarch64__)
        instruction = machine->pc;
        stack = machine->sp;
#else
        static_cast<void>(machine);
#endif
    }

    void report(int signal, const siginfo_t* info, const void* context)
    {
        reported = signal;
        stage = Stage::began;
        beginLine(hasTerminated ? "ended by an exception that nobody caught" : "ended by a signal");
        appendField("signal", nameOf(signal));
        if (hasTerminated) {
            appendField("exception", exceptionType.text());
            appendField("what", exceptionText.text());
        }
        if (info->si_code <= 0)
            appendNumberField("sender", static_cast<std::uint64_t>(info->si_pid));
        else
            appendAddressField("address", reinterpret_cast<std::uintptr_t>(info->si_addr));
        appendNumberField("thread", static_cast<std::uint64_t>(gettid()));
        appendField("threadName", threadName.data());
        appendAddressField("load", internal::programBase());
        std::uintptr_t instruction = 0;
        findPosition(context, instruction, nextWord);
        line.append(",\"stack\":[");
        wordsLeft = nextWord == 0 ? 0 : maximumWords;
        if (instruction != 0)
            appendStackAddress(instruction);
        stage = Stage::reading;
        readStack();
        finish();
    }

    // A fault while the stack was read: at its begin the guard page of one that overflowed, else its end.
    void goOnAfterFault()
    {
        constexpr std::uintptr_t pageBytes = 4'096;
        const std::size_t wordsRead = maximumWords - wordsLeft;
        if (wordsRead <= 1) {
            nextWord = (nextWord + pageBytes - 1) / pageBytes * pageBytes;
            wordsLeft -= 1;
            readStack();
        }
        finish();
    }

    void handle(int signal, siginfo_t* info, void* context)
    {
        pid_t nobody = 0;
        const pid_t self = gettid();
        if (reporter.compare_exchange_strong(nobody, self))
            report(signal, info, context);
        else if (nobody != self) {
            // The thread that reports ends the process.
            const timespec pause { .tv_sec = 0, .tv_nsec = lookNanoseconds };
            for (int look = 0; look < looks; ++look)
                nanosleep(&pause, nullptr);
            reported = signal;
        } else if (stage == Stage::reading)
            goOnAfterFault();
        else if (stage == Stage::began)
            finish();
        takeDefaultAction(reported != 0 ? reported : signal); // Nothing is where exit() took the report.
    }

    void terminate()
    {
        if (const std::type_info* type = abi::__cxa_current_exception_type()) {
            int status = 0;
            char* readable = abi::__cxa_demangle(type->name(), nullptr, nullptr, &status);
            exceptionType.take(readable ? readable : type->name());
            std::free(readable);
            try {
                throw;
            } catch (const std::exception& exception) {
                exceptionText.take(exception.what());
            } catch (...) {
                exceptionText.take("");
            }
        } else
            exceptionType.take("none");
        hasTerminated = true;
        if (previousTerminate)
            previousTerminate(); // Tells it on standard error and aborts.
        std::abort();
    }

    void noteExit(int status, void*)
    {
        pid_t nobody = 0;
        if (exitGuards == 0 || !reporter.compare_exchange_strong(nobody, gettid()))
            return;
        beginLine("ended by exit()");
        appendNumberField("status", static_cast<std::uint64_t>(status));
        appendNumberField("thread", static_cast<std::uint64_t>(gettid()));
        appendField("threadName", threadName.data());
        writeLine();
    }

}

void install(std::string_view process)
{
    static bool isInstalled = false;
    processName.take(process);
    internal::noteCode(process);
    if (isInstalled)
        return;
    isInstalled = true;
    static SignalStack& stack = *new SignalStack("main"); // exit() may be called by another thread.
    static_cast<void>(stack);
    previousTerminate = std::set_terminate(&terminate);
    on_exit(&noteExit, nullptr);
    for (const FatalSignal& fatal : fatalSignals) {
        struct sigaction present { };
        if (sigaction(fatal.number, nullptr, &present) != 0 || present.sa_handler != SIG_DFL)
            continue;
        struct sigaction action { };
        action.sa_sigaction = &handle;
        // A fault while the stack is read is handled by the same handler.
        action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_NODEFER;
        sigemptyset(&action.sa_mask);
        sigaction(fatal.number, &action, nullptr);
    }
}

ExitGuard::ExitGuard()
{
    ++exitGuards;
}

ExitGuard::~ExitGuard()
{
    --exitGuards;
}

SignalStack::SignalStack(std::string_view thread)
{
    threadName = {};
    std::copy_n(thread.begin(), std::min(thread.size(), threadName.size() - 1), threadName.begin());
    stack_t present {};
    if (sigaltstack(nullptr, &present) != 0 || (present.ss_flags & SS_DISABLE) == 0)
        return;
    void* memory = mmap(nullptr, stackBytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
    if (memory == MAP_FAILED)
        return;
    const stack_t stack { .ss_sp = memory, .ss_flags = 0, .ss_size = stackBytes };
    if (sigaltstack(&stack, nullptr) == 0)
        m_memory = memory;
    else
        munmap(memory, stackBytes);
}

SignalStack::~SignalStack()
{
    if (!m_memory)
        return;
    const stack_t none { .ss_sp = nullptr, .ss_flags = SS_DISABLE, .ss_size = 0 };
    sigaltstack(&none, nullptr);
    munmap(m_memory, stackBytes);
}

}
