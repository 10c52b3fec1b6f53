// Calls the administration API of whichever instance answers.
//
// Every command that asks the fleet uses it.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/net/Duty.h"
#include "whinyard/net/HttpClient.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace whinyard::command {

// Whom to ask, and as whom.
struct Connection {
    std::vector<net::Address> instances; // Tried in order.
    std::string operatorName;
    std::string operatorKey;
};

// What the command line says of a connection, before it is checked.
struct ConnectionOptions {
    std::vector<std::string> instances;
    std::string operatorName;
    std::string keyFile; // Empty: the key stands in the environment.
};

// The environment variable that holds the operator's key.
inline constexpr const char* keyVariable = "WHINYARD_OPERATOR_KEY";

// Reads addresses and key. A key never comes from the command line.
std::optional<Connection> parseConnection(const ConnectionOptions& options, Failure& failure);

// A parameter of a call's query.
using Parameter = std::pair<std::string, std::string>;

class AdminClient {
public:
    explicit AdminClient(Connection connection);
    ~AdminClient();

    // Calls instances in their order until one answers. Every call may be repeated: a submission carries
    // its identity. Returns nothing when none answered.
    std::optional<net::HttpResponse> call(const std::string& method, const std::string& path, const std::vector<Parameter>& query, const std::string& body, Failure& failure);

    // Calls with GET and returns the JSON of an answer with status 200; else the reason that the API gave.
    std::optional<nlohmann::ordered_json> get(const std::string& path, const std::vector<Parameter>& query, Failure& failure);

private:
    Connection m_connection;
    net::Duty m_duty;
    std::unique_ptr<net::HttpClient> m_client;
};

// Reads the error of an answer of the API.
Failure failureOf(const net::HttpResponse& response);

}
