// Where the router reads the operators' configuration: always the newest one that this instance knows.
//
// The daemon implements it; tests put a settable one in its place.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/config/Document.h"

#include <memory>

namespace whinyard::router {

class ConfigurationSource {
public:
    virtual ~ConfigurationSource() = default;

    // Returns the newest configuration that this instance knows; null before the first.
    virtual std::shared_ptr<const config::Configuration> newest() const = 0;

    // Returns whether this instance may serve on it: it can know what is permitted now. Fills
    // `failure` with configurationStale otherwise.
    virtual bool mayServe(Failure& failure) const = 0;
};

}
