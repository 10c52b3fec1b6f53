// The differences between two documents, named as an operator names the parts.
//
// The administration API, the console and the command line show them before a submission and at a conflict.
#pragma once

#include "whinyard/config/Document.h"

#include <cstdint>
#include <string>
#include <vector>

namespace whinyard::config {

enum class Change : std::uint8_t {
    added,
    removed,
    changed,
};

// One difference. Parts are matched by their names, so that a path such as
// "/customers/school/versions" means the same on both sides although positions differ.
struct Difference {
    Change change = Change::changed;
    std::string path;
    std::string before; // Empty for added.
    std::string after; // Empty for removed.

    bool operator==(const Difference&) const = default;
};

// Returns what changes from `before` to `after`, in the order of the document's parts. Digests and
// salts of keys are shown as "(set)".
std::vector<Difference> diff(const Document& before, const Document& after);

// Returns the text form of `change`.
std::string_view toText(Change change);

// Writes a difference as one line for a person.
std::string toText(const Difference& difference);

}
