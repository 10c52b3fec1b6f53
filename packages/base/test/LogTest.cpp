#include "whinyard/base/Log.h"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <thread>
#include <unistd.h>

namespace whinyard::log {
namespace {

    using namespace std::chrono_literals;

    // Puts a pipe in the place of standard output for as long as it lives.
    class PipedOutput {
    public:
        PipedOutput()
        {
            EXPECT_EQ(pipe(m_ends.data()), 0);
            fflush(stdout);
            m_saved = dup(STDOUT_FILENO);
            dup2(m_ends[1], STDOUT_FILENO);
        }

        ~PipedOutput()
        {
            fflush(stdout);
            dup2(m_saved, STDOUT_FILENO);
            close(m_saved);
            close(m_ends[1]);
            if (m_reader.joinable())
                m_reader.join();
            close(m_ends[0]);
        }

        // Reads until the other end is closed.
        void startReading()
        {
            m_reader = std::thread([this] {
                std::array<char, 4096> buffer {};
                for (ssize_t count = 0; (count = read(m_ends[0], buffer.data(), buffer.size())) > 0;)
                    m_bytes += static_cast<std::size_t>(count);
            });
        }

        std::size_t bytes() const { return m_bytes; }

    private:
        std::array<int, 2> m_ends {};
        int m_saved = -1;
        std::thread m_reader;
        std::atomic<std::size_t> m_bytes = 0;
    };

    TEST(LogTest, StopsInTimeWhereNobodyReads)
    {
        constexpr std::size_t lines = 2'000;
        constexpr std::size_t lineBytes = 200; // Together many times what a pipe holds.
        PipedOutput output;
        start("test", "info");
        for (std::size_t i = 0; i < lines; ++i)
            info(std::string(lineBytes, 'x'));
        EXPECT_FALSE(stop(100ms));
        output.startReading();
        EXPECT_TRUE(stop(10s)) << "and writes the lines out once they are read";
        EXPECT_GT(output.bytes(), 0U);
    }

}
}
