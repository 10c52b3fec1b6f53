// Asks the rating service about answers: at once for a cascade that waits, or in the background for
// the judgement of versions.
#pragma once

#include "internal/RequestContext.h"

namespace whinyard::router {

// What is rated.
struct RatedAnswer {
    VersionName version;
    std::string application;
    std::string question;
    std::string answer;
};

// Waits for a rating and lets cascades and the judge learn from it. Returns nothing when none came in time.
std::optional<double> rateNow(RequestContext& context, const RatedAnswer& answer);

// Returns whether an answer of `version` is to be rated after it was shown: always while a roll-out
// concerns the version, else by a share drawn at random.
bool drawsRating(RequestContext& context, const VersionName& version);

// Has an answer rated in the background.
void rateLater(RequestContext& context, RatedAnswer answer);

// Returns whether the rating service has answered lately.
bool ratingAvailable(const RouterCore& core, SteadyTime now);

}
