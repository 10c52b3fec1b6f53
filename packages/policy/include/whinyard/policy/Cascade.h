// Decides which version of a cascade answers first and whether to go on, by expected cost at the quality target.
//
// The router asks for the first request of a session; later requests keep the version that answered. What an
// application gets from a version is learnt from ratings, which come late and not always. Pure: no I/O, no clock.
#pragma once

#include "whinyard/base/Identity.h"
#include "whinyard/base/Random.h"
#include "whinyard/policy/RatingCounts.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace whinyard::policy {

struct CascadeSettings {
    double ratingWindow = 400; // Ratings that count: each new one takes the weight 1/ratingWindow off all earlier ones.
    double optimism = 1; // Standard deviations added to what is expected of a step that is judged before it is shown.
    double caution = 1; // Standard deviations taken off what is expected of a step that is shown unjudged.
    double tolerance = 0.02; // By which an unjudged step may be less often acceptable than the strongest.
    double timeMargin = 1.5; // By which the times that a judged step needs are taken longer than expected.
    double timeValue = 0.2; // Share of acceptable answers that waiting the whole bound for a first token is worth.
    double hope = 2; // Standard deviations within which a step may still turn out to match the strongest.
    double exploration = 0.15; // Share of requests that show such a step unjudged to learn of it.
    double lateExploration = 0.005; // The same for steps that are known not to match.
    double usualCompletionTokens = 200; // Until an application has shown its own.
    std::size_t sectionBytes = 256; // The most that one of sections() takes.
    std::size_t maximumKeys = 1'024; // Pairs of application and version; beyond it, further applications share one.
};

// A version that may answer, with what the router expects of it now.
struct CascadeStep {
    VersionName version;
    double costPerThousandTokens = 1;
    std::chrono::microseconds firstToken { 0 }; // From dispatch to the first token, queue included.
    std::chrono::microseconds whole { 0 }; // From dispatch to the end of the answer.
};

// One request, as the decision sees it at the moment it is asked.
struct CascadeQuestion {
    std::string_view application;
    double qualityTarget = 0.8; // The rating from which an answer is acceptable.
    std::uint32_t promptTokens = 0;
    std::span<const CascadeStep> steps; // From cheap to strong; never empty.
    std::chrono::microseconds firstTokenWithin = std::chrono::microseconds::max(); // Until the caller must see a token.
    bool judgeAvailable = false; // Whether the rating service answers now.
    std::chrono::microseconds judgeTime { 0 }; // How long it takes.
};

enum class CascadeReason : std::uint8_t {
    onlyStep, // There is no other.
    leastExpectedCost, // Judged before it is shown; the expected cost from this step on is the least.
    acceptableUnjudged, // Shown unjudged: it is about as often acceptable as the strongest.
    explored, // Shown unjudged to learn of it.
    strongest, // No cheaper step is acceptable often enough.
    inTime, // The strongest would show its first token too late for what more it is worth.
    acceptable, // Its rating reaches the target.
    notAcceptable, // Its rating doesn't reach the target; the next step answers.
    unratedAcceptable, // No rating came; it is about as often acceptable as the strongest.
    unratedDoubtful, // No rating came; the next step answers.
    outOfTime, // The next step could not show a token in time, so this answer is shown.
};

// Returns the enumerator's name.
std::string_view toText(CascadeReason reason);

// The step to dispatch now.
struct CascadePlan {
    std::size_t step = 0; // Index into the question's steps.
    bool judged = false; // The whole answer is rated before anything of it is shown.
    CascadeReason reason = CascadeReason::onlyStep;
    double expectedCost = 0; // From this step on.
};

// What to do with the whole answer of a judged step.
struct CascadeContinuation {
    bool show = true;
    CascadeReason reason = CascadeReason::acceptable;
    CascadePlan next; // Only where `show` is false.
};

// What is known of an application's answers from one version: a histogram of ratings whose weights decay, so that
// what was learnt long ago gives way (Raj, Kalyani, "Taming Non-stationary Bandits: A Bayesian Approach", 2017).
class AnswerStatistics {
public:
    // Learns ratings that came together. Each one takes the weight 1/window off all earlier ones.
    void learn(const RatingBins& counts, double window);

    // The mean and the standard deviation of the posterior, Beta with a uniform prior, of the share of answers rated at
    // least `target`.
    struct Belief {
        double mean = 0.5;
        double deviation = 0;
    };
    Belief acceptable(double target) const;

    double weight() const { return m_weight; }

private:
    std::array<double, ratingBins> m_weights {};
    double m_weight = 0;
};

// The rule. Judged steps: the least expected cost over all ways through the steps, by backward induction, with
// optimism in face of uncertainty (Kaufmann, Cappé, Garivier, "On Bayesian Upper Confidence Bounds for Bandit
// Problems", AISTATS 2012), since a doubtful step costs money but is never shown. The form of the cascade is that of
// Chen, Zaharia, Zou, "FrugalGPT", 2023. Where time or the rating service allow no judgement: the cheapest step that is
// acceptable about as often as the strongest, with caution. Steps that may still turn out to match it are explored
// until they do or don't (action elimination: Even-Dar, Mannor, Mansour, JMLR 7, 2006).
class CascadePlanner {
public:
    explicit CascadePlanner(CascadeSettings settings = {});

    // Chooses the step to begin with.
    CascadePlan start(const CascadeQuestion& question, Random& random) const;

    // Whether there is the time to judge the whole answer of `step` before it is shown, and to have another version, whose
    // first token takes `fallbackFirstToken`, answer after it.
    bool leavesTimeFor(const CascadeQuestion& question, std::size_t step, std::chrono::microseconds fallbackFirstToken) const;

    // Decides about the whole answer of `step`, rated `score`, or not rated in time.
    CascadeContinuation afterStep(const CascadeQuestion& question, std::size_t step, std::optional<double> score) const;

    // Learns from a rating, however late.
    void learnRating(std::string_view application, const VersionName& version, double score);

    // Returns the ratings that this instance has learnt itself, for the others, in parts that each fit a gossip entry and can
    // be merged alone. They only grow; beyond maximumSections the applications with the fewest are left out.
    std::vector<std::string> sections() const;

    static constexpr std::size_t maximumSections = 5;

    // Learns what is new in one of another instance's sections. Counts are remembered by instance and life, so one that comes
    // late, twice or out of order is learnt once. Returns false, and changes nothing, if it can't be read.
    bool merge(const InstanceName& instance, Incarnation incarnation, std::string_view section);

    // Learns how long answers are.
    void learnCompletion(std::string_view application, std::uint32_t completionTokens);

    // Returns the tokens that an answer of the application has, as far as is known.
    double expectedCompletion(std::string_view application) const;

    // Returns what is believed of the share of acceptable answers.
    AnswerStatistics::Belief acceptable(std::string_view application, const VersionName& version, double target) const;

private:
    // What another instance's life has told.
    struct Told {
        Incarnation incarnation;
        RatingCounts counts;
    };

    RatingKey keyFor(std::string_view application, const VersionName& version) const;
    void learn(const RatingKey& key, const RatingBins& counts);
    double costOf(const CascadeQuestion& question, const CascadeStep& step) const;
    double strongestMean(const CascadeQuestion& question) const;
    std::optional<std::size_t> stepToExplore(const CascadeQuestion& question, Random& random) const;
    bool matchesStrongest(const CascadeQuestion& question, std::size_t step, double caution) const;
    CascadePlan judgedPlan(const CascadeQuestion& question, std::size_t from) const;
    CascadePlan unjudgedPlan(const CascadeQuestion& question, Random& random) const;
    double worth(const CascadeQuestion& question, std::size_t step) const;

    CascadeSettings m_settings;
    std::map<RatingKey, AnswerStatistics> m_statistics;
    RatingCounts m_own;
    std::map<InstanceName, Told> m_told;
    std::map<std::string, double, std::less<>> m_completionTokens;
};

}
