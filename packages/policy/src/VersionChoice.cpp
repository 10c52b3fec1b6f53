#include "whinyard/policy/SessionPins.h"

#include "whinyard/config/Gate.h"

#include <algorithm>
#include <array>

namespace whinyard::policy {

namespace {

    using config::Document;
    using config::Version;
    using config::VersionState;

    bool allows(const config::Customer& customer, const VersionName& version)
    {
        return std::find(customer.versions.begin(), customer.versions.end(), version) != customer.versions.end();
    }

    // What one request may be resolved against.
    struct Resolution {
        const Document& document;
        const config::Customer& customer;
        const VersionJudgement& judgement;
        Random& random;

        bool permitted(const VersionName& name) const
        {
            const Version* version = config::findVersion(document, name);
            return version && version->state == VersionState::active && allows(customer, name);
        }

        bool usable(const VersionName& name) const { return permitted(name) && !judgement.isStopped(document, name); }
    };

    // The versions that a name stands for, before stops are looked at.
    struct Named {
        std::vector<VersionName> versions;
        VersionReason reason = VersionReason::onlyVersion;
        double qualityTarget = 0;
    };

    bool modelExists(const Document& document, std::string_view model)
    {
        return std::any_of(document.versions.begin(), document.versions.end(), [&](const Version& version) { return version.model.value == model; });
    }

    double shareOf(const Resolution& resolution, const config::Rollout& rollout)
    {
        switch (rollout.state) {
        case config::RolloutState::running:
            return resolution.judgement.admissibleShare(rollout);
        case config::RolloutState::paused:
        case config::RolloutState::stopped:
            return 0;
        case config::RolloutState::completed:
            return 1;
        }
        return 0;
    }

    std::vector<VersionName> permittedOf(const Resolution& resolution, const ModelName& model)
    {
        std::vector<VersionName> versions;
        for (const Version& version : resolution.document.versions) {
            if (version.model == model && resolution.permitted(version.name))
                versions.push_back(version.name);
        }
        return versions;
    }

    // The first version that isn't stopped; the first of all where every one is.
    const VersionName* firstUsable(const Resolution& resolution, const std::vector<VersionName>& versions)
    {
        const auto found = std::find_if(versions.begin(), versions.end(), [&](const VersionName& version) { return resolution.usable(version); });
        if (found != versions.end())
            return &*found;
        return versions.empty() ? nullptr : &versions.front();
    }

    Named byRollout(const Resolution& resolution, const config::Rollout& rollout, std::vector<VersionName> others)
    {
        const bool drawsNew = uniform(resolution.random) < shareOf(resolution, rollout);
        std::vector<VersionName> order = drawsNew ? std::vector { rollout.to, rollout.from } : std::vector { rollout.from, rollout.to };
        std::erase_if(order, [&](const VersionName& version) { return !resolution.permitted(version); });
        std::erase_if(others, [&](const VersionName& version) { return version == rollout.to || version == rollout.from; });
        order.insert(order.end(), others.begin(), others.end());
        Named named;
        if (const VersionName* chosen = firstUsable(resolution, order)) {
            named.reason = *chosen == rollout.to ? VersionReason::rolloutNew : VersionReason::rolloutOld;
            named.versions = { *chosen };
        }
        return named;
    }

    Named byModel(const Resolution& resolution, const ModelName& model)
    {
        auto versions = permittedOf(resolution, model);
        const config::Rollout* rollout = config::findRollout(resolution.document, model);
        if (rollout)
            return byRollout(resolution, *rollout, std::move(versions));
        Named named;
        if (const VersionName* chosen = firstUsable(resolution, versions))
            named.versions = { *chosen };
        return named;
    }

    // Leaves the versions that aren't stopped, or all where every one is.
    void dropStopped(const Resolution& resolution, std::vector<VersionName>& versions)
    {
        if (std::any_of(versions.begin(), versions.end(), [&](const VersionName& version) { return resolution.usable(version); }))
            std::erase_if(versions, [&](const VersionName& version) { return !resolution.usable(version); });
    }

    // A step that is the old version of a roll-out stands for its model: the roll-out decides which version takes it.
    VersionName stepVersion(const Resolution& resolution, const VersionName& step)
    {
        const Version* version = config::findVersion(resolution.document, step);
        const config::Rollout* rollout = version ? config::findRollout(resolution.document, version->model) : nullptr;
        if (!rollout || rollout->from != step)
            return step;
        const Named named = byRollout(resolution, *rollout, {});
        return named.versions.empty() ? step : named.versions.front();
    }

    Named byCascade(const Resolution& resolution, const config::Cascade& cascade)
    {
        Named named { {}, VersionReason::cascade, cascade.qualityTarget };
        for (const VersionName& step : cascade.steps) {
            const VersionName version = stepVersion(resolution, step);
            const bool repeated = std::find(named.versions.begin(), named.versions.end(), version) != named.versions.end();
            if (!repeated && resolution.permitted(version))
                named.versions.push_back(version);
        }
        dropStopped(resolution, named.versions);
        return named;
    }

    double costOf(const Document& document, const VersionName& name)
    {
        const Version* version = config::findVersion(document, name);
        return version ? version->costPerThousandTokens : 0;
    }

    Named byAutomaticChoice(const Resolution& resolution)
    {
        std::vector<ModelName> models;
        for (const Version& version : resolution.document.versions) {
            if (std::find(models.begin(), models.end(), version.model) == models.end())
                models.push_back(version.model);
        }
        Named named { {}, VersionReason::cascade, automaticQualityTarget };
        for (const ModelName& model : models) {
            const Named one = byModel(resolution, model);
            named.versions.insert(named.versions.end(), one.versions.begin(), one.versions.end());
        }
        dropStopped(resolution, named.versions);
        std::stable_sort(named.versions.begin(), named.versions.end(), [&](const VersionName& a, const VersionName& b) { return costOf(resolution.document, a) < costOf(resolution.document, b); });
        return named;
    }

    std::optional<Named> byName(const Resolution& resolution, std::string_view requested)
    {
        if (const config::Cascade* cascade = config::findCascade(resolution.document, CascadeName { std::string(requested) }))
            return byCascade(resolution, *cascade);
        if (requested == automaticModel)
            return byAutomaticChoice(resolution);
        if (modelExists(resolution.document, requested))
            return byModel(resolution, ModelName { std::string(requested) });
        return std::nullopt;
    }

    std::optional<TrialGuard> guardFor(const Resolution& resolution, const std::vector<VersionName>& candidates)
    {
        for (const config::Rollout& rollout : resolution.document.rollouts) {
            const bool isCandidate = std::find(candidates.begin(), candidates.end(), rollout.to) != candidates.end();
            if (isCandidate && resolution.judgement.isOnTrial(rollout) && resolution.usable(rollout.from))
                return TrialGuard { rollout.to, rollout.from };
        }
        return std::nullopt;
    }

    std::optional<VersionChoice> namedVersion(const config::Configuration& configuration, const config::Customer& customer, const Version& version, Failure& failure)
    {
        if (!config::permitsVersion(configuration, customer.name, version.name, failure))
            return std::nullopt;
        VersionChoice choice;
        choice.candidates = { version.name };
        return choice;
    }

}

std::string_view toText(VersionReason reason)
{
    static constexpr std::array<std::string_view, 8> names { "named", "onlyVersion", "rolloutOld", "rolloutNew", "cascade", "kept", "movedWithdrawn", "movedStopped" };
    return names[static_cast<std::size_t>(reason)];
}

std::optional<VersionChoice> resolveVersion(const config::Configuration& configuration, const config::Customer& customer, std::string_view requested, const Session* session, const VersionJudgement& judgement, Random& random, Failure& failure)
{
    const Document& document = configuration.document;
    if (const Version* version = config::findVersion(document, VersionName { std::string(requested) }))
        return namedVersion(configuration, customer, *version, failure);

    const CascadeName cascade { std::string(requested) };
    if (config::findCascade(document, cascade) && !config::permitsCascade(configuration, customer.name, cascade, failure))
        return std::nullopt;

    Resolution resolution { document, customer, judgement, random };
    const VersionName* pinned = session ? session->pinned(requested) : nullptr;
    if (pinned && resolution.usable(*pinned))
        return VersionChoice { { *pinned }, VersionReason::kept, std::nullopt, 0, std::nullopt, true };

    const auto named = byName(resolution, requested);
    if (!named) {
        failure = { ErrorKind::unknownModel, "No version, model or cascade is named \"" + std::string(requested) + "\"." };
        return std::nullopt;
    }
    if (named->versions.empty()) {
        failure = { ErrorKind::versionNotAllowed, "No version behind \"" + std::string(requested) + "\" is allowed to this customer and in use." };
        return std::nullopt;
    }
    VersionChoice choice { named->versions, named->reason, std::nullopt, named->qualityTarget, guardFor(resolution, named->versions), true };
    if (!pinned)
        return choice;
    if (std::find(choice.candidates.begin(), choice.candidates.end(), *pinned) != choice.candidates.end())
        return VersionChoice { { *pinned }, VersionReason::kept, std::nullopt, 0, std::nullopt, true }; // Every permitted version is stopped.
    choice.movedFrom = *pinned;
    choice.reason = resolution.permitted(*pinned) ? VersionReason::movedStopped : VersionReason::movedWithdrawn;
    return choice;
}

}
