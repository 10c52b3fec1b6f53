// Sends one request to one instance and notes how it ended for its caller.
//
// LoadRun uses it.
#pragma once

#include "Observations.h"

#include "whinyard/base/Clock.h"
#include "whinyard/net/HttpClient.h"

#include <string>

namespace whinyard::standin {

// The answer with the parts that only chats have.
struct ChatReply {
    CallerAnswer answer {};
    std::string version {}; // X-Whinyard-Version.
    std::string session {}; // X-Whinyard-Session.
    std::string text {}; // Of a whole answer.
    std::size_t completionTokens = 0; // Of a whole answer.
};

class Caller {
public:
    Caller(net::HttpClient& client, const Clock& clock);

    // Sends a chat completion. A stream is whole when it ends with its end mark. A caller without
    // patience goes away after the first bytes of the answer.
    ChatReply chat(const net::Address& instance, const std::string& key, const std::string& session, const nlohmann::json& body, bool patient);

    // Calls a plain service.
    CallerAnswer call(const net::Address& instance, const std::string& key, const std::string& target, const std::string& idempotencyKey, const nlohmann::json& body);

private:
    struct Reply {
        CallerAnswer answer; // With the body as it came, whatever the outcome.
        std::vector<net::HttpField> fields;
    };

    Reply send(const net::Address& instance, const net::HttpRequest& request, bool patient = true);

    net::HttpClient& m_client;
    const Clock& m_clock;
};

}
