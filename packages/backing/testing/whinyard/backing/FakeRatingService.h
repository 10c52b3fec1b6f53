// A rating service whose scores a test sets.
#pragma once

#include "whinyard/backing/RatingService.h"

#include <map>

namespace whinyard::backing {

class FakeRatingService final : public RatingService {
public:
    std::map<VersionName, double> scores; // A version without a score is rated 1.
    bool down = false; // rate() fails with deadlineExceeded.
    std::vector<Rating> given; // Every rating in order.

    std::optional<double> rate(const RequestId& request, const VersionName& version, const std::string&, const std::string&, const std::string&, std::chrono::milliseconds, Failure& failure) override
    {
        if (down) {
            failure = { .kind = ErrorKind::deadlineExceeded, .reason = "the rating service gave no answer" };
            return std::nullopt;
        }
        const auto score = scores.find(version);
        given.push_back({ request, version, score == scores.end() ? 1.0 : score->second });
        return given.back().score;
    }
};

}
