// A service client for tests of the router: a test sets what each call meets, and reads what was sent.
#pragma once

#include "whinyard/endpoint/ServiceClient.h"

#include <deque>
#include <functional>
#include <vector>

namespace whinyard::endpoint {

struct FakeServiceTurn {
    AttemptAccount account { .bytesWritten = 100 };
    std::optional<Failure> failure;
    net::HttpResponse response;
    std::function<void()> before; // Runs when the call arrives.
};

class FakeServiceClient final : public ServiceClient {
public:
    std::deque<FakeServiceTurn> turns;
    std::vector<ServiceCall> calls;

    std::optional<net::HttpResponse> call(const ServiceCall& call, AttemptAccount& account, Failure& failure) override
    {
        calls.push_back(call);
        if (turns.empty()) {
            account.bytesWritten = 1;
            failure = { .kind = ErrorKind::internalError, .reason = "the test expected no call", .runState = RunState::unknown };
            return std::nullopt;
        }
        const FakeServiceTurn turn = std::move(turns.front());
        turns.pop_front();
        if (turn.before)
            turn.before();
        account = turn.account;
        if (turn.failure) {
            failure = *turn.failure;
            return std::nullopt;
        }
        account.answeredWhole = true;
        return turn.response;
    }
};

}
