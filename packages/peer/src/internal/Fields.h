// Fields of messages between instances, written one after another and read back.
#pragma once

#include "whinyard/backing/InstanceList.h"
#include "whinyard/base/Revision.h"

#include <cereal/archives/portable_binary.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace whinyard::peer::internal {

// Writes fields one after another.
class FieldWriter {
public:
    void number(std::uint64_t value) { m_archive(value); }

    void revision(const Revision& value)
    {
        number(value.era);
        number(value.number);
    }

    void text(const std::string& value)
    {
        m_archive(static_cast<std::uint16_t>(value.size()));
        m_archive(cereal::binary_data(value.data(), value.size()));
    }

    // Writes bytes that FieldReader::bytes() reads.
    void bytes(const std::string& value)
    {
        number(value.size());
        m_archive(cereal::binary_data(value.data(), value.size()));
    }

    std::string take() { return std::move(m_stream).str(); }

private:
    std::ostringstream m_stream;
    cereal::PortableBinaryOutputArchive m_archive { m_stream };
};

// Reads them back. Lengths are checked before anything is reserved; a fault makes every further field empty.
class FieldReader {
public:
    static constexpr std::size_t longestText = 1'024;

    explicit FieldReader(std::string_view bytes)
        : m_stream(std::string(bytes))
    {
        // The archive reads its first byte at once.
        guarded([this] { m_archive.emplace(m_stream); });
    }

    std::uint64_t number(std::uint64_t most = std::numeric_limits<std::uint64_t>::max())
    {
        std::uint64_t value = 0;
        guarded([&] { (*m_archive)(value); });
        if (value > most)
            m_failed = true;
        return m_failed ? 0 : value;
    }

    Revision revision()
    {
        const std::uint64_t era = number();
        return { era, number() };
    }

    std::string text()
    {
        std::uint16_t size = 0;
        guarded([&] { m_archive->operator()(size); });
        m_failed = m_failed || size > longestText;
        std::string value(m_failed ? 0 : size, '\0');
        guarded([&] { (*m_archive)(cereal::binary_data(value.data(), value.size())); });
        return m_failed ? std::string() : value;
    }

    std::string bytes(std::uint64_t most)
    {
        std::string value(number(most), '\0');
        guarded([&] { (*m_archive)(cereal::binary_data(value.data(), value.size())); });
        return m_failed ? std::string() : value;
    }

    bool hasFailed() const { return m_failed; }

    // Returns whether all was read, and nothing is left.
    bool isWhole() { return !m_failed && m_stream.peek() == std::istringstream::traits_type::eof(); }

private:
    template <typename Read>
    void guarded(Read read)
    {
        if (m_failed)
            return;
        try {
            read();
        } catch (const cereal::Exception&) {
            m_failed = true;
        }
    }

    std::istringstream m_stream;
    std::optional<cereal::PortableBinaryInputArchive> m_archive;
    bool m_failed = false;
};

void writeEndpoint(FieldWriter& writer, const backing::ListedEndpoint& endpoint);

// Returns nothing when what comes is no endpoint.
std::optional<backing::ListedEndpoint> readEndpoint(FieldReader& reader);

}
