// One form session: the document as it is being changed, and what the operator asked for next.
#pragma once

#include "internal/FormData.h"
#include "internal/PartForms.h"

#include <cstdint>
#include <optional>
#include <string>

namespace whinyard::admin {

// What travels in every form of a session.
struct FormSession {
    nlohmann::ordered_json document; // Always one that the document's parser accepts.
    std::uint64_t basedOn = 0;
    std::string submission; // Its identity.
    std::string summary;
};

// Begins a session on a configuration, with a new identity.
FormSession beginSession(const config::Configuration& configuration);

// Reads a session out of a submitted form. Returns nothing, with the reason, for a form that this
// console didn't make.
std::optional<FormSession> readSession(const FormData& form, Failure& failure);

// What a button asks for: "edit customers 3", "add versions", "remove rollouts 0", "withdraw versions 1",
// "save customers 3", "list" or "review".
struct SessionStep {
    std::string verb;
    const PartSection* section = nullptr; // Null for list and review.
    std::size_t index = 0; // Beyond the last part: a new one.
};

std::optional<SessionStep> parseStep(std::string_view text);

// Returns the parts of a section.
nlohmann::ordered_json& partsOf(nlohmann::ordered_json& document, const PartSection& section);

config::Document documentOf(const FormSession& session);

// Returns the faults that keep the session's document from being submitted.
std::vector<config::Fault> faultsOf(const FormSession& session);

}
