// The settings of one whinyardd process, read once at start from a JSON file with comments.
//
// Settings say where a process stands and how it is bounded. What operators change while it runs is
// configuration and lives in the key-value service.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/base/Identity.h"
#include "whinyard/net/Address.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::settings {

// A secret of the fleet by its number; secrets come from files or the environment, never from the
// settings file itself. The first key signs, all verify, so that keys rotate without a gap.
struct KeySource {
    std::uint32_t number = 0;
    std::string file; // Path of a file that holds the key; empty: use `environment`.
    std::string environment; // Name of an environment variable that holds the key.
};

// Another instance that is known before any list is: used when the platform is down at start.
struct Seed {
    InstanceName name;
    ZoneName zone;
    net::Address peers; // Its address for instances, both UDP and TCP.
};

struct Limits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    std::size_t connections = 20'000;
    std::size_t concurrentRequests = 10'000;
    std::chrono::milliseconds receiveTimeout { 10'000 };
    std::chrono::milliseconds requestDeadline { 60'000 }; // For requests that name none.
    std::size_t eventMirrorBytesPerSecond = 3'000; // Sent to another instance for the time line, on average.
    std::size_t eventBytes = 8 * 1024 * 1024; // Of packed events kept for the time line: so much of its own, and so much of others.
};

struct Timing {
    std::chrono::milliseconds heartbeat { 500 };
    std::chrono::milliseconds configurationBound { 5'000 }; // How long a cut-off instance goes on.
    std::chrono::milliseconds usageMirrorInterval { 2 }; // Between messages of bill lines to one holder, when many answers end.
    std::chrono::milliseconds usageFlush { 5'000 };
    std::chrono::milliseconds intentInterval { 200 }; // Least time between two swaps of one partition.
    std::chrono::milliseconds instanceListPoll { 2'000 };
    std::chrono::milliseconds loadPoll { 500 };
    std::chrono::milliseconds shutdownBound { 30'000 };
};

struct DaemonSettings {
    InstanceName instance;
    ZoneName zone;
    std::string region;
    net::Address callers; // Where callers connect.
    net::Address admin; // Where operators connect.
    net::Address peers; // Where other instances connect, UDP and TCP.
    net::Address platform;
    std::vector<Seed> seeds;
    std::vector<KeySource> peerKeys;
    std::vector<KeySource> sessionKeys;
    std::string operatorsFile; // Operators, their roles and key digests.
    std::uint32_t intentPartitions = 32; // The same on every instance, for ever.
    std::string logLevel = "info";
    Limits limits;
    Timing timing;
};

// Reads settings from text. `file` names it in the reasons. On a fault returns nothing; the reason
// names file, line or JSON path, the value found and what is allowed.
std::optional<DaemonSettings> parseDaemonSettings(std::string_view text, std::string_view file, Failure& failure);

// Reads the settings file.
std::optional<DaemonSettings> loadDaemonSettings(const std::string& file, Failure& failure);

// Reads a secret from its source, without trailing white space. At least 16 bytes are required.
std::optional<std::string> loadKey(const KeySource& source, Failure& failure);

}
