#include "whinyard/config/Gate.h"

#include <algorithm>

namespace whinyard::config {

namespace {

    template <typename Value>
    bool contains(const std::vector<Value>& values, const Value& value)
    {
        return std::find(values.begin(), values.end(), value) != values.end();
    }

    bool refuse(Failure& failure, ErrorKind kind, std::string reason)
    {
        failure = { kind, std::move(reason) };
        return false;
    }

    std::string inRevision(const Configuration& configuration)
    {
        return " in configuration revision " + std::to_string(configuration.revision);
    }

}

bool permitsVersion(const Configuration& configuration, const CustomerName& customer, const VersionName& version, Failure& failure)
{
    const Version* known = findVersion(configuration.document, version);
    if (!known)
        return refuse(failure, ErrorKind::unknownModel, "no version " + version.value + inRevision(configuration));
    const Customer* caller = findCustomer(configuration.document, customer);
    if (!caller)
        return refuse(failure, ErrorKind::versionNotAllowed, "no customer " + customer.value + inRevision(configuration));
    if (!contains(caller->versions, version))
        return refuse(failure, ErrorKind::versionNotAllowed, "customer " + customer.value + " doesn't allow version " + version.value + inRevision(configuration));
    if (known->state == VersionState::withdrawn)
        return refuse(failure, ErrorKind::versionWithdrawn, "version " + version.value + " is withdrawn" + inRevision(configuration));
    return true;
}

bool permitsService(const Configuration& configuration, const CustomerName& customer, const ServiceName& service, Failure& failure)
{
    if (!findService(configuration.document, service))
        return refuse(failure, ErrorKind::unknownService, "no plain service " + service.value + inRevision(configuration));
    const Customer* caller = findCustomer(configuration.document, customer);
    if (!caller || !contains(caller->services, service))
        return refuse(failure, ErrorKind::forbidden, "customer " + customer.value + " may not call plain service " + service.value + inRevision(configuration));
    return true;
}

bool permitsCascade(const Configuration& configuration, const CustomerName& customer, const CascadeName& cascade, Failure& failure)
{
    if (!findCascade(configuration.document, cascade))
        return refuse(failure, ErrorKind::unknownModel, "no cascade " + cascade.value + inRevision(configuration));
    const Customer* caller = findCustomer(configuration.document, customer);
    if (!caller || !contains(caller->cascades, cascade))
        return refuse(failure, ErrorKind::versionNotAllowed, "customer " + customer.value + " may not use cascade " + cascade.value + inRevision(configuration));
    return true;
}

}
