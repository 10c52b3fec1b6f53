// The forms of the document's parts: which fields a part has, how they are shown and read.
//
// One table describes them all; the strict parser of the document judges what was entered.
#pragma once

#include "internal/FormData.h"
#include "internal/Html.h"
#include "whinyard/config/Document.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::admin {

enum class FieldKind : std::uint8_t {
    text,
    number, // Written as a JSON number where it is one.
    choice,
    yesNo,
    names, // Any of the names of another section, as check boxes.
    orderedNames, // Names of another section in an order, as selects.
    oneName, // One name of another section, or one model.
    key, // A customer's key: kept as a salted digest, never shown.
};

struct PartField {
    std::string_view key;
    std::string_view label;
    std::string_view hint;
    FieldKind kind = FieldKind::text;
    std::string_view from; // Where names come from: a section, "models", or choices split by spaces.
    std::string_view initial; // Of a new part.
};

struct PartSection {
    std::string_view key; // In the document's JSON.
    std::string_view title;
    std::string_view singular;
    std::string_view nameKey; // Of the field that names a part.
    std::vector<PartField> fields;
};

// All sections in the order in which the console shows them.
const std::vector<PartSection>& partSections();

// Returns the section of this key, or null.
const PartSection* findSection(std::string_view key);

// Writes the labelled fields of a part. `faults` are those below the part's path, which is `path`.
void writeFields(Html& html, const PartSection& section, const nlohmann::ordered_json& part, const nlohmann::ordered_json& document, const std::vector<config::Fault>& faults, const std::string& path);

// Reads a part out of a submitted form. `before` gives what the form doesn't hold: the digest of a
// key that is kept.
nlohmann::ordered_json readPart(const PartSection& section, const FormData& form, const nlohmann::ordered_json& before);

// Returns a part with the initial values of its fields.
nlohmann::ordered_json newPart(const PartSection& section);

// Returns a value of a part as a table shows it.
std::string shownValue(const PartField& field, const nlohmann::ordered_json& part);

}
