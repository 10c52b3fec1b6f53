#include "Callers.h"

namespace whinyard::soak {

namespace {

    using namespace std::chrono_literals;

    constexpr std::chrono::milliseconds patience { 4'000 }; // Longer than any answer may take.
    constexpr std::uint64_t longestPauseMs = 40;
    constexpr double freshShare = 0.2; // Of requests on a new connection.
    constexpr double crowdShare = 0.9; // Of callers and of new connections, while most come to one daemon.
    constexpr int crowdHaste = 4; // Their pauses are so much shorter.
    constexpr std::uint64_t sharedParts = 6; // Of prompts, beside the one of all.
    constexpr double impatientShare = 0.03; // Of callers that leave early.
    constexpr std::chrono::milliseconds impatience { 40 };

    const char* pathFor(RequestKind kind)
    {
        switch (kind) {
        case RequestKind::idempotent:
            return "/whole/x";
        case RequestKind::nonIdempotent:
            return "/once/x";
        case RequestKind::stream:
            return "/stream/x";
        }
        return "/";
    }

    // Notes the numbers of the events in a stream's bytes, and whether each names the request.
    void noteEvents(const std::string& body, CallerRecord& record)
    {
        record.namesRequest = true;
        std::size_t at = 0;
        constexpr std::string_view mark = "id: ";
        while ((at = body.find(mark, at)) != std::string::npos) {
            const std::size_t end = body.find("\n\n", at);
            if (end == std::string::npos)
                return;
            record.events.push_back(std::atoi(body.c_str() + at + mark.size()));
            record.namesRequest = record.namesRequest && body.substr(at, end - at).ends_with(" for " + record.id);
            at = end;
        }
    }

}

Callers::Callers(Site& site, std::uint64_t seed)
    : m_site(site)
    , m_random(seed)
{
    net::runOn(m_duty, [this] { m_client = net::HttpClient::create(m_duty); });
}

Callers::~Callers()
{
    stop();
    net::runOn(m_duty, [this] { m_client.reset(); });
    m_duty.stop();
}

void Callers::start(std::size_t count)
{
    net::runOn(m_duty, [this, count] {
        for (std::size_t number = 0; number < count; ++number) {
            ++m_working;
            m_duty.spawn([this] { work(); });
        }
    });
}

void Callers::crowd(std::size_t daemon)
{
    net::runOn(m_duty, [&] { m_crowded = daemon; });
}

void Callers::stopCrowd()
{
    net::runOn(m_duty, [&] { m_crowded.reset(); });
}

void Callers::useKey(std::string key)
{
    net::runOn(m_duty, [&] { m_key = std::move(key); });
}

void Callers::stop()
{
    m_stopping = true;
    net::runOn(m_duty, [this] {
        while (m_working > 0)
            net::sleepFor(10ms);
    });
}

void Callers::work()
{
    while (!m_stopping) {
        const bool isCrowd = m_crowded && uniform(m_random) < crowdShare;
        const std::size_t daemon = isCrowd ? *m_crowded : below(m_random, m_site.daemons());
        const auto kind = static_cast<RequestKind>(below(m_random, 3));
        CallerRecord record = send(daemon, kind, m_key, uniform(m_random) < impatientShare);
        m_records.push_back(std::move(record));
        net::sleepFor(std::chrono::milliseconds(below(m_random, longestPauseMs)) / (isCrowd ? crowdHaste : 1));
    }
    --m_working;
}

CallerRecord Callers::ask(std::size_t daemon, RequestKind kind, const std::string& key)
{
    return *net::callOn(m_duty, [&] {
        CallerRecord record = send(daemon, kind, key, false);
        m_records.push_back(record);
        return record;
    });
}

CallerRecord Callers::send(std::size_t daemon, RequestKind kind, const std::string& key, bool leavesEarly)
{
    CallerRecord record { .id = "q" + std::to_string(++m_sent), .kind = kind, .customer = Site::customer, .daemon = daemon, .sent = m_clock.now(), .ended = {}, .events = {} };
    net::HttpRequest request { .method = "POST", .target = pathFor(kind), .fields = { { "Host", "a.example" }, { "X-Request-Id", record.id }, { "Authorization", "Token " + key }, { "X-Deadline-Ms", "3000" } }, .body = "body" };
    if (kind == RequestKind::stream)
        request.fields.push_back({ "X-Prompt-Prefix", "1:100," + std::to_string(2 + below(m_random, sharedParts)) + ":50,f" + std::to_string(m_sent) + ":10" });
    net::HttpCallOptions options;
    options.freshConnection = uniform(m_random) < (m_crowded ? crowdShare : freshShare);
    options.timeout = leavesEarly ? impatience : patience;
    options.pieceTimeout = options.timeout;
    net::HttpCallProgress progress;
    Failure failure;
    if (const std::unique_ptr<net::HttpStream> stream = m_client->open(m_site.callers(daemon), request, options, progress, failure))
        readAnswer(*stream, record);
    record.ended = m_clock.now();
    record.gaveUp = leavesEarly && !record.isWhole;
    return record;
}

void Callers::readAnswer(net::HttpStream& stream, CallerRecord& record)
{
    record.status = stream.head().status;
    record.isSigned = !net::fieldValue(stream.head().fields, "X-Server-Signature").empty();
    std::string body;
    Failure failure;
    while (const std::optional<std::string> piece = stream.read(failure)) {
        if (piece->empty()) {
            record.isWhole = true;
            break;
        }
        body += *piece;
    }
    if (record.kind == RequestKind::stream)
        noteEvents(body, record);
    else
        record.namesRequest = body.ends_with(" for " + record.id);
}

bool Callers::isReady(std::size_t daemon)
{
    return *net::callOn(m_duty, [&] {
        net::HttpCallProgress progress;
        Failure failure;
        net::HttpCallOptions options;
        options.freshConnection = true;
        options.timeout = 1s;
        const auto response = m_client->call(m_site.readiness(daemon), { .method = "GET", .target = "/api/ready", .fields = {}, .body = {} }, options, progress, failure);
        return response && response->status == 200;
    });
}

std::vector<CallerRecord> Callers::records()
{
    return *net::callOn(m_duty, [this] { return m_records; });
}

}
