#include "whinyard/backing/HttpPlatform.h"

#include <deque>

#include <gtest/gtest.h>

namespace whinyard::backing {

namespace {

    using namespace std::chrono_literals;

    // Answers every call from a script and keeps what was asked.
    class ScriptedClient final : public net::HttpClient {
    public:
        std::deque<net::HttpResponse> answers; // Empty: the connection is lost.
        std::size_t bytesWritten = 100; // Reported of a lost connection.
        std::vector<net::HttpRequest> requests;

        std::optional<net::HttpResponse> call(const net::Address&, const net::HttpRequest& request, const net::HttpCallOptions&, net::HttpCallProgress& progress, Failure& failure) override
        {
            requests.push_back(request);
            progress.bytesWritten = bytesWritten;
            if (answers.empty()) {
                failure = { .kind = ErrorKind::endpointFailed, .reason = "connection lost" };
                return std::nullopt;
            }
            auto answer = answers.front();
            answers.pop_front();
            return answer;
        }

        std::unique_ptr<net::HttpStream> open(const net::Address&, const net::HttpRequest&, const net::HttpCallOptions&, net::HttpCallProgress&, Failure&) override { return nullptr; }
    };

    class HttpPlatformTest : public testing::Test {
    protected:
        void answer(int status, const std::string& body = "") { m_client.answers.push_back({ .status = status, .fields = {}, .body = body }); }

        ErrorKind swapFailure()
        {
            EXPECT_FALSE(m_store->swap({ .key = "a", .value = "1", .expected = 7 }, m_failure));
            return m_failure.kind;
        }

        ErrorKind readFailure()
        {
            EXPECT_FALSE(m_store->read("a", m_failure));
            return m_failure.kind;
        }

        ScriptedClient m_client;
        std::unique_ptr<KeyValueStore> m_store = makeHttpKeyValueStore(m_client, { .address = { "127.0.0.1", 1 } });
        Failure m_failure;
    };

}

TEST_F(HttpPlatformTest, TellsWhetherAMissingReplyMayHideAnEffect)
{
    EXPECT_EQ(swapFailure(), ErrorKind::storeUncertain);
    EXPECT_EQ(readFailure(), ErrorKind::storeUnavailable);
    EXPECT_FALSE(m_store->erase("a", 7, m_failure));
    EXPECT_EQ(m_failure.kind, ErrorKind::storeUncertain);
    m_client.bytesWritten = 0;
    EXPECT_EQ(swapFailure(), ErrorKind::storeUnavailable);
    EXPECT_EQ(m_failure.runState, RunState::notRun);
}

TEST_F(HttpPlatformTest, MapsEveryStatusOfAWrite)
{
    answer(503);
    EXPECT_EQ(swapFailure(), ErrorKind::storeUnavailable);
    answer(409, R"({"revision": 9})");
    EXPECT_EQ(swapFailure(), ErrorKind::swapConflict);
    answer(200, "{\"revis");
    EXPECT_EQ(swapFailure(), ErrorKind::storeUncertain);
    answer(500);
    EXPECT_EQ(swapFailure(), ErrorKind::storeUncertain);
    answer(200, R"({"revision": 8})");
    EXPECT_EQ(m_store->swap({ .key = "a", .value = "1", .expected = 7 }, m_failure), 8U);
    EXPECT_EQ(m_client.requests.back().body, R"({"expected":7,"key":"a","lease":0,"value":"1"})");
}

TEST_F(HttpPlatformTest, MapsEveryStatusOfARead)
{
    answer(503);
    EXPECT_EQ(readFailure(), ErrorKind::storeUnavailable);
    answer(404);
    EXPECT_EQ(readFailure(), ErrorKind::notFound);
    answer(200, R"({"value": 3, "revision": 9})");
    EXPECT_EQ(readFailure(), ErrorKind::corruptRecord);
    answer(200, R"({"value": "x", "revision": 9})");
    const auto record = m_store->read("intents/3 &x", m_failure);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->key, "intents/3 &x");
    EXPECT_EQ(record->value, "x");
    EXPECT_EQ(record->revision, 9U);
    EXPECT_EQ(m_client.requests.back().target, "/kv/read?key=intents%2F3%20%26x");
}

TEST_F(HttpPlatformTest, SendsNothingThatThePlatformCantHold)
{
    EXPECT_FALSE(m_store->swap({ .key = "a", .value = std::string(largestValue + 1, 'x') }, m_failure));
    EXPECT_EQ(m_failure.kind, ErrorKind::bodyTooLarge);
    EXPECT_FALSE(m_store->swap({ .key = "a", .value = "\xff" }, m_failure));
    EXPECT_EQ(m_failure.kind, ErrorKind::internalError);
    EXPECT_TRUE(m_client.requests.empty());
}

TEST_F(HttpPlatformTest, ListsWatchesAndKeepsLeases)
{
    answer(200, R"({"records": [{"key": "p/1", "value": "x", "revision": 2}]})");
    const auto records = m_store->list("p/", "p/0", 5, m_failure);
    ASSERT_TRUE(records);
    EXPECT_EQ(records->at(0).key, "p/1");
    answer(200, R"({"records": [{"key": "p/1", "value": "x"}]})");
    EXPECT_FALSE(m_store->list("p/", "", 5, m_failure));
    EXPECT_EQ(m_failure.kind, ErrorKind::corruptRecord);
    answer(204);
    EXPECT_FALSE(m_store->watch("p/1", 2, 1s, m_failure));
    EXPECT_EQ(m_failure.kind, ErrorKind::deadlineExceeded);
    EXPECT_EQ(m_client.requests.back().target, "/kv/watch?key=p%2F1&known=2&timeoutMs=1000");
    answer(200, R"({"lease": 4})");
    EXPECT_EQ(m_store->grantLease(1s, m_failure), LeaseId { 4 });
    answer(404);
    EXPECT_FALSE(m_store->keepLease({ 4 }, m_failure));
    EXPECT_EQ(m_failure.kind, ErrorKind::notFound);
}

TEST_F(HttpPlatformTest, ReadsTheInstanceListAndRatings)
{
    const auto list = makeHttpInstanceList(m_client, { .address = { "127.0.0.1", 1 } });
    answer(200, R"({"instances": [
        {"name": "e1", "kind": "engine", "address": "127.0.0.1:9", "zone": "z", "versions": ["v1"], "leaving": true},
        {"name": "s1", "kind": "service", "address": "127.0.0.1:10", "zone": "z", "service": "matches"}]})");
    const auto entries = list->fetch(m_failure);
    ASSERT_TRUE(entries);
    const ListedEndpoint engine { .name = { "e1" }, .kind = ListedKind::engine, .address = { "127.0.0.1", 9 }, .zone = { "z" }, .versions = { { "v1" } }, .service = {}, .leaving = true };
    EXPECT_EQ(entries->at(0), engine);
    EXPECT_EQ(entries->at(1).service.value, "matches");
    answer(200, R"({"instances": [{"name": "e1", "kind": "spare", "address": "127.0.0.1:9"}]})");
    EXPECT_FALSE(list->fetch(m_failure));
    EXPECT_EQ(m_failure.kind, ErrorKind::corruptRecord);

    const auto ratings = makeHttpRatingService(m_client, { .address = { "127.0.0.1", 1 } });
    answer(200, R"({"score": 0.25})");
    EXPECT_EQ(ratings->rate({ 1, 2 }, { "v1" }, "reports", "q", "a", 1s, m_failure), 0.25);
    answer(200, R"({"score": 2})");
    EXPECT_FALSE(ratings->rate({ 1, 2 }, { "v1" }, "reports", "q", "a", 1s, m_failure));
    EXPECT_EQ(m_failure.kind, ErrorKind::corruptRecord);
}

}
