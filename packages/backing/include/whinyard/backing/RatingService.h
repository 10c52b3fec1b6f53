// The platform's service that rates answers, late and not always.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/base/Identity.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace whinyard::backing {

// The rating of one answer.
struct Rating {
    RequestId request;
    VersionName version;
    double score = 0; // From 0, useless, to 1, fully right.

    bool operator==(const Rating&) const = default;
};

class RatingService {
public:
    virtual ~RatingService() = default;

    // Rates an answer now, for a cascade that waits for the judgement of a step.
    virtual std::optional<double> rate(const RequestId& request, const VersionName& version, const std::string& application, const std::string& question, const std::string& answer, std::chrono::milliseconds timeout, Failure& failure) = 0;
};

}
