// Answers of the administration API in their JSON form, and the typed reading of a request's query.
#pragma once

#include "whinyard/admin/AdminParts.h"
#include "whinyard/net/HttpMessage.h"

#include <nlohmann/json.hpp>

namespace whinyard::admin {

net::HttpResponse jsonResponse(int status, const nlohmann::ordered_json& body);
net::HttpResponse textResponse(int status, std::string_view type, std::string body);
net::HttpResponse failureResponse(const Failure& failure);

nlohmann::ordered_json faultsToJson(const std::vector<config::Fault>& faults);
nlohmann::ordered_json differencesToJson(const std::vector<config::Difference>& differences);

// The place of a configuration in the history, without its document.
nlohmann::ordered_json headToJson(const config::Configuration& configuration);
nlohmann::ordered_json configurationToJson(const config::Configuration& configuration);
nlohmann::ordered_json billToJson(const Bill& bill);

// What became of a tried change.
struct ChangeResult {
    SubmitAnswer answer;
    peer::Acceptance acceptance; // Of a written one, when the operator is answered.

    // Returns accepted, written, invalid or conflict.
    std::string_view outcome() const;
};

// Asks the instances to confirm a written change, and waits for their majority within a bound. A change
// that they don't confirm stays written; it is never reverted.
std::optional<ChangeResult> awaitAcceptance(const std::optional<SubmitAnswer>& answer, ConfirmationSource& confirmations);

nlohmann::ordered_json changeResultToJson(const ChangeResult& result);

// The HTTP status of a tried change's outcome.
int statusOf(const ChangeResult& result);

// One instance as it is shown beside a revision.
struct InstanceRow {
    InstanceStatus status; // Without zone and revision for a listed instance that isn't known to live.
    bool confirms = false;
};

// Which instances confirm a revision.
struct Confirmation {
    peer::Acceptance acceptance;
    std::vector<InstanceRow> rows;

    bool isEverywhere() const { return acceptance.accepted && acceptance.missing.empty(); }
};

// Asks the instances at this moment, as acceptance itself does.
Confirmation confirmationOf(std::uint64_t revision, const AdminParts& parts);

// Returns such as "2 of 3".
std::string countText(const peer::Acceptance& acceptance);
nlohmann::ordered_json confirmationToJson(const Confirmation& confirmation);

// Reads a number of the query; `fallback` where it is absent. Returns nothing, with the reason, for
// anything else than digits.
std::optional<std::uint64_t> queryNumber(const net::HttpRequest& request, std::string_view name, std::optional<std::uint64_t> fallback, Failure& failure);

// Records the result of a tried change in the audit log.
void audit(AuditLog& log, const std::string& action, const Submission& submission, const std::optional<ChangeResult>& result, const Failure& failure);

}
