// Learns how fast the engines of a service are compared with each other, from the samples of all instances.
//
// One instance observes an engine only once in many seconds. Each adds the logarithms of its samples up, tells the others its sums
// and adds theirs. EndpointDirectory owns one, and has the selector multiply an engine's prefill time by factor(). Pure.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace whinyard::policy {

struct EnginePaceSettings {
    std::chrono::milliseconds memory { 10'000 }; // Time constant after which samples are forgotten.
    double priorSamples = 3; // Weight of the mean of the service's engines in an engine's estimate.
    double largestLog = 1.5; // Of one sample, either way: one that is longer shows a wait and no speed.
    double leastFactor = 0.5;
    double largestFactor = 3;
    // An engine counts as slow from the first factor on until its factor falls below the second. Waits that lengthen 15 in 100
    // samples to 2.5 times leave the factor of an ordinary engine below the first one.
    double slowFrom = 1.4;
    double slowUntil = 1.2;
    std::chrono::milliseconds tellInterval { 500 }; // A speed changes when an engine starts again, and seldom else.
    // Of the time to the first event: the way there and back and a step, which are the same at a fast and a slow engine.
    std::chrono::milliseconds fixedTime { 15 };
};

// The time to the first event of a request that an engine took up at once.
struct PaceSample {
    ModelName model;
    std::uint32_t tokens = 0; // Of the prompt, as far as they were prefilled.
    std::chrono::nanoseconds elapsed { 0 };
    std::chrono::nanoseconds expected { 0 }; // At an ordinary engine.
};

// Samples of one engine that an instance tells the others.
struct PaceNews {
    EndpointName engine;
    std::uint64_t incarnation = 0; // Of the engine's process; 0 if it doesn't say.
    double sum = 0; // Of the logarithms of elapsed over expected time.
    std::uint32_t samples = 0;

    bool operator==(const PaceNews&) const = default;
};

// An engine that has begun to count as slow, or ended.
struct PaceChange {
    EndpointName engine;
    bool isSlow = false;
    double factor = 1;
    double samples = 0; // Of all instances that are heard, decayed.
};

class EnginePaces {
public:
    // Samples of one engine that one notice may add; more are not counted.
    static constexpr std::uint32_t mostSamples = 64;

    explicit EnginePaces(const EnginePaceSettings& settings = {});
    EnginePaces(const EnginePaces&) = delete; // Engines are linked by pointers.
    EnginePaces& operator=(const EnginePaces&) = delete;

    // Takes an engine of the list. What was learnt of another process under the name is forgotten.
    void useEngine(const EndpointName& engine, const ServiceName& service, std::uint64_t incarnation);

    // Forgets an engine that has left the list.
    void forget(const EndpointName& engine);

    // Takes a sample of this instance. Samples of unknown engines and of other processes under the name are ignored, here and below.
    void learn(const EndpointName& engine, std::uint64_t incarnation, const PaceSample& sample, SteadyTime now);

    // Takes what another instance tells.
    void take(const PaceNews& news, SteadyTime now);

    // Returns the sums of this instance's samples since they were last returned, of at most so many engines; the others follow.
    // Returns nothing until `tellInterval` after it last returned some.
    std::vector<PaceNews> takeNews(std::size_t most, SteadyTime now);

    // Forgets old samples, and computes the factors anew. Call it some times a second.
    void refresh(SteadyTime now);

    // Returns the engine's prefill time as a multiple of the geometric mean over its service's engines.
    double factor(const EndpointName& engine) const;

    // Returns the engines of which there are samples, with their factors.
    std::vector<std::pair<EndpointName, double>> factors() const;

    // Returns which engines began or ended to count as slow since the last call.
    std::vector<PaceChange> takeChanges();

    std::size_t slowEngines() const;

private:
    struct Service {
        double weight = 0; // Sums over the engines, used within refresh().
        double weighted = 0;
    };

    struct Engine {
        Service* service = nullptr;
        std::uint64_t incarnation = 0;
        double sum = 0;
        double samples = 0; // With the sum, decayed up to `at`.
        SteadyTime at {};
        double newSum = 0; // Of own samples that the others weren't told yet.
        std::uint32_t newSamples = 0;
        double logFactor = 0;
        bool isSlow = false;
    };

    // What the expected time is wrong by, for prompts of about one size for one model, whatever the engine.
    struct Bias {
        double samples = 0;
        double mean = 0;
    };

    void add(const EndpointName& name, Engine& engine, double sum, std::uint32_t samples, SteadyTime now);
    void decay(Engine& engine, SteadyTime now) const;
    double weightOf(const Engine& engine) const { return engine.samples / (engine.samples + m_settings.priorSamples); }
    void noteFactor(const EndpointName& name, Engine& engine, double logFactor);
    double withoutBias(const PaceSample& sample, double logFactor);

    const EnginePaceSettings m_settings;
    std::map<ServiceName, Service> m_services;
    std::map<EndpointName, Engine> m_engines;
    std::map<EndpointName, Engine*> m_sampled; // Those with samples: the work of refresh() grows with these only.
    std::map<std::pair<ModelName, int>, Bias> m_biases;
    EndpointName m_toldLast;
    std::optional<SteadyTime> m_toldAt;
    std::vector<PaceChange> m_changes;
};

}
