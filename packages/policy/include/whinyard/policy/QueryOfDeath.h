// Finds requests that end the endpoints that run them, and says which are refused for that (queries of death: Beyer et al.,
// "Site Reliability Engineering", 2016).
//
// An endpoint that ends takes all that it held with it, so each of those requests is suspected, and each part of their prompts. A
// request that was lost with three processes and has not been completed lately is refused; so are all with a part that was found to
// end endpoints (SuspectParts). Both are traits of a request, which verdicts, notices and records don't tell apart. Every instance
// keeps such a table, and tells the others what it notes.
// Belongs to the serve duty. Pure: no I/O, no clock of its own.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/QueryNews.h"
#include "whinyard/policy/SuspectParts.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace whinyard::policy {

// Why a request is refused from now on, or no longer.
enum class QueryChangeReason : std::uint8_t {
    ownLoss, // Endpoints ended with it, some of them under attempts of this instance.
    toldLosses, // The same, but other instances made all the attempts.
    toldVerdict,
    completed,
    recordRemoved,
};

// Returns the text form of `reason`: the enumerator's name.
std::string_view toText(QueryChangeReason reason);

// A change of belief, for the log.
struct QueryChange {
    RequestDigest request; // Or a part: see traitOf().
    ServiceName service;
    std::size_t endpointsEnded = 0;
    bool isRefused = false;
    QueryChangeReason reason = QueryChangeReason::ownLoss;
};

struct QueryOfDeathSettings {
    // A wave of failures takes a request along once or twice; a third time in a row without an end it was hardly chance.
    std::size_t livesToVerdict = 3;
    // All that a process held is lost within some hundred milliseconds. What is lost so much later was held by another process, of
    // whose start under the same name the list of endpoints hasn't told yet.
    std::chrono::milliseconds sameLoss { 1'500 };
    // How long one that had not begun everywhere waits for a better explanation of the same losses: notices take milliseconds,
    // and instances tell each 50 ms.
    std::chrono::milliseconds weakDelay { 300 };
    std::chrono::seconds completionMemory { 30 }; // A request that was completed so lately ends no endpoint.
    std::chrono::minutes suspicionMemory { 10 };
    // Then it may be tried once more, by a repaired version perhaps: one more loss brings the verdict back. A minute less than a
    // store keeps a record without a renewal.
    std::chrono::minutes verdictLifetime { 9 };
    std::chrono::seconds oldestRead { 10 }; // Of the store, in a state that may be seconds old.
    std::chrono::seconds explanationMemory { 60 }; // Losses with one process are told within seconds.
    // One that is suspected takes some 150 bytes. Where a third of 1,700 engines is lost at once, 13,000 are; the oldest go first.
    std::size_t mostSuspects = 16'384;
    std::size_t mostRemembered = 4'096; // Completions: at 100 requests a second more than the memory of 30 s.
    std::size_t mostRefused = 1'024;
    SuspectPartsSettings parts {};
};

class QueryOfDeathTable {
public:
    explicit QueryOfDeathTable(QueryOfDeathSettings settings = {});

    // Takes how many instances live, and a number that differs between them.
    void useInstances(std::size_t count, std::uint64_t salt) { m_parts.useInstances(count, salt); }

    // Returns whether the request must not be sent to an endpoint: as a whole, or for a part of its prompt.
    bool isRefused(const QueryTraits& traits, SteadyTime now) const { return refusedTrait(traits, now).has_value(); }
    bool isRefused(const RequestDigest& trait, SteadyTime now) const;

    // Returns whether the request has been lost so often that it is to wait until a verdict is reached on it, or another request
    // on the same losses: QueryOfDeathSettings::weakDelay at most.
    bool isHeld(const RequestDigest& request) const { return m_weak.contains(request); }

    // The same also for the parts of its prompt.
    bool isHeld(const QueryTraits& traits, SteadyTime now) const;

    // Returns whether an endpoint ended with it and it has not been completed since.
    bool isSuspect(const RequestDigest& request) const { return m_suspects.contains(request); }

    // Notes what this instance has seen: a request of its own that was lost with an endpoint's process, or completed.
    void noteLoss(const RequestLoss& loss, const ServiceName& service, SteadyTime now);
    void noteCompleted(const RequestDigest& request, SteadyTime now);

    // Notes that an endpoint has answered a request with these parts since `begunAt`, and has not ended by it.
    void noteSound(const std::vector<PartDigest>& parts, SteadyTime begunAt, SteadyTime now);

    // Takes what another instance told.
    void takeLoss(const RequestLoss& loss, SteadyTime now);
    void takeCompleted(const RequestDigest& request, SteadyTime now);
    void takeSound(const SoundPart& sound, SteadyTime now);
    void takeVerdict(const QueryVerdict& verdict, SteadyTime now);

    // Takes the verdicts that stand in the store, in a state that may be seconds old. One that is known to have stood there for
    // longer and doesn't now is lifted: an operator has removed its record.
    void takeStored(const std::vector<QueryVerdict>& stored, SteadyTime now);

    // Notes that this instance has seen a verdict's record written.
    void noteStored(const RequestDigest& request, SteadyTime now);

    // Notes that the store may have lost the records of verdicts: they are unstored again, and none of them is lifted for that.
    void forgetStored();

    // Reaches verdicts that were due for a better explanation, and drops what is over. Call it about every 50 ms.
    void refresh(SteadyTime now);

    // Returns what is to be told now, as much as one notice holds; the rest comes with the next calls.
    QueryNews takeNews(SteadyTime now);

    // Returns whether no verdict was reached, or all are over.
    bool hasNoVerdicts() const { return m_verdicts.empty(); }

    // Returns all verdicts that hold, for instances that missed a notice.
    std::vector<QueryVerdict> standing(SteadyTime now) const;

    // Returns the verdicts that this instance came to by a loss of its own at least `age` ago, and that don't stand in the store.
    std::vector<QueryVerdict> unstored(std::chrono::milliseconds age, SteadyTime now) const;

    // Returns what has changed since the last call.
    std::vector<QueryChange> takeChanges();

    // Returns the requests whose verdict this instance has stored and that were completed since: their records are to be removed.
    std::vector<RequestDigest> takeRefuted();

    std::size_t suspects() const { return m_suspects.size(); }

private:
    struct Loss {
        EndpointLife life;
        LossStage stage = LossStage::waiting;
        SteadyTime at;
    };

    struct Suspect {
        std::vector<Loss> losses;
        SteadyTime latest;
        ServiceName service; // Empty where this instance has not sent it.
        bool isOwn = false; // A loss of it is this instance's.
    };

    struct Verdict {
        std::vector<EndpointLife> lives;
        ServiceName service;
        SteadyTime madeAt;
        SteadyTime since; // No later than the first loss that this instance knows.
        SteadyTime until;
        bool isOwn = false;
        std::optional<SteadyTime> storedAt; // Since when it is known to stand in the store.
        bool isLifted = false; // Kept so that what others still tell of it isn't taken for news.
    };

    std::optional<RequestDigest> refusedTrait(const QueryTraits& traits, SteadyTime now) const;
    bool objects(const QueryVerdict& verdict, SteadyTime now);
    void findParts(SteadyTime now);
    void refute(const RequestDigest& trait);
    void refuteIfSound(PartDigest part, SteadyTime begunAt);
    void add(const RequestLoss& loss, bool isOwn, const ServiceName& service, SteadyTime now);
    void judge(const RequestDigest& request, SteadyTime now);
    void reach(const RequestDigest& request, const Suspect& suspect, SteadyTime now);
    void place(const RequestDigest& request, Verdict verdict, QueryChangeReason reason, SteadyTime now);
    void explain(const RequestDigest& request, const std::vector<EndpointLife>& lives, SteadyTime now);
    void releaseExplained();
    void forgetOld(SteadyTime now);
    void lift(const RequestDigest& request, Verdict& verdict, QueryChangeReason reason);
    void remember(const RequestDigest& request, SteadyTime now);
    bool wasCompleted(const RequestDigest& request, SteadyTime now) const;
    void makeRoom();
    static QueryVerdict told(const RequestDigest& request, const Verdict& verdict, SteadyTime now);

    const QueryOfDeathSettings m_settings;
    SuspectParts m_parts;
    std::unordered_map<RequestDigest, Suspect> m_suspects;
    std::unordered_map<RequestDigest, Verdict> m_verdicts; // By trait.
    std::unordered_map<RequestDigest, SteadyTime> m_completed;
    std::deque<std::pair<SteadyTime, RequestDigest>> m_completions; // In order, to forget them.
    std::unordered_map<std::uint64_t, SteadyTime> m_explained; // Digests of lives that a verdict accounts for.
    std::set<RequestDigest> m_weak; // Suspects of enough losses that wait for a better explanation.
    std::deque<RequestLoss> m_untoldLosses;
    std::set<RequestDigest> m_untoldCompleted;
    std::deque<RequestDigest> m_untoldVerdicts;
    std::vector<RequestDigest> m_refuted;
    std::vector<QueryChange> m_changes;
    SteadyTime m_forgotAt;
};

}
