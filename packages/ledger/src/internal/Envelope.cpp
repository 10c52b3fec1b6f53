#include "internal/Envelope.h"

#include "whinyard/base/Encoding.h"

namespace whinyard::ledger {

std::string wrapRecord(std::string_view format, std::string_view body)
{
    std::string text(format);
    text += ' ';
    text += sha256Hex(body);
    text += '\n';
    text += body;
    return text;
}

std::optional<std::string_view> unwrapRecord(std::string_view format, std::string_view text, Failure& failure)
{
    const std::string_view first = nextLine(text);
    const std::size_t space = first.find(' ');
    if (first.substr(0, space) != format) {
        failure = { .kind = ErrorKind::corruptRecord, .reason = "the record isn't of the format " + std::string(format) };
        return std::nullopt;
    }
    if (space == std::string_view::npos || first.substr(space + 1) != sha256Hex(text)) {
        failure = { .kind = ErrorKind::corruptRecord, .reason = "the record's digest doesn't match its content" };
        return std::nullopt;
    }
    return text;
}

std::string_view nextLine(std::string_view& text)
{
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    return line;
}

}
