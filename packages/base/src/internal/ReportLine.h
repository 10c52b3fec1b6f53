// A JSON line of bounded length, put together without allocating or locking, as a signal handler must.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <ctime>
#include <string_view>

namespace whinyard::crash::internal {

class ReportLine {
public:
    // What a pipe takes at once.
    static constexpr std::size_t capacity = 4'096;

    // Appends as it is; what doesn't fit is left out.
    void append(std::string_view text)
    {
        for (const char byte : text)
            append(byte);
    }

    void append(char byte)
    {
        if (m_size < m_bytes.size())
            m_bytes[m_size++] = byte;
    }

    // Appends the content of a JSON string; bytes that would need more than an escaped quote are replaced.
    void appendEscaped(std::string_view text)
    {
        for (const char byte : text) {
            if (byte == '"' || byte == '\\')
                append('\\');
            append(byte >= ' ' && byte <= '~' ? byte : '?');
        }
    }

    void appendNumber(std::uint64_t number, unsigned base = 10, std::size_t width = 1)
    {
        std::array<char, 20> digits {};
        std::size_t count = 0;
        do {
            digits[count++] = "0123456789abcdef"[number % base];
            number /= base;
        } while (number > 0);
        for (std::size_t i = count; i < width; ++i)
            append('0');
        while (count > 0)
            append(digits[--count]);
    }

    void appendAddress(std::uintptr_t address)
    {
        append("0x");
        appendNumber(address, 16);
    }

    // Appends a time as the log writes it. gmtime_r() may lock.
    void appendTime(const timespec& time)
    {
        constexpr std::int64_t daySeconds = 86'400;
        const std::int64_t second = time.tv_sec % daySeconds;
        // The civil date of a day number, in years that begin in March.
        const std::int64_t day = time.tv_sec / daySeconds + 719'468;
        const std::int64_t era = day / 146'097;
        const std::int64_t dayOfEra = day % 146'097;
        const std::int64_t yearOfEra = (dayOfEra - dayOfEra / 1'460 + dayOfEra / 36'524 - dayOfEra / 146'096) / 365;
        const std::int64_t dayOfYear = dayOfEra - (365 * yearOfEra + yearOfEra / 4 - yearOfEra / 100);
        const std::int64_t shifted = (5 * dayOfYear + 2) / 153;
        const std::int64_t month = shifted < 10 ? shifted + 3 : shifted - 9;
        appendNumber(static_cast<std::uint64_t>(era * 400 + yearOfEra + (month <= 2 ? 1 : 0)), 10, 4);
        append('-');
        appendNumber(static_cast<std::uint64_t>(month), 10, 2);
        append('-');
        appendNumber(static_cast<std::uint64_t>(dayOfYear - (153 * shifted + 2) / 5 + 1), 10, 2);
        append('T');
        appendNumber(static_cast<std::uint64_t>(second / 3'600), 10, 2);
        append(':');
        appendNumber(static_cast<std::uint64_t>(second / 60 % 60), 10, 2);
        append(':');
        appendNumber(static_cast<std::uint64_t>(second % 60), 10, 2);
        append('.');
        appendNumber(static_cast<std::uint64_t>(time.tv_nsec / 1'000), 10, 6);
        append('Z');
    }

    std::size_t room() const { return m_bytes.size() - m_size; }
    std::string_view text() const { return { m_bytes.data(), m_size }; }

private:
    std::array<char, capacity> m_bytes {};
    std::size_t m_size = 0;
};

}
