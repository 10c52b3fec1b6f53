// One call to a backing service over HTTP with JSON both ways, and what its outcome says about its effect.
//
// The adapters to key-value services, instance lists and rating services use it.
#pragma once

#include "whinyard/net/HttpClient.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <string_view>

namespace whinyard::backing {

// Whether a call whose reply is missing may have changed something.
enum class CallEffect : std::uint8_t {
    none, // A read.
    write,
};

// A reply that came: its status, its fields, and its body if that is a JSON object.
struct JsonReply {
    int status = 0;
    nlohmann::json body; // Null when the body was no JSON object.
    std::vector<net::HttpField> fields;
};

// Where and how calls are made.
struct JsonCallOptions {
    net::Address address;
    std::chrono::milliseconds callTimeout { 500 };
    bool freshConnections = false; // One for each call, closed when the call ends.
};

// Makes calls to one address.
class JsonCalls {
public:
    JsonCalls(net::HttpClient& client, const JsonCallOptions& options);

    std::optional<JsonReply> get(const std::string& target, std::chrono::milliseconds timeout, Failure& failure) const;

    // Reads a reply that may be large. `timeout` bounds the wait for its begin, and callTimeout() each pause after that: a
    // configuration of a thousand routes takes a 10 Mbit/s link, which it shares with answers, a second and more, and a bound
    // of the whole read would begin it again for ever.
    std::optional<JsonReply> read(const std::string& target, std::chrono::milliseconds timeout, Failure& failure);

    // Ends every read() whose reply has not begun. One that has begun makes progress, or ends by its own bound.
    void interruptSilentReads();

    // `fields` are sent beside the usual ones.
    std::optional<JsonReply> post(const std::string& target, const nlohmann::json& body, CallEffect effect, std::chrono::milliseconds timeout, Failure& failure, std::vector<net::HttpField> fields = {}) const;
    std::optional<JsonReply> remove(const std::string& target, std::chrono::milliseconds timeout, Failure& failure) const;

    std::chrono::milliseconds callTimeout() const { return m_options.callTimeout; }

private:
    std::optional<JsonReply> call(const net::HttpRequest& request, CallEffect effect, std::chrono::milliseconds timeout, Failure& failure) const;
    net::HttpCallOptions optionsFor(std::chrono::milliseconds timeout) const;

    net::HttpClient& m_client;
    JsonCallOptions m_options;
    std::set<net::HttpCancellation*> m_silentReads; // Of the reads whose reply has not begun.
};

// Fills `failure` for a reply that the protocol doesn't foresee: corruptRecord for a read,
// storeUncertain for a write.
void failUnforeseen(const JsonReply& reply, CallEffect effect, Failure& failure);

// Returns a member of a JSON object when it is present with this type.
std::optional<std::string> textMember(const nlohmann::json& object, const char* name);
std::optional<std::uint64_t> numberMember(const nlohmann::json& object, const char* name);

// Writes `text` for use in a query (RFC 3986, section 2.1).
std::string percentEncoded(std::string_view text);

}
