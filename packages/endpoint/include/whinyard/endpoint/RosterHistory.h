// Which endpoints of a list changed after a revision of the store, so that an instance that knows the list as of that revision
// can be told the difference instead of all of it.
//
// Each instance that knows the list keeps one, whoever told it. Pure.
#pragma once

#include "whinyard/base/Identity.h"
#include "whinyard/base/Revision.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace whinyard::endpoint {

class RosterHistory {
public:
    // Begins anew with a list that is complete as of `at`. Newer changes that are known already stay.
    void begin(const Revision& at);

    // Notes that an endpoint changed, or was removed, and is known as of `at`. Returns false where it is known as of a newer
    // revision already: what was told then is outdated.
    bool note(const EndpointName& endpoint, const Revision& at);

    // Notes that of the changes after `from`, up to `to`, only those are noted that the list as of `to` still shows. An instance
    // that knows a state between them can't be told the difference.
    void noteGap(const Revision& from, const Revision& to);

    // Returns whether changedAfter() names every change after this revision.
    bool reachesBackTo(const Revision& after) const;

    // Returns the endpoints that changed after a revision.
    std::vector<EndpointName> changedAfter(const Revision& after) const;

    // Returns whether the endpoint is known as of a newer revision than `at`.
    bool isNewer(const EndpointName& endpoint, const Revision& at) const;

    // Returns the revision of the newest change; that of begin() before the first.
    Revision newest() const { return m_ordered.empty() ? m_begin : std::max(m_begin, m_ordered.rbegin()->first); }

    // Forgets the oldest changes beyond so many.
    void trim(std::size_t most);

private:
    Revision m_begin; // From which on changes are known.
    std::map<EndpointName, Revision> m_changed;
    std::set<std::pair<Revision, EndpointName>> m_ordered;
    std::vector<std::pair<Revision, Revision>> m_gaps;
};

}
