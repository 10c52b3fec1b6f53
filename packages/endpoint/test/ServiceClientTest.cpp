#include "whinyard/endpoint/ServiceClient.h"

#include "whinyard/endpoint/FakeHttpClient.h"

#include <gtest/gtest.h>

namespace whinyard::endpoint {
namespace {

    // Guards also against connections that are kept for each call that may not be repeated, which uses none of them.
    TEST(ServiceClientTest, UsesAFreshConnectionUnlessTheCallIsRepeatable)
    {
        FakeHttpClient http;
        const auto client = makeHttpServiceClient(http);
        for (const bool repeatable : { false, true }) {
            http.exchanges.push_back({ .head = { .status = 500, .fields = {}, .body = {} }, .pieces = { "broken" } });
            AttemptAccount account;
            Failure failure;
            const auto response = client->call({ .attempt = {}, .service = {}, .request = {}, .repeatable = repeatable }, account, failure);
            ASSERT_TRUE(response) << "a whole answer counts whatever its status";
            EXPECT_EQ(response->body, "broken");
            EXPECT_TRUE(account.answeredWhole);
            EXPECT_EQ(http.options.back().freshConnection, !repeatable);
            EXPECT_EQ(http.options.back().lastRequest, !repeatable);
        }
    }

    TEST(ServiceClientTest, ReadsWhatTheServiceStatesInAnyAnswer)
    {
        FakeHttpClient http;
        const auto client = makeHttpServiceClient(http);
        for (const int status : { 200, 429, 500 }) {
            http.exchanges.push_back({ .head = { .status = status, .fields = { { "x-rate-limit", "1.5" } }, .body = {} }, .pieces = { "x" } });
            AttemptAccount account;
            Failure failure;
            client->call({}, account, failure);
            ASSERT_TRUE(account.statement);
            EXPECT_EQ(account.statement->requestsPerSecond, 1.5);
        }
        http.exchanges.push_back({ .connectionLost = true, .head = {}, .pieces = {} });
        AttemptAccount account;
        Failure failure;
        client->call({}, account, failure);
        EXPECT_FALSE(account.statement) << "no answer, no statement";
    }

    TEST(ServiceClientTest, SaysNotRunOnlyWithoutAWrittenByteOrOnALeavingRefusal)
    {
        const std::vector<std::pair<FakeExchange, RunState>> cases {
            { { .bytesWritten = 0, .connectionLost = true, .head = {}, .pieces = {} }, RunState::notRun },
            { { .bytesWritten = 1, .connectionLost = true, .head = {}, .pieces = {} }, RunState::unknown },
            { { .head = { .status = 503, .fields = { { "x-leaving", "1" } }, .body = {} }, .pieces = {} }, RunState::notRun },
        };
        FakeHttpClient http;
        const auto client = makeHttpServiceClient(http);
        for (const auto& [exchange, expected] : cases) {
            http.exchanges.push_back(exchange);
            AttemptAccount account;
            Failure failure;
            EXPECT_FALSE(client->call({}, account, failure));
            EXPECT_EQ(failure.runState, expected) << failure.reason;
        }
    }

}
}
