// A judgement that a test sets.
#pragma once

#include "whinyard/policy/VersionJudgement.h"

#include <set>

namespace whinyard::policy {

class FakeJudgement final : public VersionJudgement {
public:
    bool isStopped(const config::Document&, const VersionName& version) const override { return stopped.contains(version); }
    double admissibleShare(const config::Rollout& rollout) const override { return rollout.share; }

    bool isOnTrial(const config::Rollout&) const override { return onTrial; }

    std::set<VersionName> stopped;
    bool onTrial = false;
};

}
