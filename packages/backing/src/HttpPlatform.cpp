#include "whinyard/backing/HttpPlatform.h"

#include "whinyard/backing/JsonCalls.h"

namespace whinyard::backing {

namespace {

    using nlohmann::json;

    constexpr int ok = 200;
    constexpr int noContent = 204;
    constexpr int notFoundStatus = 404;
    constexpr int conflictStatus = 409;

    std::optional<Record> recordFrom(const std::string& key, const json& body)
    {
        auto value = textMember(body, "value");
        const auto revision = numberMember(body, "revision");
        if (!value || !revision)
            return std::nullopt;
        return Record { key, std::move(*value), *revision };
    }

    std::optional<std::vector<Record>> recordsFrom(const json& body)
    {
        const auto member = body.find("records");
        if (member == body.end() || !member->is_array())
            return std::nullopt;
        std::vector<Record> records;
        for (const json& entry : *member) {
            const auto key = entry.is_object() ? textMember(entry, "key") : std::nullopt;
            auto record = key ? recordFrom(*key, entry) : std::nullopt;
            if (!record)
                return std::nullopt;
            records.push_back(std::move(*record));
        }
        return records;
    }

    class HttpKeyValueStore final : public KeyValueStore {
    public:
        HttpKeyValueStore(net::HttpClient& client, const HttpPlatformOptions& options)
            : m_calls(client, options)
        {
        }

        std::optional<Record> read(const std::string& key, Failure& failure) override
        {
            const auto reply = m_calls.get("/kv/read?key=" + percentEncoded(key), m_calls.callTimeout(), failure);
            if (!reply)
                return std::nullopt;
            if (reply->status == notFoundStatus) {
                failure = { .kind = ErrorKind::notFound, .reason = "no record " + key };
                return std::nullopt;
            }
            return decodedRecord(key, *reply, failure);
        }

        std::optional<Revision> swap(const Swap& swap, Failure& failure) override
        {
            if (swap.value.size() > largestValue) {
                failure = { .kind = ErrorKind::bodyTooLarge, .reason = "the value of " + swap.key + " is too large; nothing was sent" };
                return std::nullopt;
            }
            const json body { { "key", swap.key }, { "value", swap.value }, { "expected", swap.expected.number }, { "lease", swap.lease.number } };
            const auto reply = write("/kv/swap", body, failure);
            if (!reply)
                return std::nullopt;
            const auto revision = numberMember(reply->body, "revision");
            if (!revision)
                failUnforeseen(*reply, CallEffect::write, failure);
            return revision;
        }

        bool erase(const std::string& key, Revision expected, Failure& failure) override
        {
            return write("/kv/erase", { { "key", key }, { "expected", expected.number } }, failure).has_value();
        }

        std::optional<std::vector<Record>> list(const std::string& prefix, const std::string& after, std::size_t limit, Failure& failure) override
        {
            const std::string target = "/kv/list?prefix=" + percentEncoded(prefix) + "&after=" + percentEncoded(after) + "&limit=" + std::to_string(limit);
            const auto reply = m_calls.get(target, m_calls.callTimeout(), failure);
            if (!reply)
                return std::nullopt;
            auto records = reply->status == ok ? recordsFrom(reply->body) : std::nullopt;
            if (!records)
                failUnforeseen(*reply, CallEffect::none, failure);
            return records;
        }

        std::optional<Record> watch(const std::string& key, Revision known, std::chrono::milliseconds timeout, Failure& failure) override
        {
            const std::string target = "/kv/watch?key=" + percentEncoded(key) + "&known=" + std::to_string(known.number) + "&timeoutMs=" + std::to_string(timeout.count());
            const auto reply = m_calls.get(target, timeout + m_calls.callTimeout(), failure);
            if (!reply)
                return std::nullopt;
            if (reply->status == noContent) {
                failure = { .kind = ErrorKind::deadlineExceeded, .reason = "no change of " + key };
                return std::nullopt;
            }
            return decodedRecord(key, *reply, failure);
        }

        std::optional<LeaseId> grantLease(std::chrono::milliseconds timeToLive, Failure& failure) override
        {
            const auto reply = write("/kv/lease", { { "timeToLiveMs", timeToLive.count() } }, failure);
            if (!reply)
                return std::nullopt;
            const auto number = numberMember(reply->body, "lease");
            if (!number) {
                failUnforeseen(*reply, CallEffect::write, failure);
                return std::nullopt;
            }
            return LeaseId { *number };
        }

        bool keepLease(LeaseId lease, Failure& failure) override
        {
            const auto reply = m_calls.post("/kv/keep", { { "lease", lease.number } }, CallEffect::write, m_calls.callTimeout(), failure);
            if (!reply)
                return false;
            if (reply->status == ok)
                return true;
            if (reply->status == notFoundStatus)
                failure = { .kind = ErrorKind::notFound, .reason = "the lease has lapsed" };
            else
                failUnforeseen(*reply, CallEffect::write, failure);
            return false;
        }

    private:
        // Returns the reply to a write that took effect.
        std::optional<JsonReply> write(const std::string& target, const json& body, Failure& failure)
        {
            auto reply = m_calls.post(target, body, CallEffect::write, m_calls.callTimeout(), failure);
            if (!reply || reply->status == ok)
                return reply;
            if (reply->status == conflictStatus)
                failure = { .kind = ErrorKind::swapConflict, .reason = "another revision stands" };
            else
                failUnforeseen(*reply, CallEffect::write, failure);
            return std::nullopt;
        }

        static std::optional<Record> decodedRecord(const std::string& key, const JsonReply& reply, Failure& failure)
        {
            auto record = reply.status == ok ? recordFrom(key, reply.body) : std::nullopt;
            if (!record)
                failUnforeseen(reply, CallEffect::none, failure);
            return record;
        }

        JsonCalls m_calls;
    };

    std::optional<ListedKind> kindNamed(const std::string& name)
    {
        if (name == "engine")
            return ListedKind::engine;
        if (name == "service")
            return ListedKind::service;
        if (name == "instance")
            return ListedKind::instance;
        return std::nullopt;
    }

    // Returns nothing when a required member is missing; unknown members are passed over, since the
    // list is the platform's and may grow.
    std::optional<ListedEndpoint> listedFrom(const json& entry)
    {
        if (!entry.is_object())
            return std::nullopt;
        const auto name = textMember(entry, "name");
        const auto kind = kindNamed(textMember(entry, "kind").value_or(""));
        Failure unused;
        const auto address = net::parseAddress(textMember(entry, "address").value_or(""), unused);
        if (!name || !kind || !address)
            return std::nullopt;
        ListedEndpoint listed { .name = { *name }, .kind = *kind, .address = *address, .zone = { textMember(entry, "zone").value_or("") }, .versions = {}, .service = { textMember(entry, "service").value_or("") } };
        const json versions = entry.value("versions", json::array());
        for (const json& version : versions) {
            if (!version.is_string())
                return std::nullopt;
            listed.versions.push_back({ version.get<std::string>() });
        }
        const auto leaving = entry.find("leaving");
        listed.leaving = leaving != entry.end() && leaving->is_boolean() && leaving->get<bool>();
        return listed;
    }

    std::optional<std::vector<ListedEndpoint>> listFrom(const json& body)
    {
        const auto member = body.find("instances");
        if (member == body.end() || !member->is_array())
            return std::nullopt;
        std::vector<ListedEndpoint> list;
        for (const json& entry : *member) {
            auto listed = listedFrom(entry);
            if (!listed)
                return std::nullopt;
            list.push_back(std::move(*listed));
        }
        return list;
    }

    class HttpInstanceList final : public InstanceList {
    public:
        HttpInstanceList(net::HttpClient& client, const HttpPlatformOptions& options)
            : m_calls(client, options)
        {
        }

        std::optional<std::vector<ListedEndpoint>> fetch(Failure& failure) override
        {
            const auto reply = m_calls.get("/instances", m_calls.callTimeout(), failure);
            if (!reply)
                return std::nullopt;
            auto list = reply->status == ok ? listFrom(reply->body) : std::nullopt;
            if (!list)
                failUnforeseen(*reply, CallEffect::none, failure);
            return list;
        }

    private:
        JsonCalls m_calls;
    };

    class HttpRatingService final : public RatingService {
    public:
        HttpRatingService(net::HttpClient& client, const HttpPlatformOptions& options)
            : m_calls(client, options)
        {
        }

        std::optional<double> rate(const RequestId& request, const VersionName& version, const std::string& application, const std::string& question, const std::string& answer, std::chrono::milliseconds timeout, Failure& failure) override
        {
            const json body { { "request", toText(request) }, { "version", version.value }, { "application", application }, { "question", question }, { "answer", answer } };
            // A rating changes nothing, so a missing reply is no uncertain write.
            const auto reply = m_calls.post("/rate", body, CallEffect::none, timeout, failure);
            if (!reply)
                return std::nullopt;
            const auto score = reply->body.find("score");
            if (reply->status != ok || score == reply->body.end() || !score->is_number() || score->get<double>() < 0 || score->get<double>() > 1) {
                failUnforeseen(*reply, CallEffect::none, failure);
                return std::nullopt;
            }
            return score->get<double>();
        }

    private:
        JsonCalls m_calls;
    };

}

std::unique_ptr<KeyValueStore> makeHttpKeyValueStore(net::HttpClient& client, const HttpPlatformOptions& options)
{
    return std::make_unique<HttpKeyValueStore>(client, options);
}

std::unique_ptr<InstanceList> makeHttpInstanceList(net::HttpClient& client, const HttpPlatformOptions& options)
{
    return std::make_unique<HttpInstanceList>(client, options);
}

std::unique_ptr<RatingService> makeHttpRatingService(net::HttpClient& client, const HttpPlatformOptions& options)
{
    return std::make_unique<HttpRatingService>(client, options);
}

}
