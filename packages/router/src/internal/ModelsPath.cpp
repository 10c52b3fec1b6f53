#include "internal/ModelsPath.h"

#include "internal/Answer.h"
#include "whinyard/config/Gate.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace whinyard::router {

namespace {

    // Collects "auto", the models and versions that the customer may use, and its cascades with at least one such step.
    std::set<std::string> usableNames(const config::Configuration& configuration, const config::Customer& customer)
    {
        std::set<std::string> names;
        Failure failure;
        for (const config::Version& version : configuration.document.versions) {
            if (!config::permitsVersion(configuration, customer.name, version.name, failure))
                continue;
            names.insert(version.name.value);
            names.insert(version.model.value);
        }
        for (const config::Cascade& cascade : configuration.document.cascades) {
            const bool hasStep = std::any_of(cascade.steps.begin(), cascade.steps.end(), [&](const VersionName& step) { return names.contains(step.value); });
            if (hasStep && config::permitsCascade(configuration, customer.name, cascade.name, failure))
                names.insert(cascade.name.value);
        }
        if (!names.empty())
            names.emplace(policy::automaticModel);
        return names;
    }

}

void answerModels(RequestContext& context, const config::Customer& customer, net::HttpResponder& responder)
{
    nlohmann::ordered_json body;
    body["object"] = "list";
    body["data"] = nlohmann::ordered_json::array();
    for (const std::string& name : usableNames(*context.configuration, customer))
        body["data"].push_back({ { "id", name }, { "object", "model" }, { "owned_by", "whinyard" } });
    sendJson(responder, answerFields(context), body.dump());
}

}
