// An instance list that a test sets.
#pragma once

#include "whinyard/backing/InstanceList.h"

namespace whinyard::backing {

class FakeInstanceList final : public InstanceList {
public:
    std::vector<ListedEndpoint> entries;
    bool down = false; // fetch() fails with storeUnavailable.
    std::size_t fetches = 0;

    std::optional<std::vector<ListedEndpoint>> fetch(Failure& failure) override
    {
        ++fetches;
        if (!down)
            return entries;
        failure = { .kind = ErrorKind::storeUnavailable, .reason = "the instance list is down" };
        return std::nullopt;
    }
};

}
