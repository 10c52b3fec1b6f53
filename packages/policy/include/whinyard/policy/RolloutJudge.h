// Judges the versions of roll-outs and those in use from ratings that come late and not always, and bounds how many
// requests are exposed to a version before it is judged.
//
// The router owns one judge per instance on its duty's thread: it tells it the configuration, the fleet, exposures and
// ratings, publishes its section to the other instances and merges theirs. resolveVersion() reads it. A stop needs no
// store: it is grow-only and travels with the gossip.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/policy/VersionJudgement.h"
#include "whinyard/policy/VersionVerdict.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace whinyard::policy {

struct RolloutJudgeSettings {
    TestErrors errors;
    double ratingsPerFalseStop = 100'000; // Of a version in use, on average.
    double badScore = 0.5; // An answer rated below it is bad.
    double outstandingShare = 0.1; // Of the exposure limit: exposures that may wait for their ratings.
    std::chrono::milliseconds ratingTimeout { 60'000 }; // After it, an exposure that later ones overtook counts as never rated.
    std::uint64_t baselineRatings = 100; // From which the usual bad share of a version in use is learnt.
    double baselineMargin = 0.05; // Added to that share to get the tolerable one.
    double riseToStop = 0.15; // Above the tolerable share: what counts as turned bad.
    std::size_t sectionBytes = 256; // The most that one of sections() takes.
};

// A stop that this instance learnt of, for the time line and the operators.
struct StopNotice {
    VersionName version;
    std::uint32_t trial = 0;
    StopReason reason = StopReason::none;
    std::uint64_t exposed = 0; // Requests exposed in this trial, as far as this instance knows.
    RatedCounts rated;
};

// How exposure is bounded, for a roll-out with the limit L over n instances:
// * Until the version has passed its test, the instances may expose L requests together and L * outstandingShare
//   unrated ones. Each instance has an equal part of both, by its rank among the names; it draws no new session to the
//   version once its part is spent. n is the largest fleet seen in the trial, so parts never grow when peers vanish.
// * A session that already stands on the version keeps it. Its requests count; if the total reaches L before the test
//   has passed, the version is stopped as undecided.
// * An instance that hasn't yet heard of the others draws none.
// * While the store is unreachable, a test that passes lifts no bound and no share grows.
class RolloutJudge final : public VersionJudgement {
public:
    RolloutJudge(InstanceName instance, Incarnation incarnation, RolloutJudgeSettings settings = {});

    // Takes the roll-outs of a configuration that has come into force.
    void useConfiguration(const config::Document& document);

    // Takes the names of the instances that live, this one included.
    void useFleet(std::vector<InstanceName> instances);

    // Tells whether the store can be reached, as far as this instance knows.
    void setStoreReachable(bool reachable);

    // Counts an answer of `version` that is handed to a caller. One that was rated before, since a cascade or a guard
    // judged it, waits for no rating.
    void recordExposure(const VersionName& version, const RequestId& request, SteadyTime now);

    // Takes a rating, 0 to 1, of an answer of `version`, whether it was handed to a caller or not.
    void recordRating(const VersionName& version, const RequestId& request, double score, SteadyTime now);

    // Joins another instance's section. Returns false, and changes nothing, if it can't be read.
    bool merge(std::string_view section);

    // Returns what this instance knows for the others, in parts that each fit a gossip entry and can be merged alone: its
    // own counts and all stops, those of stopped versions and of roll-outs first, and counts of other lives where there is
    // room. At most maximumSections; what doesn't fit is left out.
    std::vector<std::string> sections() const;

    static constexpr std::size_t maximumSections = 8;

    // Judges all versions anew. Call it after ratings and merges; it is cheap when nothing changed.
    void refresh(SteadyTime now);

    // Returns the stops learnt of since the last call.
    std::vector<StopNotice> takeStops();

    // Returns the verdict on the current trial of `version`, or null when nothing was counted.
    const VersionVerdict* verdict(const VersionName& version) const;

    bool isStopped(const config::Document& document, const VersionName& version) const override;
    double admissibleShare(const config::Rollout& rollout) const override;
    bool isOnTrial(const config::Rollout& rollout) const override;

    // An answer rated below it is bad.
    double badScore() const { return m_settings.badScore; }

private:
    // An exposure that waits for its rating.
    struct Outstanding {
        RequestId request;
        SteadyTime at;
    };

    // One version under judgement.
    struct Subject {
        VersionVerdict verdict;
        BadShares shares;
        std::uint64_t exposureLimit = 0;
        bool onTrial = false; // In a roll-out that isn't completed.
        bool sharesStated = false; // By a roll-out; otherwise they are learnt.
        double shareCeiling = 1; // While the store is unreachable: the share when it was last reachable.
        bool passedBeforeOutage = false; // Whether the pass may lift bounds.
        std::size_t fleetSize = 1; // The largest seen in the trial.
        std::deque<Outstanding> queue; // By time; those that were rated are skipped.
        std::unordered_map<RequestId, SteadyTime> waiting;
        std::deque<RequestId> ratedEarly; // The latest that were rated before they were exposed, if they ever are.
        SteadyTime newestRated; // Dispatch time of the newest exposure that was rated.
        std::optional<ChangeDetector> detector;
        bool noticed = false;
    };

    Subject& subjectOf(const VersionName& version);
    const Subject* find(const VersionName& version) const;
    void beginTrial(Subject& subject, std::uint32_t trial);
    void useRollout(const config::Rollout& rollout);
    std::uint64_t ownPart(std::uint64_t total, std::size_t fleetSize) const;
    bool mayDraw(const Subject& subject) const;
    void expireOutstanding(Subject& subject, SteadyTime now) const;
    void judge(Subject& subject);
    void judgeTrial(Subject& subject);
    bool learnShares(Subject& subject, const RatedCounts& rated) const;
    void judgeInUse(Subject& subject);
    void notice(Subject& subject);

    InstanceName m_instance;
    Incarnation m_incarnation;
    RolloutJudgeSettings m_settings;
    std::map<VersionName, Subject> m_subjects;
    std::vector<InstanceName> m_fleet;
    std::size_t m_rank = 0; // Of this instance among the fleet's names.
    bool m_heardOthers = false;
    bool m_storeReachable = true;
    std::vector<StopNotice> m_stops;
};

}
