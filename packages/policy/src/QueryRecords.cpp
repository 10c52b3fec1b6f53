#include "whinyard/policy/QueryRecords.h"

#include "whinyard/base/Json.h"

#include <algorithm>

namespace whinyard::policy {

using nlohmann::json;
using std::chrono::milliseconds;

std::string writeQueryVerdict(const QueryVerdict& verdict, std::chrono::system_clock::time_point now)
{
    json lives = json::array();
    for (const EndpointLife life : verdict.lives)
        lives.push_back(life.digest);
    const auto until = std::chrono::duration_cast<milliseconds>((now + verdict.left).time_since_epoch());
    const json object = { { "service", verdict.service.value }, { "lives", lives }, { "untilMs", until.count() }, { "sinceMs", std::chrono::duration_cast<milliseconds>((now - verdict.sinceAgo).time_since_epoch()).count() } };
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<QueryVerdict> readQueryVerdict(const RequestDigest& request, std::string_view text, std::chrono::system_clock::time_point now)
{
    const json object = parseUntrustedJson(text);
    if (!object.is_object())
        return std::nullopt;
    try {
        QueryVerdict verdict;
        verdict.request = request;
        verdict.service.value = object.at("service").get<std::string>();
        for (const json& life : object.at("lives"))
            verdict.lives.push_back({ life.get<std::uint64_t>() });
        const milliseconds present = std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
        verdict.left = milliseconds(object.at("untilMs").get<std::int64_t>()) - present;
        verdict.sinceAgo = std::max(milliseconds(0), present - milliseconds(object.value("sinceMs", present.count())));
        return verdict;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

}
