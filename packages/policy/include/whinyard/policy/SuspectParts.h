// Finds the parts of prompts that end the endpoints that begin to answer them, whatever else the requests hold.
//
// An endpoint that ends takes all that it held with it, so every part of those prompts is suspected. What tells the one that ended it
// from the others: answers to requests with the others go on, before and after. A part that was lost with several processes, by several
// requests, sent again after the first loss, and that no answer has survived meanwhile, is reported; of several such parts the one
// that explains most, and the others are held to the rest of the losses only.
//
// Belongs to QueryOfDeathTable, which decides what is refused and tells other instances. Pure: no I/O, no clock of its own.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/QueryNews.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace whinyard::policy {

struct SuspectPartsSettings {
    std::size_t lives = 3; // Processes that it was lost with.
    std::size_t mostLives = 6; // Needed at most, where many processes end at the time: a third of them, if that is more.
    std::size_t requests = 2; // Different ones: a single request is suspected as a whole.
    std::size_t rounds = 2; // Of losses, each of a request that was sent after the one before: a single wave of ends is one.
    // The same for a part that was answered soundly not long before: something must have changed for it to end endpoints now.
    std::size_t livesIfSound = 5;
    std::size_t roundsIfSound = 3;
    std::chrono::milliseconds roundSlack { 75 }; // Instances learn of each other's losses so much later.
    std::chrono::milliseconds sameLoss { 1'500 }; // See QueryOfDeathSettings.
    std::chrono::milliseconds explanationDelay { 150 }; // For other instances to tell what speaks for another part.
    std::chrono::milliseconds weakDelay { 300 }; // The same where some of the lost requests may have been waiting.
    std::chrono::milliseconds hold { 300 }; // After a loss, of requests with a part that is about to be reported.
    std::chrono::seconds soundMemory { 30 }; // At least; twice as long at most.
    std::chrono::minutes suspicionMemory { 10 };
    std::size_t mostSuspects = 4'096; // The oldest go first.
    std::size_t mostSound = 8'192;
    std::size_t mostLosses = 16; // Kept of a part.
    std::size_t mostEnds = 512; // Of processes.
    // An instance tells that a suspected part is sound at a drawn time within this, and not if two others have by then. It grows with
    // the number of instances, so that about as many tell it.
    std::chrono::milliseconds tellWithin { 100 };
    std::chrono::milliseconds tellWithinEach { 5 };
};

class SuspectParts {
public:
    explicit SuspectParts(const SuspectPartsSettings& settings = {});

    // A part that ends endpoints.
    struct Finding {
        PartDigest part;
        std::vector<EndpointLife> lives;
        ServiceName service; // Empty where this instance has lost no such request.
        bool isOwn = false; // This instance has lost one.
        SteadyTime since; // The first loss.
    };

    // Takes how many instances live, and a number that differs between them.
    void useInstances(std::size_t count, std::uint64_t salt);

    // Notes that a request was lost with an endpoint's process. `service` is empty where another instance has told it.
    void addLoss(const RequestLoss& loss, const ServiceName& service, SteadyTime now);

    // Notes that an endpoint has answered a request with the part since `begunAt`, and has not ended by it.
    void noteSound(PartDigest part, SteadyTime begunAt, SteadyTime now);

    // The same, told by another instance.
    void takeSound(PartDigest part, SteadyTime begunAt, SteadyTime now);

    // Returns whether requests with the part are to wait: it may be reported within SuspectPartsSettings::hold.
    bool isHeld(PartDigest part, SteadyTime now) const;

    // Has other instances told that the part is sound; see SuspectPartsSettings::tellWithin.
    void planToTell(PartDigest part, SteadyTime now);

    // Returns whether an answer to a request with the part has begun at this instance at `from` or later, and went on.
    bool isSoundSince(PartDigest part, SteadyTime from) const;

    // Returns the part that explains most of the losses that nothing else explains, once it is sure enough. Its losses are dropped.
    std::optional<Finding> find(SteadyTime now);

    // Notes that a part, or else a single request, has ended these processes. Where another part was lost with all of them as well, it
    // may be the cause in its place: one more loss tells. Of a request it may be the part by which it did.
    void explain(const std::vector<EndpointLife>& lives, bool byRequest);

    // Suspects a part whose verdict is over: one more loss brings it back.
    void restore(PartDigest part, const std::vector<EndpointLife>& lives, SteadyTime now);

    // Drops what is over. Call it about each second.
    void forgetOld(SteadyTime now);

    // Adds what other instances should know of sound parts, SoundPart by SoundPart, up to `most`.
    void takeNews(std::vector<SoundPart>& news, std::size_t most, SteadyTime now);

    std::size_t suspects() const { return m_suspects.size(); }

private:
    struct Loss {
        EndpointLife life;
        LossStage stage = LossStage::waiting;
        SteadyTime at;
        SteadyTime sentAt;
        RequestDigest request;
        bool hasSeveral = false; // Requests with the part were lost with this process.
    };

    struct Suspect {
        std::vector<Loss> losses; // In order.
        ServiceName service;
        std::size_t place = 0; // In the prompt.
        bool isOwn = false;
        bool wasSound = false; // Before the losses.
        std::optional<SteadyTime> ripeAt; // Since when there are losses enough.
    };

    // When to tell of a sound part.
    struct Plan {
        SteadyTime at;
        int heard = 0; // So many instances have told it meanwhile.
    };

    void addLoss(PartDigest part, std::size_t place, const RequestLoss& loss, const ServiceName& service, SteadyTime now);
    void clear(PartDigest part, SteadyTime begunAt, bool isOwn, SteadyTime now);
    std::optional<SteadyTime> latestSound(PartDigest part) const;
    void sortIn(PartDigest part, const Suspect& suspect);
    bool isRipe(const Suspect& suspect, SteadyTime now) const;
    std::size_t endsSince(SteadyTime from) const;
    std::size_t rounds(const Suspect& suspect) const;
    bool hasSeveralRequests(const Suspect& suspect) const;
    void makeRoom();

    const SuspectPartsSettings m_settings;
    std::size_t m_instances = 1;
    std::uint64_t m_salt = 0;
    std::unordered_map<PartDigest, Suspect> m_suspects;
    std::set<PartDigest> m_repeated; // Suspects that were lost with two processes or more.
    std::map<EndpointLife, SteadyTime> m_ends; // Of processes, that nothing explains yet.
    std::unordered_map<PartDigest, SteadyTime> m_sound; // When the latest sound answer began.
    std::unordered_map<PartDigest, SteadyTime> m_soundBefore; // The same, until m_sound was begun.
    SteadyTime m_soundBegunAt;
    std::map<PartDigest, Plan> m_toTell; // Sound parts.
};

}
