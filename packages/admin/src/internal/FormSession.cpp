#include "internal/FormSession.h"

#include "whinyard/base/Encoding.h"

#include <charconv>

namespace whinyard::admin {

namespace {

    using nlohmann::ordered_json;

    constexpr std::size_t identityBytes = 16;

    std::optional<std::uint64_t> numberIn(std::string_view text)
    {
        std::uint64_t number = 0;
        const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
        if (result.ec != std::errc() || result.ptr != text.data() + text.size())
            return std::nullopt;
        return number;
    }

}

FormSession beginSession(const config::Configuration& configuration)
{
    return { ordered_json::parse(config::toJson(configuration.document)), configuration.revision, randomHex(identityBytes), "" };
}

std::optional<FormSession> readSession(const FormData& form, Failure& failure)
{
    std::vector<config::Fault> faults;
    const auto document = config::parseDocument(form.value("document"), faults);
    const auto basedOn = numberIn(form.value("basedOn"));
    const std::string submission = form.value("submission");
    if (document && basedOn && !submission.empty())
        return FormSession { ordered_json::parse(config::toJson(*document)), *basedOn, submission, form.value("summary") };
    failure = { ErrorKind::malformedRequest, "The form doesn't hold a session's document." };
    return std::nullopt;
}

std::optional<SessionStep> parseStep(std::string_view text)
{
    const auto nextWord = [&] {
        const std::string_view word = text.substr(0, text.find(' '));
        text.remove_prefix(std::min(text.size(), word.size() + 1));
        return word;
    };
    SessionStep step;
    step.verb = nextWord();
    if (step.verb == "list" || step.verb == "review")
        return step;
    step.section = findSection(nextWord());
    const auto index = numberIn(nextWord());
    if (!step.section || (!index && step.verb != "add"))
        return std::nullopt;
    step.index = index.value_or(0);
    return step;
}

ordered_json& partsOf(ordered_json& document, const PartSection& section)
{
    return document.at(std::string(section.key));
}

config::Document documentOf(const FormSession& session)
{
    std::vector<config::Fault> faults;
    return config::parseDocument(session.document.dump(), faults).value_or(config::Document());
}

std::vector<config::Fault> faultsOf(const FormSession& session)
{
    return config::validate(documentOf(session));
}

}
