#include "whinyard/config/Document.h"

#include "internal/Names.h"

#include <algorithm>

namespace whinyard::config {

namespace {

    using nlohmann::json;
    using nlohmann::ordered_json;
    using settings::JsonObject;
    using settings::Presence;
    using settings::Range;

    constexpr double highestCost = 1'000'000;
    constexpr std::uint64_t highestCallCost = 1'000'000'000;
    constexpr double leastRate = 0.001;
    constexpr double highestRate = 1'000'000;
    constexpr std::uint32_t mostConcurrent = 1'000'000;
    constexpr std::uint8_t lowestPriority = 2;
    constexpr std::uint32_t highestExposure = 1'000'000;
    constexpr std::uint32_t highestTrial = 1'000'000;
    constexpr std::size_t leastSaltDigits = 16;
    constexpr std::size_t mostSaltDigits = 128;
    constexpr std::size_t digestDigits = 64;
    constexpr Range<double> share { 0, 1 };

    Version readVersion(JsonObject& object)
    {
        Version version;
        object.name("name", version.name, Presence::required);
        object.name("model", version.model, Presence::required);
        object.choice("state", version.state, Presence::optional, versionStates);
        object.number("costPerThousandTokens", version.costPerThousandTokens, Presence::required, { 0, highestCost });
        return version;
    }

    Customer readCustomer(JsonObject& object)
    {
        Customer customer;
        object.name("name", customer.name, Presence::required);
        object.hexadecimal("keySalt", customer.keySalt, Presence::required, { leastSaltDigits, mostSaltDigits });
        object.hexadecimal("keyDigest", customer.keyDigest, Presence::required, { digestDigits, digestDigits });
        object.names("versions", customer.versions, Presence::required);
        object.names("services", customer.services, Presence::optional);
        object.names("cascades", customer.cascades, Presence::optional);
        object.number("requestsPerSecond", customer.requestsPerSecond, Presence::optional, { leastRate, highestRate });
        object.integer("concurrentRequests", customer.concurrentRequests, Presence::optional, { 1U, mostConcurrent });
        object.integer("priority", customer.priority, Presence::optional, { std::uint8_t { 0 }, lowestPriority });
        return customer;
    }

    Cascade readCascade(JsonObject& object)
    {
        Cascade cascade;
        object.name("name", cascade.name, Presence::required);
        object.names("steps", cascade.steps, Presence::required);
        object.number("qualityTarget", cascade.qualityTarget, Presence::optional, share);
        return cascade;
    }

    Rollout readRollout(JsonObject& object)
    {
        Rollout rollout;
        object.name("model", rollout.model, Presence::required);
        object.name("from", rollout.from, Presence::required);
        object.name("to", rollout.to, Presence::required);
        object.number("share", rollout.share, Presence::required, share);
        object.choice("state", rollout.state, Presence::optional, rolloutStates);
        object.integer("exposureLimit", rollout.exposureLimit, Presence::optional, { 1U, highestExposure });
        object.number("tolerableBadShare", rollout.tolerableBadShare, Presence::optional, share);
        object.number("unacceptableBadShare", rollout.unacceptableBadShare, Presence::optional, share);
        object.integer("trial", rollout.trial, Presence::optional, { 0U, highestTrial });
        return rollout;
    }

    Service readService(JsonObject& object)
    {
        Service service;
        object.name("name", service.name, Presence::required);
        object.boolean("idempotent", service.idempotent, Presence::required);
        object.integer("costPerCall", service.costPerCall, Presence::optional, { std::uint64_t { 0 }, highestCallCost });
        return service;
    }

    Evacuation readEvacuation(JsonObject& object)
    {
        Evacuation evacuation;
        object.name("name", evacuation.name, Presence::required);
        return evacuation;
    }

    Document readDocument(JsonObject& object)
    {
        Document document;
        object.objects("versions", Presence::required, [&](JsonObject& entry) { document.versions.push_back(readVersion(entry)); });
        object.objects("customers", Presence::required, [&](JsonObject& entry) { document.customers.push_back(readCustomer(entry)); });
        object.objects("cascades", Presence::optional, [&](JsonObject& entry) { document.cascades.push_back(readCascade(entry)); });
        object.objects("rollouts", Presence::optional, [&](JsonObject& entry) { document.rollouts.push_back(readRollout(entry)); });
        object.objects("services", Presence::optional, [&](JsonObject& entry) { document.services.push_back(readService(entry)); });
        object.objects("evacuations", Presence::optional, [&](JsonObject& entry) { document.evacuations.push_back(readEvacuation(entry)); });
        return document;
    }

    template <typename Tag>
    ordered_json namesToJson(const std::vector<Name<Tag>>& names)
    {
        ordered_json list = ordered_json::array();
        for (const auto& name : names)
            list.push_back(name.value);
        return list;
    }

    ordered_json versionToJson(const Version& version)
    {
        return {
            { "name", version.name.value },
            { "model", version.model.value },
            { "state", settings::choiceName(version.state, versionStates) },
            { "costPerThousandTokens", version.costPerThousandTokens },
        };
    }

    ordered_json customerToJson(const Customer& customer)
    {
        return {
            { "name", customer.name.value },
            { "keySalt", customer.keySalt },
            { "keyDigest", customer.keyDigest },
            { "versions", namesToJson(customer.versions) },
            { "services", namesToJson(customer.services) },
            { "cascades", namesToJson(customer.cascades) },
            { "requestsPerSecond", customer.requestsPerSecond },
            { "concurrentRequests", customer.concurrentRequests },
            { "priority", customer.priority },
        };
    }

    ordered_json cascadeToJson(const Cascade& cascade)
    {
        return {
            { "name", cascade.name.value },
            { "steps", namesToJson(cascade.steps) },
            { "qualityTarget", cascade.qualityTarget },
        };
    }

    ordered_json rolloutToJson(const Rollout& rollout)
    {
        return {
            { "model", rollout.model.value },
            { "from", rollout.from.value },
            { "to", rollout.to.value },
            { "share", rollout.share },
            { "state", settings::choiceName(rollout.state, rolloutStates) },
            { "exposureLimit", rollout.exposureLimit },
            { "tolerableBadShare", rollout.tolerableBadShare },
            { "unacceptableBadShare", rollout.unacceptableBadShare },
            { "trial", rollout.trial },
        };
    }

    ordered_json serviceToJson(const Service& service)
    {
        return {
            { "name", service.name.value },
            { "idempotent", service.idempotent },
            { "costPerCall", service.costPerCall },
        };
    }

    ordered_json evacuationToJson(const Evacuation& evacuation)
    {
        return { { "name", evacuation.name.value } };
    }

    template <typename Part, typename Write>
    ordered_json listToJson(const std::vector<Part>& parts, const Write& write)
    {
        ordered_json list = ordered_json::array();
        for (const Part& part : parts)
            list.push_back(write(part));
        return list;
    }

    ordered_json documentToJson(const Document& document)
    {
        return {
            { "versions", listToJson(document.versions, versionToJson) },
            { "customers", listToJson(document.customers, customerToJson) },
            { "cascades", listToJson(document.cascades, cascadeToJson) },
            { "rollouts", listToJson(document.rollouts, rolloutToJson) },
            { "services", listToJson(document.services, serviceToJson) },
            { "evacuations", listToJson(document.evacuations, evacuationToJson) },
        };
    }

    void appendFaults(const std::vector<settings::JsonFault>& from, std::vector<Fault>& to)
    {
        for (const settings::JsonFault& fault : from)
            to.push_back({ fault.path, fault.message });
    }

    AcceptedSubmission readAccepted(JsonObject& object)
    {
        AcceptedSubmission accepted;
        object.text("identity", accepted.identity, Presence::required);
        object.integer("revision", accepted.revision, Presence::required, { std::uint64_t { 1 }, std::numeric_limits<std::uint64_t>::max() });
        object.hexadecimal("digest", accepted.digest, Presence::required, { digestDigits, digestDigits });
        return accepted;
    }

    ordered_json acceptedToJson(const AcceptedSubmission& accepted)
    {
        return { { "identity", accepted.identity }, { "revision", accepted.revision }, { "digest", accepted.digest } };
    }

    Configuration readConfiguration(JsonObject& object)
    {
        constexpr std::uint64_t anyNumber = std::numeric_limits<std::uint64_t>::max();
        Configuration configuration;
        object.integer("revision", configuration.revision, Presence::required, { std::uint64_t { 1 }, anyNumber });
        object.integer("basedOn", configuration.basedOn, Presence::required, { std::uint64_t { 0 }, anyNumber });
        object.text("submission", configuration.submission, Presence::required);
        object.text("author", configuration.author, Presence::required);
        object.text("summary", configuration.summary, Presence::required);
        std::chrono::milliseconds at { 0 };
        object.milliseconds("submittedAtMs", at, Presence::required, { std::chrono::milliseconds(0), std::chrono::hours(24 * 365 * 200) });
        configuration.submittedAt = WallTime(at);
        object.objects("accepted", Presence::required, [&](JsonObject& entry) { configuration.accepted.push_back(readAccepted(entry)); });
        object.object("document", Presence::required, [&](JsonObject& inner) { configuration.document = readDocument(inner); });
        object.finish();
        return configuration;
    }

    template <typename Part, typename PartName, typename Field>
    const Part* findNamed(const std::vector<Part>& parts, const PartName& name, Field field)
    {
        const auto found = std::find_if(parts.begin(), parts.end(), [&](const Part& part) { return part.*field == name; });
        return found == parts.end() ? nullptr : &*found;
    }

}

std::optional<Document> parseDocument(std::string_view json, std::vector<Fault>& faults)
{
    std::vector<settings::JsonFault> found;
    std::optional<Document> document;
    if (const auto value = settings::parseJson(json, found)) {
        JsonObject object(*value, "", found);
        document = readDocument(object);
        object.finish();
    }
    appendFaults(found, faults);
    return found.empty() ? document : std::nullopt;
}

std::string toJson(const Document& document)
{
    return documentToJson(document).dump(2) + "\n";
}

std::string documentDigest(const Document& document)
{
    return keyDigest({}, toJson(document));
}

std::string historyKey(std::uint64_t revision)
{
    constexpr std::size_t digits = 20; // Of the greatest revision, so that keys stand in the order of revisions.
    const std::string number = std::to_string(revision);
    return std::string(historyPrefix) + std::string(digits - number.size(), '0') + number;
}

std::string toRecord(const Configuration& configuration)
{
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(configuration.submittedAt.time_since_epoch());
    const ordered_json record = {
        { "revision", configuration.revision },
        { "basedOn", configuration.basedOn },
        { "submission", configuration.submission },
        { "author", configuration.author },
        { "summary", configuration.summary },
        { "submittedAtMs", at.count() },
        { "accepted", listToJson(configuration.accepted, acceptedToJson) },
        { "document", documentToJson(configuration.document) },
    };
    return record.dump();
}

std::optional<Configuration> parseRecord(std::string_view text, Failure& failure)
{
    std::vector<settings::JsonFault> faults;
    std::optional<Configuration> configuration;
    if (const auto value = settings::parseJson(text, faults)) {
        JsonObject object(*value, "", faults);
        configuration = readConfiguration(object);
    }
    if (faults.empty())
        return configuration;
    failure = { ErrorKind::corruptRecord, "the configuration record can't be read: " + settings::toText({ faults.front() }) };
    return std::nullopt;
}

const Version* findVersion(const Document& document, const VersionName& name)
{
    return findNamed(document.versions, name, &Version::name);
}

const Cascade* findCascade(const Document& document, const CascadeName& name)
{
    return findNamed(document.cascades, name, &Cascade::name);
}

const Service* findService(const Document& document, const ServiceName& name)
{
    return findNamed(document.services, name, &Service::name);
}

const Customer* findCustomer(const Document& document, const CustomerName& name)
{
    return findNamed(document.customers, name, &Customer::name);
}

const Rollout* findRollout(const Document& document, const ModelName& model)
{
    return findNamed(document.rollouts, model, &Rollout::model);
}

}
