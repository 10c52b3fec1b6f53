// What is known about the versions of roll-outs and of those in use, as the choice of a version needs it.
//
// resolveVersion() reads it; RolloutJudge implements it from ratings and from the verdicts of other instances.
#pragma once

#include "whinyard/config/Document.h"

namespace whinyard::policy {

class VersionJudgement {
public:
    virtual ~VersionJudgement() = default;

    // Returns whether `version` was found bad. It then takes no sessions from names that leave the choice to the
    // router, and sessions that stand on it move.
    virtual bool isStopped(const config::Document& document, const VersionName& version) const = 0;

    // Returns the share of new sessions, 0 to 1, that may take the new version of `rollout` now; never more than the
    // operators' share.
    virtual double admissibleShare(const config::Rollout& rollout) const = 0;

    // Returns whether the new version of `rollout` is still tried: until the roll-out is completed, since a version that
    // passed its test may turn bad later.
    virtual bool isOnTrial(const config::Rollout&) const { return false; }
};

}
