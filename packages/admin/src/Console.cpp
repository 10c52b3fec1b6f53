#include "whinyard/admin/Console.h"

#include "whinyard/base/Encoding.h"

#include "internal/Pages.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace whinyard::admin {

using nlohmann::ordered_json;

namespace {

    constexpr std::string_view stylePath = "/console/style.css";
    constexpr std::size_t secretBytes = 32;
    constexpr std::size_t historyLength = 50;
    constexpr std::size_t longestSummary = 500;

    std::string newSecret()
    {
        std::string secret(secretBytes, '\0');
        RAND_bytes(reinterpret_cast<unsigned char*>(secret.data()), static_cast<int>(secret.size()));
        return secret;
    }

    net::HttpResponse pageResponse(std::string page, int status = 200)
    {
        net::HttpResponse response = textResponse(status, "text/html; charset=utf-8", std::move(page));
        response.fields.push_back({ "Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'" });
        response.fields.push_back({ "X-Content-Type-Options", "nosniff" });
        response.fields.push_back({ "Referrer-Policy", "no-referrer" });
        return response;
    }

    net::HttpResponse redirect(const std::string& target)
    {
        constexpr int seeOther = 303;
        net::HttpResponse response = textResponse(seeOther, "text/plain", "see " + target + "\n");
        response.fields.push_back({ "Location", target });
        return response;
    }

    std::string cleaned(std::string text)
    {
        std::erase_if(text, [](unsigned char character) { return character < 0x20 || character == 0x7F; });
        return text.substr(0, longestSummary);
    }

    // Returns the differences of a session from its base; nothing of the base is known when it can't be read.
    std::vector<config::Difference> differencesOf(ConfigurationRepository& repository, const FormSession& session)
    {
        Failure failure;
        std::optional<config::Configuration> base;
        if (session.basedOn == 0)
            base.emplace();
        else
            base = repository.at(session.basedOn, failure);
        return base ? config::diff(base->document, documentOf(session)) : std::vector<config::Difference>();
    }

    // Takes a submitted part into the session. With faults the session stays, and the form is shown again.
    std::optional<net::HttpResponse> savePart(const Visitor& visitor, const FormData& form, FormSession& session, const SessionStep& step)
    {
        ordered_json changed = session.document;
        ordered_json& parts = partsOf(changed, *step.section);
        const bool isNew = step.index == parts.size();
        const ordered_json part = readPart(*step.section, form, isNew ? ordered_json::object() : parts[step.index]);
        parts[step.index] = part;
        std::vector<config::Fault> faults;
        if (!config::parseDocument(changed.dump(), faults))
            return pageResponse(partPage(visitor, session, step, part, faults), answerFor(ErrorKind::invalidConfiguration).httpStatus);
        session.document = std::move(changed);
        return std::nullopt;
    }

    // Carries out a step on one part. Returns the part's form where it is to be shown next.
    std::optional<net::HttpResponse> changePart(const Visitor& visitor, const FormData& form, FormSession& session, SessionStep step)
    {
        ordered_json& parts = partsOf(session.document, *step.section);
        step.index = step.verb == "add" ? parts.size() : std::min(step.index, parts.size());
        const bool isPresent = step.index < parts.size();
        if (step.verb == "save")
            return savePart(visitor, form, session, step);
        if (step.verb == "add" || (step.verb == "edit" && isPresent))
            return pageResponse(partPage(visitor, session, step, isPresent ? parts[step.index] : newPart(*step.section), {}));
        if (step.verb == "remove" && isPresent)
            parts.erase(step.index);
        if (step.verb == "withdraw" && isPresent && parts[step.index].contains("state"))
            parts[step.index]["state"] = "withdrawn";
        return std::nullopt;
    }

}

Console::Console(AdminParts parts, std::vector<Operator> operators)
    : m_parts(parts)
    , m_operators(std::move(operators))
    , m_secret(newSecret())
{
}

bool Console::owns(std::string_view path)
{
    return path == "/" || path == "/console" || path.starts_with("/console/");
}

const Console::Route* Console::findRoute(const net::HttpRequest& request)
{
    static constexpr Route routes[] = {
        { "GET", "/console", Role::view, &Console::overview },
        { "GET", "/console/session", Role::change, &Console::newSession },
        { "POST", "/console/session", Role::change, &Console::editSession },
        { "POST", "/console/submit", Role::change, &Console::submit },
        { "GET", "/console/status", Role::view, &Console::status },
        { "GET", "/console/history", Role::view, &Console::history },
        { "GET", "/console/revision", Role::view, &Console::revision },
        { "GET", "/console/trace", Role::view, &Console::trace },
        { "GET", "/console/bill", Role::view, &Console::bill },
    };
    for (const Route& route : routes) {
        if (route.method == request.method && route.path == net::pathOf(request.target))
            return &route;
    }
    return nullptr;
}

net::HttpResponse Console::answer(const net::HttpRequest& request)
{
    if (net::pathOf(request.target) == "/")
        return redirect("/console");
    if (net::pathOf(request.target) == stylePath)
        return textResponse(200, "text/css", std::string(consoleStyle));
    const Operator* caller = authenticateOperator(m_operators, net::fieldValue(request.fields, "Authorization"));
    if (!caller)
        return failureResponse({ ErrorKind::unauthenticated, "an operator's name and key are required" });
    const Route* route = findRoute(request);
    Failure failure { ErrorKind::unknownRoute, "There is no such page." };
    if (route && route->role == Role::change && caller->role != Role::change)
        failure = { ErrorKind::forbidden, "Operator " + caller->name + " may view, and not change." };
    else if (route)
        return (this->*route->handler)(request, *caller);
    return pageResponse(failurePage({ *caller, "" }, failure), answerFor(failure.kind).httpStatus);
}

// A token that another site can't know: its forms would carry the browser's credentials, but not this.
std::string Console::tokenOf(const Operator& caller) const
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int length = 0;
    HMAC(EVP_sha256(), m_secret.data(), static_cast<int>(m_secret.size()), reinterpret_cast<const unsigned char*>(caller.name.data()), caller.name.size(), digest, &length);
    return toHex({ reinterpret_cast<const char*>(digest), length });
}

net::HttpResponse Console::overview(const net::HttpRequest&, const Operator& caller)
{
    Failure failure;
    const auto current = m_parts.repository.current(failure);
    if (!current)
        return pageResponse(failurePage({ caller, "" }, failure), answerFor(failure.kind).httpStatus);
    return pageResponse(overviewPage({ caller, "" }, *current, confirmationOf(current->revision, m_parts)));
}

net::HttpResponse Console::newSession(const net::HttpRequest&, const Operator& caller)
{
    Failure failure;
    const auto current = m_parts.repository.current(failure);
    if (!current)
        return pageResponse(failurePage({ caller, "" }, failure), answerFor(failure.kind).httpStatus);
    return pageResponse(sessionPage({ caller, tokenOf(caller) }, beginSession(*current), {}));
}

net::HttpResponse Console::editSession(const net::HttpRequest& request, const Operator& caller)
{
    const FormData form(request.body);
    const Visitor visitor { caller, tokenOf(caller) };
    Failure failure { ErrorKind::malformedRequest, "The form holds no known step." };
    auto session = readSession(form, failure);
    const auto step = parseStep(form.value("do"));
    if (!session || !step)
        return pageResponse(failurePage(visitor, failure), answerFor(failure.kind).httpStatus);
    if (step->verb == "review")
        return pageResponse(reviewPage(visitor, *session, differencesOf(m_parts.repository, *session), ""));
    if (step->section) {
        if (const auto page = changePart(visitor, form, *session, *step))
            return *page;
    }
    return pageResponse(sessionPage(visitor, *session, differencesOf(m_parts.repository, *session)));
}

net::HttpResponse Console::submit(const net::HttpRequest& request, const Operator& caller)
{
    const FormData form(request.body);
    const Visitor visitor { caller, tokenOf(caller) };
    Failure failure;
    const auto session = readSession(form, failure);
    if (!session)
        return pageResponse(failurePage(visitor, failure), answerFor(failure.kind).httpStatus);
    const std::string token = form.value("token");
    if (token.size() != visitor.token.size() || CRYPTO_memcmp(token.data(), visitor.token.data(), token.size()) != 0)
        return pageResponse(reviewPage(visitor, *session, differencesOf(m_parts.repository, *session), "This form came from another process or site, so nothing was submitted. Look at the change once more and submit it here."), answerFor(ErrorKind::forbidden).httpStatus);
    const Submission submission { session->submission, caller.name, cleaned(session->summary), session->basedOn, documentOf(*session) };
    const auto result = awaitAcceptance(m_parts.repository.submit(submission, failure), m_parts.confirmations);
    audit(m_parts.audit, "submit", submission, result, failure);
    if (!result)
        return pageResponse(failurePage(visitor, failure), answerFor(failure.kind).httpStatus);
    const SubmitAnswer& answer = result->answer;
    if (answer.outcome == SubmitOutcome::written)
        return redirect("/console/status?revision=" + std::to_string(answer.revision));
    if (answer.outcome == SubmitOutcome::conflict)
        return pageResponse(conflictPage(visitor, *session, answer.conflict), statusOf(*result));
    return pageResponse(reviewPage(visitor, *session, differencesOf(m_parts.repository, *session), ""), statusOf(*result));
}

net::HttpResponse Console::status(const net::HttpRequest& request, const Operator& caller)
{
    Failure failure;
    const auto asked = queryNumber(request, "revision", 0, failure);
    if (!asked)
        return pageResponse(failurePage({ caller, "" }, failure), answerFor(failure.kind).httpStatus);
    const auto current = m_parts.repository.current(failure);
    std::uint64_t revision = std::max(*asked, current ? current->revision : 0);
    if (!current) {
        for (const InstanceStatus& instance : m_parts.fleet.instances())
            revision = std::max(revision, instance.revision);
    }
    return pageResponse(statusPage({ caller, "" }, confirmationOf(revision, m_parts), current.has_value()));
}

net::HttpResponse Console::history(const net::HttpRequest&, const Operator& caller)
{
    Failure failure;
    const auto found = m_parts.repository.history(historyLength, failure);
    if (!found)
        return pageResponse(failurePage({ caller, "" }, failure), answerFor(failure.kind).httpStatus);
    return pageResponse(historyPage({ caller, "" }, *found));
}

net::HttpResponse Console::revision(const net::HttpRequest& request, const Operator& caller)
{
    const Visitor visitor { caller, tokenOf(caller) };
    Failure failure;
    const auto number = queryNumber(request, "number", std::nullopt, failure);
    const auto shown = number ? m_parts.repository.at(*number, failure) : std::nullopt;
    const auto current = shown ? m_parts.repository.current(failure) : std::nullopt;
    if (!current)
        return pageResponse(failurePage(visitor, failure), answerFor(failure.kind).httpStatus);
    return pageResponse(revisionPage(visitor, *shown, *current));
}

net::HttpResponse Console::trace(const net::HttpRequest& request, const Operator& caller)
{
    const Visitor visitor { caller, "" };
    const std::string identity = net::queryValue(request.target, "request");
    TraceQuestion question;
    question.request = parseRequestId(identity).value_or(RequestId());
    question.key = net::queryValue(request.target, "key");
    question.customer.value = net::queryValue(request.target, "customer");
    question.service.value = net::queryValue(request.target, "service");
    question.session.value = net::queryValue(request.target, "session");
    const bool byKey = !question.key.empty() && !question.customer.empty() && !question.service.empty();
    std::string notice;
    if (!identity.empty() && question.request.empty())
        notice = "A request identity has 32 hexadecimal digits.";
    else if (!question.key.empty() && !byKey)
        notice = "A key needs its customer and its plain service.";
    if (!notice.empty() || (question.request.empty() && !byKey && question.session.empty()))
        return pageResponse(tracePage(visitor, request, std::nullopt, notice));
    Failure failure;
    const auto material = m_parts.traces.find(question, failure);
    if (!material)
        return pageResponse(failurePage(visitor, failure), answerFor(failure.kind).httpStatus);
    return pageResponse(tracePage(visitor, request, makeTraceReport(*material), ""));
}

net::HttpResponse Console::bill(const net::HttpRequest&, const Operator& caller)
{
    Failure failure;
    const auto sum = m_parts.bills.bill({}, failure);
    if (!sum)
        return pageResponse(failurePage({ caller, "" }, failure), answerFor(failure.kind).httpStatus);
    return pageResponse(billPage({ caller, "" }, *sum));
}

}
