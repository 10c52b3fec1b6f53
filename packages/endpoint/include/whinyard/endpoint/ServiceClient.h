// Calls of plain services, with the exact account of whether a call can have run.
//
// The router uses it; tests put a hand-written fake in its place.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/endpoint/Attempt.h"
#include "whinyard/net/HttpClient.h"

#include <chrono>
#include <memory>
#include <optional>

namespace whinyard::endpoint {

// One attempt of a call.
struct ServiceCall {
    AttemptId attempt;
    net::Address service;
    net::HttpRequest request; // Method, path at the service, the fields to pass on, and the body.
    bool repeatable = false; // Only a repeatable call may use a kept connection.
    std::chrono::milliseconds timeout { 30'000 };
};

class ServiceClient {
public:
    virtual ~ServiceClient() = default;

    // Makes the call once; `account` is filled in every case. Any whole answer is returned,
    // whatever its status, except the refusal of a leaving endpoint, which is noEndpoint.
    virtual std::optional<net::HttpResponse> call(const ServiceCall& call, AttemptAccount& account, Failure& failure) = 0;
};

// Makes the implementation over HTTP; `client` must outlive it.
std::unique_ptr<ServiceClient> makeHttpServiceClient(net::HttpClient& client);

}
