// The console's pages.
#pragma once

#include "internal/Answers.h"
#include "internal/FormSession.h"
#include "internal/Html.h"

namespace whinyard::admin {

// Whom a page is for.
struct Visitor {
    const Operator& caller;
    std::string token; // Against requests forged by other sites; stands in forms that change something.
};

extern const std::string_view consoleStyle;

// Wraps a page's content with head, navigation and title. `refresh` seconds above 0 load it again.
std::string wrapPage(const Visitor& visitor, const std::string& title, const std::string& content, int refresh = 0);

std::string overviewPage(const Visitor& visitor, const config::Configuration& configuration, const Confirmation& confirmation);

// The list of all parts with the differences so far.
std::string sessionPage(const Visitor& visitor, const FormSession& session, const std::vector<config::Difference>& differences);

// The form of one part. `faults` are shown at their fields.
std::string partPage(const Visitor& visitor, const FormSession& session, const SessionStep& step, const nlohmann::ordered_json& part, const std::vector<config::Fault>& faults);

// Faults, differences and the whole document, with the button that submits it. `notice` stands on top.
std::string reviewPage(const Visitor& visitor, const FormSession& session, const std::vector<config::Difference>& differences, const std::string& notice);

// Both sides of a conflict.
std::string conflictPage(const Visitor& visitor, const FormSession& session, const Conflict& conflict);

std::string statusPage(const Visitor& visitor, const Confirmation& confirmation, bool storeReadable);
std::string historyPage(const Visitor& visitor, const std::vector<config::Configuration>& history);

// One revision beside the one in force, with the button that rolls back to it.
std::string revisionPage(const Visitor& visitor, const config::Configuration& shown, const config::Configuration& current);

// What the trace page was asked, and its answer if there was a question.
std::string tracePage(const Visitor& visitor, const net::HttpRequest& request, const std::optional<TraceReport>& report, const std::string& notice);

std::string billPage(const Visitor& visitor, const Bill& bill);

// A page that only says why something can't be shown.
std::string failurePage(const Visitor& visitor, const Failure& failure);

// Says whether a revision is accepted or only written, and how many instances confirm it.
std::string acceptanceText(const peer::Acceptance& acceptance);

// Writes differences as a table.
void writeDifferences(Html& html, const std::vector<config::Difference>& differences);

}
