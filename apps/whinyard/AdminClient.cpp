#include "AdminClient.h"

#include "whinyard/settings/DaemonSettings.h"

#include <cctype>
#include <cstdlib>

namespace whinyard::command {

namespace {

    constexpr std::chrono::milliseconds connectTimeout { 1'000 };
    constexpr std::chrono::milliseconds callTimeout { 20'000 }; // Longer than the repository tries a submission.

    std::string encode(const std::string& text)
    {
        constexpr std::string_view digits = "0123456789ABCDEF";
        std::string encoded;
        for (const char character : text) {
            const auto byte = static_cast<unsigned char>(character);
            if (std::isalnum(byte) || character == '-' || character == '_' || character == '.' || character == '~') {
                encoded += character;
            } else {
                encoded += '%';
                encoded += digits[byte >> 4U];
                encoded += digits[byte & 0xFU];
            }
        }
        return encoded;
    }

    std::string targetOf(const std::string& path, const std::vector<Parameter>& query)
    {
        std::string target = path;
        char separator = '?';
        for (const auto& [name, value] : query) {
            if (value.empty())
                continue;
            target += separator + encode(name) + "=" + encode(value);
            separator = '&';
        }
        return target;
    }

}

std::optional<Connection> parseConnection(const ConnectionOptions& options, Failure& failure)
{
    Connection connection;
    for (const std::string& text : options.instances) {
        const auto address = net::parseAddress(text, failure);
        if (!address)
            return std::nullopt;
        connection.instances.push_back(*address);
    }
    connection.operatorName = options.operatorName;
    if (options.keyFile.empty() && !std::getenv(keyVariable)) {
        failure = { ErrorKind::invalidSettings, std::string("no key: give --key-file or set ") + keyVariable };
        return std::nullopt;
    }
    const auto key = settings::loadKey({ 1, options.keyFile, options.keyFile.empty() ? keyVariable : "" }, failure);
    if (!key)
        return std::nullopt;
    connection.operatorKey = *key;
    return connection;
}

AdminClient::AdminClient(Connection connection)
    : m_connection(std::move(connection))
    , m_duty("admin-client")
{
    net::runOn(m_duty, [this] { m_client = net::HttpClient::create(m_duty); });
}

AdminClient::~AdminClient()
{
    net::runOn(m_duty, [this] { m_client.reset(); });
}

std::optional<net::HttpResponse> AdminClient::call(const std::string& method, const std::string& path, const std::vector<Parameter>& query, const std::string& body, Failure& failure)
{
    net::HttpRequest request { method, targetOf(path, query), {}, body };
    request.fields = { { "Authorization", "Bearer " + m_connection.operatorName + ":" + m_connection.operatorKey }, { "Content-Type", "application/json" } };
    net::HttpCallOptions options;
    options.connectTimeout = connectTimeout;
    options.timeout = callTimeout;
    std::string reasons;
    for (const net::Address& address : m_connection.instances) {
        std::optional<net::HttpResponse> response;
        net::HttpCallProgress progress;
        net::runOn(m_duty, [&] { response = m_client->call(address, request, options, progress, failure); });
        if (response)
            return response;
        reasons += "\n" + net::toText(address) + ": " + failure.reason;
    }
    failure.reason = "no instance answered:" + reasons;
    return std::nullopt;
}

std::optional<nlohmann::ordered_json> AdminClient::get(const std::string& path, const std::vector<Parameter>& query, Failure& failure)
{
    constexpr int okay = 200;
    const auto response = call("GET", path, query, "", failure);
    if (!response)
        return std::nullopt;
    if (response->status != okay) {
        failure = failureOf(*response);
        return std::nullopt;
    }
    auto json = nlohmann::ordered_json::parse(response->body, nullptr, false);
    if (!json.is_discarded())
        return json;
    failure = { ErrorKind::corruptRecord, "the answer is no JSON" };
    return std::nullopt;
}

Failure failureOf(const net::HttpResponse& response)
{
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    Failure failure;
    failure.reason = "status " + std::to_string(response.status);
    if (!json.is_object() || !json.contains("error") || !json["error"].is_object())
        return failure;
    const auto& error = json["error"];
    failure.kind = errorKindNamed(error.value("kind", "")).value_or(ErrorKind::internalError);
    failure.reason = error.value("kind", "") + ": " + error.value("message", "");
    return failure;
}

}
