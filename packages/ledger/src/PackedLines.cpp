#include "whinyard/ledger/PackedLines.h"

#include "whinyard/base/Compression.h"
#include "whinyard/ledger/UsageLine.h"

namespace whinyard::ledger {

namespace {

    constexpr std::size_t largestMessage = 4 * 1024 * 1024; // Of all lines together, before compression.
    constexpr unsigned groupBits = 7;
    constexpr unsigned char moreGroups = 0x80;

    // The first byte of a line: what it states, and in the highest bits its end.
    enum Form : unsigned char {
        wholeText = 1, // The line as it is, because its fields don't give it back.
        ownIdentity = 2, // The identity isn't that of the request.
        newOrigin = 4, // The request's origin isn't that of the line before.
        ownInnerUnits = 8, // They aren't the billed units.
        severalAttempts = 16, // Not one.
        hasLogical = 32, // The time's logical part isn't zero.
    };
    constexpr unsigned endShift = 6;

    // What a line is written as a difference to.
    struct Previous {
        std::uint64_t number = 0;
        RequestId request;
        std::uint64_t physical = 0;
    };

    // Numbers in groups of seven bits, the lowest first; texts after their length.
    class PackWriter {
    public:
        void number(std::uint64_t value)
        {
            for (; value >= moreGroups; value >>= groupBits)
                m_bytes += static_cast<char>(value | moreGroups);
            m_bytes += static_cast<char>(value);
        }

        // Writes a difference so that a small one of either sign is short.
        void difference(std::uint64_t value, std::uint64_t previous)
        {
            const std::uint64_t delta = value - previous;
            number((delta << 1) ^ (0 - (delta >> 63)));
        }

        void text(std::string_view value)
        {
            number(value.size());
            m_bytes += value;
        }

        const std::string& bytes() const { return m_bytes; }

    private:
        std::string m_bytes;
    };

    class PackReader {
    public:
        explicit PackReader(std::string_view bytes)
            : m_left(bytes)
        {
        }

        std::uint64_t number()
        {
            std::uint64_t value = 0;
            for (unsigned shift = 0; shift < 64; shift += groupBits) {
                if (m_left.empty())
                    break;
                const auto byte = static_cast<unsigned char>(m_left.front());
                m_left.remove_prefix(1);
                value |= std::uint64_t { byte & (moreGroups - 1U) } << shift;
                if (byte < moreGroups)
                    return value;
            }
            return fail();
        }

        // Reads the first byte of a line; one with an unknown end is malformed.
        unsigned form()
        {
            const std::uint64_t form = number();
            return form >> endShift > static_cast<unsigned>(UsageEnd::cut) ? static_cast<unsigned>(fail()) : static_cast<unsigned>(form);
        }

        std::uint64_t difference(std::uint64_t previous)
        {
            const std::uint64_t folded = number();
            return previous + ((folded >> 1) ^ (0 - (folded & 1)));
        }

        std::string text()
        {
            const std::uint64_t size = number();
            if (size > m_left.size())
                return std::string(fail(), ' ');
            std::string value(m_left.substr(0, size));
            m_left.remove_prefix(size);
            return value;
        }

        bool atEnd() const { return m_left.empty(); }
        bool failed() const { return m_failed; }

    private:
        std::uint64_t fail()
        {
            m_failed = true;
            m_left = {};
            return 0;
        }

        std::string_view m_left;
        bool m_failed = false;
    };

    unsigned char formOf(const UsageLine& line, const Previous& previous)
    {
        unsigned form = static_cast<unsigned>(line.end) << endShift;
        form |= line.identity == toText(line.request) ? 0 : ownIdentity;
        form |= line.request.origin == previous.request.origin ? 0 : newOrigin;
        form |= line.innerUnits == line.billedUnits ? 0 : ownInnerUnits;
        form |= line.attempts == 1 ? 0 : severalAttempts;
        form |= line.at.logical == 0 ? 0 : hasLogical;
        return static_cast<unsigned char>(form);
    }

    void writeFields(PackWriter& writer, const UsageLine& line, Previous& previous)
    {
        const unsigned char form = formOf(line, previous);
        const auto physical = static_cast<std::uint64_t>(line.at.physical.count());
        writer.number(form);
        if (form & newOrigin)
            writer.number(line.request.origin);
        writer.difference(line.request.sequence, previous.request.sequence);
        if (form & ownIdentity)
            writer.text(line.identity);
        writer.text(line.customer.value);
        writer.text(line.item);
        writer.number(line.promptTokens);
        writer.number(line.completionTokens);
        writer.number(line.billedUnits);
        if (form & ownInnerUnits)
            writer.number(line.innerUnits);
        if (form & severalAttempts)
            writer.number(line.attempts);
        writer.difference(physical, previous.physical);
        if (form & hasLogical)
            writer.number(line.at.logical);
        previous.request = line.request;
        previous.physical = physical;
    }

    UsageLine readFields(PackReader& reader, unsigned form, Previous& previous)
    {
        UsageLine line;
        line.end = static_cast<UsageEnd>(form >> endShift);
        line.request.origin = form & newOrigin ? reader.number() : previous.request.origin;
        line.request.sequence = reader.difference(previous.request.sequence);
        line.identity = form & ownIdentity ? reader.text() : toText(line.request);
        line.customer.value = reader.text();
        line.item = reader.text();
        line.promptTokens = reader.number();
        line.completionTokens = reader.number();
        line.billedUnits = reader.number();
        line.innerUnits = form & ownInnerUnits ? reader.number() : line.billedUnits;
        line.attempts = form & severalAttempts ? static_cast<std::uint32_t>(reader.number()) : 1;
        previous.physical = reader.difference(previous.physical);
        line.at.physical = std::chrono::microseconds(static_cast<std::int64_t>(previous.physical));
        line.at.logical = form & hasLogical ? static_cast<std::uint32_t>(reader.number()) : 0;
        previous.request = line.request;
        return line;
    }

}

std::string packLines(const std::vector<NumberedLine>& lines)
{
    PackWriter writer;
    Previous previous;
    for (const NumberedLine& line : lines) {
        writer.difference(line.number, previous.number);
        previous.number = line.number;
        const auto parsed = parseUsageLine(line.line);
        if (parsed && toJsonLine(*parsed) == line.line) {
            writeFields(writer, *parsed, previous);
        } else {
            writer.number(wholeText);
            writer.text(line.line);
        }
    }
    return compress(writer.bytes());
}

std::optional<std::vector<NumberedLine>> unpackLines(std::string_view packed, Failure& failure)
{
    const auto bytes = decompress(packed, largestMessage, failure);
    if (!bytes)
        return std::nullopt;
    PackReader reader(*bytes);
    Previous previous;
    std::vector<NumberedLine> lines;
    while (!reader.atEnd()) {
        previous.number = reader.difference(previous.number);
        const unsigned form = reader.form();
        if (form & wholeText)
            lines.push_back({ previous.number, reader.text() });
        else
            lines.push_back({ previous.number, toJsonLine(readFields(reader, form, previous)) });
        if (reader.failed()) {
            failure = { .kind = ErrorKind::corruptRecord, .reason = "packed bill lines are malformed" };
            return std::nullopt;
        }
    }
    return lines;
}

}
