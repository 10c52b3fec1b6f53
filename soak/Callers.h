// The callers of a soak: they keep connections open, send requests of all kinds to all daemons, and note what they see.
#pragma once

#include "Observations.h"
#include "Site.h"

#include "whinyard/base/Random.h"
#include "whinyard/net/HttpClient.h"

#include <atomic>
#include <optional>
#include <string>

namespace whinyard::soak {

class Callers {
public:
    // The site must outlive the object.
    Callers(Site& site, std::uint64_t seed);
    ~Callers();

    // Starts callers that go on until stop().
    void start(std::size_t count);

    // Has most new connections come to this daemon until stopCrowd(), more often than before.
    void crowd(std::size_t daemon);
    void stopCrowd();

    // Sets the key that requests bear from now on.
    void useKey(std::string key);

    // Lets every caller end its request, and ends.
    void stop();

    // Sends one request of this kind to one daemon, waits for its answer, and notes it.
    CallerRecord ask(std::size_t daemon, RequestKind kind, const std::string& key);

    // Returns whether the daemon says that it is ready.
    bool isReady(std::size_t daemon);

    // Returns all requests so far.
    std::vector<CallerRecord> records();

private:
    void work();
    CallerRecord send(std::size_t daemon, RequestKind kind, const std::string& key, bool leavesEarly);
    void readAnswer(net::HttpStream& stream, CallerRecord& record);

    Site& m_site;
    const SystemClock m_clock;
    net::Duty m_duty { "callers" };
    // Used on the duty only, as the three below.
    std::unique_ptr<net::HttpClient> m_client;
    Random m_random;
    std::uint64_t m_sent = 0;
    std::vector<CallerRecord> m_records;
    std::string m_key;
    std::optional<std::size_t> m_crowded; // The daemon to which most callers come.
    std::atomic<bool> m_stopping = false;
    std::size_t m_working = 0;
};

}
