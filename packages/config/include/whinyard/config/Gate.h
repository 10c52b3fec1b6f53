// The gate that every dispatch passes: first try, retry, cascade step, hedge and resume.
//
// It answers from one configuration; the caller asks again with the newest one before each dispatch.
#pragma once

#include "whinyard/config/Document.h"

namespace whinyard::config {

// Returns whether `customer` may have a request run on `version` under `configuration`. Fills
// `failure` with unknownModel, versionNotAllowed or versionWithdrawn, run state notRun.
bool permitsVersion(const Configuration& configuration, const CustomerName& customer, const VersionName& version, Failure& failure);

// Returns whether `customer` may name `cascade` as its model; each step still passes
// permitsVersion(). Fills unknownModel or versionNotAllowed.
bool permitsCascade(const Configuration& configuration, const CustomerName& customer, const CascadeName& cascade, Failure& failure);

// Returns whether `customer` may call `service`; fills unknownService or forbidden.
bool permitsService(const Configuration& configuration, const CustomerName& customer, const ServiceName& service, Failure& failure);

}
