// The operators who may use the administration address: names, roles and salted digests of their keys.
//
// The administration API and the console authenticate with it. The operators file is read once at start.
#pragma once

#include "whinyard/base/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::admin {

enum class Role : std::uint8_t {
    view, // Reads everything.
    change, // Changes the configuration as well.
};

struct Operator {
    std::string name;
    Role role = Role::view;
    std::string keySalt; // Hexadecimal.
    std::string keyDigest; // Hexadecimal, as config::keyDigest() gives it.

    bool operator==(const Operator&) const = default;
};

// Reads {"operators": [{"name", "role", "keySalt", "keyDigest"}]} with comments. Every fault is named
// with `file` and its path.
std::optional<std::vector<Operator>> parseOperators(std::string_view text, std::string_view file, Failure& failure);

// Reads the operators file.
std::optional<std::vector<Operator>> loadOperators(const std::string& file, Failure& failure);

// Finds the operator of an Authorization field: "Bearer name:key" (RFC 6750), or Basic (RFC 7617), which
// browsers send. Compares with every operator in constant time. Returns null when it is nobody's.
const Operator* authenticateOperator(const std::vector<Operator>& operators, std::string_view authorization);

}
