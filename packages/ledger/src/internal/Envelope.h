// The first line of every record of this package: a format name and the SHA-256 of the rest. A
// record that doesn't begin so, or whose digest differs, is foreign or corrupt and is never trusted.
#pragma once

#include "whinyard/base/Error.h"

#include <optional>
#include <string>
#include <string_view>

namespace whinyard::ledger {

// Returns "<format> <digest of body>\n<body>".
std::string wrapRecord(std::string_view format, std::string_view body);

// Returns the body of what wrapRecord() made; corruptRecord for anything else.
std::optional<std::string_view> unwrapRecord(std::string_view format, std::string_view text, Failure& failure);

// Cuts the next line, without its end, off the front of `text`.
std::string_view nextLine(std::string_view& text);

}
