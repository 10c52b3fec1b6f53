#include "whinyard/config/Document.h"

#include <algorithm>
#include <set>

namespace whinyard::config {

namespace {

    // Collects the faults of one document, part by part.
    class Validation {
    public:
        explicit Validation(const Document& document)
            : m_document(document)
        {
        }

        std::vector<Fault> run()
        {
            checkUniqueNames("/versions/", m_document.versions);
            checkUniqueNames("/customers/", m_document.customers);
            checkUniqueNames("/cascades/", m_document.cascades);
            checkUniqueNames("/services/", m_document.services);
            checkUniqueNames("/evacuations/", m_document.evacuations);
            checkVersions();
            checkCascades();
            checkCustomers();
            checkRollouts();
            return std::move(m_faults);
        }

    private:
        void fault(const std::string& path, std::string message) { m_faults.push_back({ path, std::move(message) }); }

        template <typename Part>
        void checkUniqueNames(const std::string& prefix, const std::vector<Part>& parts)
        {
            std::set<std::string> names;
            for (std::size_t index = 0; index < parts.size(); ++index) {
                const std::string& name = parts[index].name.value;
                if (!names.insert(name).second)
                    fault(prefix + std::to_string(index) + "/name", "\"" + name + "\" stands a second time; allowed: once");
            }
        }

        bool isModel(const std::string& name) const
        {
            return std::any_of(m_document.versions.begin(), m_document.versions.end(), [&](const Version& version) { return version.model.value == name; });
        }

        bool isWithdrawn(const VersionName& name) const
        {
            const Version* version = findVersion(m_document, name);
            return version && version->state == VersionState::withdrawn;
        }

        // Callers name versions, models and cascades in one field, so the names must not meet.
        void checkVersions()
        {
            for (std::size_t index = 0; index < m_document.versions.size(); ++index) {
                const std::string& name = m_document.versions[index].name.value;
                const std::string path = "/versions/" + std::to_string(index) + "/name";
                if (isModel(name))
                    fault(path, "\"" + name + "\" is also a model's name; allowed: a name of its own");
                if (findCascade(m_document, { name }))
                    fault(path, "\"" + name + "\" is also a cascade's name; allowed: a name of its own");
            }
        }

        void checkCascades()
        {
            for (std::size_t index = 0; index < m_document.cascades.size(); ++index) {
                const Cascade& cascade = m_document.cascades[index];
                const std::string path = "/cascades/" + std::to_string(index);
                if (isModel(cascade.name.value))
                    fault(path + "/name", "\"" + cascade.name.value + "\" is also a model's name; allowed: a name of its own");
                checkSteps(cascade, path + "/steps");
            }
        }

        void checkSteps(const Cascade& cascade, const std::string& path)
        {
            const Version* before = nullptr;
            for (std::size_t index = 0; index < cascade.steps.size(); ++index) {
                const std::string stepPath = path + "/" + std::to_string(index);
                const Version* version = checkKnownVersion(stepPath, cascade.steps[index]);
                if (version && before && version->costPerThousandTokens < before->costPerThousandTokens)
                    fault(stepPath, "version \"" + version->name.value + "\" is cheaper than the step before it; allowed: steps from cheap to strong");
                if (version)
                    before = version;
            }
            if (cascade.steps.empty())
                fault(path, "no step; allowed: at least one");
            else if (allWithdrawn(cascade.steps))
                fault(path, "every step is withdrawn; allowed: at least one version that takes work");
        }

        bool allWithdrawn(const std::vector<VersionName>& names) const
        {
            return !names.empty() && std::all_of(names.begin(), names.end(), [&](const VersionName& name) { return isWithdrawn(name); });
        }

        const Version* checkKnownVersion(const std::string& path, const VersionName& name)
        {
            const Version* version = findVersion(m_document, name);
            if (!version)
                fault(path, "unknown version \"" + name.value + "\"; allowed: a version of this document");
            return version;
        }

        void checkCustomers()
        {
            std::set<std::pair<std::string, std::string>> keys;
            for (std::size_t index = 0; index < m_document.customers.size(); ++index) {
                const Customer& customer = m_document.customers[index];
                const std::string path = "/customers/" + std::to_string(index);
                if (!keys.insert({ customer.keySalt, customer.keyDigest }).second)
                    fault(path + "/keyDigest", "another customer has this key; allowed: a key of its own");
                for (std::size_t at = 0; at < customer.versions.size(); ++at)
                    checkKnownVersion(path + "/versions/" + std::to_string(at), customer.versions[at]);
                if (allWithdrawn(customer.versions))
                    fault(path + "/versions", "withdrawals leave customer \"" + customer.name.value + "\" no version; allowed: at least one version that takes work, or an empty list");
                checkServicesOf(customer, path + "/services/");
                checkCascadesOf(customer, path + "/cascades/");
            }
        }

        void checkServicesOf(const Customer& customer, const std::string& prefix)
        {
            for (std::size_t index = 0; index < customer.services.size(); ++index) {
                const ServiceName& name = customer.services[index];
                if (!findService(m_document, name))
                    fault(prefix + std::to_string(index), "unknown plain service \"" + name.value + "\"; allowed: a service of this document");
            }
        }

        void checkCascadesOf(const Customer& customer, const std::string& prefix)
        {
            for (std::size_t index = 0; index < customer.cascades.size(); ++index) {
                const CascadeName& name = customer.cascades[index];
                const std::string path = prefix + std::to_string(index);
                const Cascade* cascade = findCascade(m_document, name);
                if (!cascade)
                    fault(path, "unknown cascade \"" + name.value + "\"; allowed: a cascade of this document");
                else
                    checkAllowedSteps(customer, *cascade, path);
            }
        }

        void checkAllowedSteps(const Customer& customer, const Cascade& cascade, const std::string& path)
        {
            for (const VersionName& step : cascade.steps) {
                if (std::find(customer.versions.begin(), customer.versions.end(), step) == customer.versions.end())
                    fault(path, "cascade \"" + cascade.name.value + "\" has version \"" + step.value + "\", which customer \"" + customer.name.value + "\" doesn't allow; allowed: cascades of its own versions");
            }
        }

        void checkRollouts()
        {
            std::set<ModelName> models;
            for (std::size_t index = 0; index < m_document.rollouts.size(); ++index) {
                const Rollout& rollout = m_document.rollouts[index];
                const std::string path = "/rollouts/" + std::to_string(index);
                if (!models.insert(rollout.model).second)
                    fault(path + "/model", "a second roll-out of model \"" + rollout.model.value + "\", so that the shares of its versions don't add up to 1; allowed: one a model");
                checkRollout(rollout, path);
            }
        }

        void checkRollout(const Rollout& rollout, const std::string& path)
        {
            checkVersionOfModel(rollout.model, rollout.from, path + "/from");
            checkVersionOfModel(rollout.model, rollout.to, path + "/to");
            if (rollout.from == rollout.to)
                fault(path + "/to", "\"" + rollout.to.value + "\" is the version that the roll-out starts from; allowed: another one");
            checkShare(path + "/share", rollout.share);
            checkShare(path + "/tolerableBadShare", rollout.tolerableBadShare);
            checkShare(path + "/unacceptableBadShare", rollout.unacceptableBadShare);
            if (rollout.state == RolloutState::completed && rollout.share != 1)
                fault(path + "/share", "a completed roll-out leaves its old version a share, so that the shares don't add up; allowed: 1");
            if (rollout.tolerableBadShare >= rollout.unacceptableBadShare)
                fault(path + "/unacceptableBadShare", "not above tolerableBadShare; allowed: a higher share");
            checkTakesWork(rollout, path);
        }

        void checkVersionOfModel(const ModelName& model, const VersionName& name, const std::string& path)
        {
            const Version* version = checkKnownVersion(path, name);
            if (version && version->model != model)
                fault(path, "version \"" + name.value + "\" is one of model \"" + version->model.value + "\"; allowed: a version of model \"" + model.value + "\"");
        }

        void checkShare(const std::string& path, double share)
        {
            if (!(share >= 0 && share <= 1))
                fault(path, std::to_string(share) + " is out of range; allowed: a share from 0 to 1");
        }

        // New sessions must go to a version that takes work.
        void checkTakesWork(const Rollout& rollout, const std::string& path)
        {
            const bool usesOld = rollout.state != RolloutState::completed;
            const bool usesNew = rollout.state != RolloutState::stopped;
            if (usesOld && isWithdrawn(rollout.from))
                fault(path + "/from", "version \"" + rollout.from.value + "\" is withdrawn; allowed: a completed roll-out, or a version that takes work");
            if (usesNew && isWithdrawn(rollout.to))
                fault(path + "/to", "version \"" + rollout.to.value + "\" is withdrawn; allowed: a stopped roll-out, or a version that takes work");
        }

        const Document& m_document;
        std::vector<Fault> m_faults;
    };

}

std::vector<Fault> validate(const Document& document)
{
    return Validation(document).run();
}

}
