// Fills the account of an attempt from what the HTTP client reports and the answer's head says; shared by both clients.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/endpoint/Attempt.h"
#include "whinyard/net/HttpClient.h"

namespace whinyard::endpoint {

// The field that carries the identity of an attempt.
inline constexpr const char* attemptField = "X-Attempt";

// Takes over what was written and whether an answer began.
void fillAccount(const net::HttpCallProgress& progress, AttemptAccount& account);

// Takes over what the endpoint states of itself in the head of an answer.
void noteStatement(const net::HttpResponse& head, AttemptAccount& account);

// Returns whether `response` is the refusal of an endpoint that is leaving.
bool isLeavingRefusal(const net::HttpResponse& response);

// Notes the refusal of a leaving endpoint.
void refuseAsLeaving(AttemptAccount& account, Failure& failure);

}
