// Writes the answers of the path: whole ones, refusals and the pieces of streams.
#pragma once

#include "internal/RequestContext.h"
#include "whinyard/net/HttpServer.h"

namespace whinyard::router {

// The fields that a chat answer carries beside the request's identity.
struct ChatHead {
    VersionName version;
    std::string session; // The session's identity.
};

// Refuses the request by the table of kinds, with the run state that its attempts prove.
void refuse(RequestContext& context, const Failure& failure, net::HttpResponder& responder);

// Returns the fields that every answer to this request carries.
std::vector<net::HttpField> answerFields(const RequestContext& context);
std::vector<net::HttpField> answerFields(const RequestContext& context, const ChatHead& head);

// Sends a whole JSON answer. Returns false once the caller is gone.
bool sendJson(net::HttpResponder& responder, std::vector<net::HttpField> fields, std::string body);

// Begins a stream of server-sent events, writes a piece of it, and ends it by an error event
// without the end mark.
bool beginStream(net::HttpResponder& responder, std::vector<net::HttpField> fields);
bool writePiece(net::HttpResponder& responder, std::string_view data);
void endStreamByError(RequestContext& context, const Failure& failure, net::HttpResponder& responder);

// Writes a retry time in whole seconds, rounded up, as the field Retry-After wants it.
std::string retryAfterSeconds(std::chrono::milliseconds retryAfter);

}
