// Asks the key-value service for the operators' configuration when this instance should, and hands on what
// it said. The daemon runs it in a fiber of the store duty.
#pragma once

#include "whinyard/backing/KeyValueStore.h"
#include "whinyard/base/Clock.h"
#include "whinyard/base/Error.h"
#include "whinyard/config/Document.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace whinyard::peer {

// The record that holds the current configuration.
inline constexpr const char* configurationKey = "config/current";

// A configuration with the record that it was read from.
struct ReadConfiguration {
    std::shared_ptr<const config::Configuration> configuration;
    std::string record;
};

// Takes what the store says. PeerService implements it; its functions may be called from any thread.
class ConfigurationKeeper {
public:
    virtual ~ConfigurationKeeper() = default;

    // Returns whether to start a call now; true obliges to report its end with one of the functions below.
    virtual bool takeStoreCall() = 0;

    virtual void storeAnswered(SteadyTime startedAt, ReadConfiguration read) = 0;
    virtual void storeUnchanged(SteadyTime startedAt, std::uint64_t revision) = 0;
    virtual void storeFailed() = 0;
};

class StoreWatch {
public:
    enum class Turn : std::uint8_t {
        idle, // No call was due; come back in a moment.
        reached,
        failed, // The failure says why.
    };

    // All three must outlive the object.
    StoreWatch(backing::KeyValueStore& store, ConfigurationKeeper& keeper, const Clock& clock);

    // Makes the call that is due, if one is. It waits for a change at most for `timeout`, which adds to
    // the age of every proof: half a second is a good choice. A record that can't be read is reported with
    // its key, and is no proof.
    Turn turn(std::chrono::milliseconds timeout, Failure& failure);

private:
    bool take(const backing::Record& record, SteadyTime startedAt, Failure& failure);

    backing::KeyValueStore& m_store;
    ConfigurationKeeper& m_keeper;
    const Clock& m_clock;
    backing::Revision m_knownRecord = 0;
    std::uint64_t m_revision = 0; // Of the configuration in the record that is known.
};

}
