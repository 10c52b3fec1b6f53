#include "whinyard/backing/JsonCalls.h"

#include "whinyard/base/Json.h"

#include <array>
#include <utility>

namespace whinyard::backing {

namespace {

    // Both say that the service did nothing.
    constexpr int unavailableStatus = 503;
    constexpr int overRateStatus = 429;

    // A list of values up to their largest size; the limit only guards memory.
    constexpr std::size_t largestReply = 256 * 1'000'000;

    Failure missingReply(CallEffect effect, const net::HttpCallProgress& progress, const Failure& cause)
    {
        const bool mayHaveEffect = effect == CallEffect::write && progress.bytesWritten > 0;
        return {
            .kind = mayHaveEffect ? ErrorKind::storeUncertain : ErrorKind::storeUnavailable,
            .reason = "no reply from the platform: " + cause.reason,
            .runState = progress.bytesWritten > 0 ? RunState::unknown : RunState::notRun,
        };
    }

    nlohmann::json parsedObject(const std::string& body)
    {
        nlohmann::json parsed = parseUntrustedJson(body);
        return parsed.is_object() ? std::move(parsed) : nlohmann::json();
    }

    // Returns nothing with storeUnavailable for a status by which the service says that it did nothing.
    std::optional<JsonReply> judged(int status, const std::string& body, const std::vector<net::HttpField>& fields, Failure& failure)
    {
        if (status != unavailableStatus && status != overRateStatus)
            return JsonReply { status, parsedObject(body), fields };
        failure = { .kind = ErrorKind::storeUnavailable, .reason = "the service refused the call without effect, status " + std::to_string(status) };
        return std::nullopt;
    }

    bool isUnreserved(char character)
    {
        const bool letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        const bool digit = character >= '0' && character <= '9';
        return letter || digit || std::string_view("-._~").find(character) != std::string_view::npos;
    }

}

JsonCalls::JsonCalls(net::HttpClient& client, const JsonCallOptions& options)
    : m_client(client)
    , m_options(options)
{
}

std::optional<JsonReply> JsonCalls::get(const std::string& target, std::chrono::milliseconds timeout, Failure& failure) const
{
    return call({ .method = "GET", .target = target, .fields = {}, .body = {} }, CallEffect::none, timeout, failure);
}

std::optional<JsonReply> JsonCalls::read(const std::string& target, std::chrono::milliseconds timeout, Failure& failure)
{
    net::HttpCancellation cancellation;
    net::HttpCallOptions options = optionsFor(timeout);
    options.cancellation = &cancellation;
    net::HttpCallProgress progress;
    Failure cause;
    m_silentReads.insert(&cancellation);
    const auto stream = m_client.open(m_options.address, { .method = "GET", .target = target, .fields = {}, .body = {} }, options, progress, cause);
    m_silentReads.erase(&cancellation);
    const std::optional<std::string> body = stream ? net::readToEnd(*stream, cause) : std::nullopt;
    if (body)
        return judged(stream->head().status, *body, stream->head().fields, failure);
    failure = missingReply(CallEffect::none, progress, cause);
    return std::nullopt;
}

void JsonCalls::interruptSilentReads()
{
    for (net::HttpCancellation* silent : m_silentReads)
        silent->cancel();
}

std::optional<JsonReply> JsonCalls::post(const std::string& target, const nlohmann::json& body, CallEffect effect, std::chrono::milliseconds timeout, Failure& failure, std::vector<net::HttpField> fields) const
{
    fields.push_back({ "Content-Type", "application/json" });
    net::HttpRequest request { .method = "POST", .target = target, .fields = std::move(fields), .body = {} };
    try {
        request.body = body.dump();
    } catch (const nlohmann::json::exception&) {
        failure = { .kind = ErrorKind::internalError, .reason = "a text for the platform isn't UTF-8; nothing was sent" };
        return std::nullopt;
    }
    return call(request, effect, timeout, failure);
}

std::optional<JsonReply> JsonCalls::remove(const std::string& target, std::chrono::milliseconds timeout, Failure& failure) const
{
    return call({ .method = "DELETE", .target = target, .fields = {}, .body = {} }, CallEffect::write, timeout, failure);
}

std::optional<JsonReply> JsonCalls::call(const net::HttpRequest& request, CallEffect effect, std::chrono::milliseconds timeout, Failure& failure) const
{
    net::HttpCallProgress progress;
    Failure cause;
    const auto response = m_client.call(m_options.address, request, optionsFor(timeout), progress, cause);
    if (response)
        return judged(response->status, response->body, response->fields, failure);
    failure = missingReply(effect, progress, cause);
    return std::nullopt;
}

net::HttpCallOptions JsonCalls::optionsFor(std::chrono::milliseconds timeout) const
{
    return {
        .connectTimeout = std::min(timeout, m_options.callTimeout),
        .timeout = timeout,
        .pieceTimeout = m_options.callTimeout,
        .freshConnection = m_options.freshConnections,
        .lastRequest = m_options.freshConnections,
        .findsDeadPeer = true,
        .needsStatedEnd = true,
        .bodyLimit = largestReply,
    };
}

void failUnforeseen(const JsonReply& reply, CallEffect effect, Failure& failure)
{
    failure = {
        .kind = effect == CallEffect::write ? ErrorKind::storeUncertain : ErrorKind::corruptRecord,
        .reason = "the platform's reply can't be understood, status " + std::to_string(reply.status),
        .runState = RunState::unknown,
    };
}

std::optional<std::string> textMember(const nlohmann::json& object, const char* name)
{
    const auto member = object.find(name);
    if (member == object.end() || !member->is_string())
        return std::nullopt;
    return member->get<std::string>();
}

std::optional<std::uint64_t> numberMember(const nlohmann::json& object, const char* name)
{
    const auto member = object.find(name);
    if (member == object.end() || !member->is_number_unsigned())
        return std::nullopt;
    return member->get<std::uint64_t>();
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::array digits { '0', '1', '2', '3', '4', '5', '6', '7', '8', '9', 'A', 'B', 'C', 'D', 'E', 'F' };
    std::string encoded;
    for (const char character : text) {
        if (isUnreserved(character)) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += { '%', digits[byte >> 4], digits[byte & 0xF] };
    }
    return encoded;
}

}
