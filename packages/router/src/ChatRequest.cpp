#include "whinyard/router/ChatRequest.h"

#include "whinyard/base/Json.h"

#include <algorithm>

namespace whinyard::router {

namespace {

    using nlohmann::json;

    bool refuse(Failure& failure, std::string reason)
    {
        failure = { .kind = ErrorKind::malformedRequest, .reason = std::move(reason) };
        return false;
    }

    bool takeModel(const json& document, ChatRequest& request, Failure& failure)
    {
        const auto model = document.find("model");
        if (model == document.end() || !model->is_string())
            return refuse(failure, "/model: a string is required");
        request.model = model->get<std::string>();
        if (request.model.empty() || request.model.size() > largestModelName)
            return refuse(failure, "/model: 1 to " + std::to_string(largestModelName) + " bytes are allowed");
        return true;
    }

    bool isContent(const json& content)
    {
        if (content.is_null() || content.is_string())
            return true;
        return content.is_array() && std::all_of(content.begin(), content.end(), [](const json& part) { return part.is_object(); });
    }

    // Adds a message to the prompt's text in the form over which engines take their prefix digests.
    void addToPrompt(const json& message, std::string& prompt)
    {
        const json content = message.value("content", json());
        prompt += message["role"].get_ref<const std::string&>();
        prompt += ": ";
        prompt += content.is_string() ? content.get_ref<const std::string&>() : content.dump(-1, ' ', false, json::error_handler_t::replace);
        prompt += '\n';
    }

    bool takeMessages(const json& document, ChatRequest& request, Failure& failure)
    {
        const auto messages = document.find("messages");
        if (messages == document.end() || !messages->is_array() || messages->empty() || messages->size() > mostMessages)
            return refuse(failure, "/messages: a list of 1 to " + std::to_string(mostMessages) + " messages is required");
        for (std::size_t position = 0; position < messages->size(); ++position) {
            const json& message = (*messages)[position];
            const std::string path = "/messages/" + std::to_string(position);
            if (!message.is_object() || !message.contains("role") || !message["role"].is_string())
                return refuse(failure, path + "/role: a string is required");
            if (!isContent(message.value("content", json())))
                return refuse(failure, path + "/content: a string or a list of parts is allowed");
            addToPrompt(message, request.prompt);
        }
        return true;
    }

    bool takeOptions(const json& document, ChatRequest& request, Failure& failure)
    {
        const auto stream = document.find("stream");
        if (stream != document.end() && !stream->is_boolean())
            return refuse(failure, "/stream: true or false is allowed");
        request.stream = stream != document.end() && stream->get<bool>();
        const auto tokens = document.find("max_tokens");
        if (tokens == document.end())
            return true;
        if (!tokens->is_number_integer() || tokens->get<std::int64_t>() < 1 || tokens->get<std::int64_t>() > mostTokens)
            return refuse(failure, "/max_tokens: a whole number from 1 to " + std::to_string(mostTokens) + " is allowed");
        return true;
    }

}

std::optional<ChatRequest> parseChatRequest(std::string_view body, Failure& failure)
{
    ChatRequest request;
    request.document = parseUntrustedJson(body);
    if (!request.document.is_object()) {
        refuse(failure, "the body is no JSON object, or is nested more than " + std::to_string(deepestJson) + " levels");
        return std::nullopt;
    }
    if (!takeModel(request.document, request, failure) || !takeMessages(request.document, request, failure) || !takeOptions(request.document, request, failure))
        return std::nullopt;
    return request;
}

std::vector<PartDigest> messageParts(const ChatRequest& request)
{
    const json& messages = request.document.at("messages");
    std::vector<PartDigest> parts;
    for (std::size_t position = 0; position + 1 < messages.size() && position < mostParts; ++position) {
        std::string text;
        addToPrompt(messages[position], text);
        parts.push_back(digestOfPart({ request.model }, stableHash(text)));
    }
    return parts;
}

std::uint32_t estimatedTokens(const ChatRequest& request)
{
    constexpr std::size_t bytesPerToken = 4;
    return static_cast<std::uint32_t>(request.prompt.size() / bytesPerToken);
}

std::uint32_t expectedTokens(const ChatRequest& request)
{
    constexpr std::uint32_t usualAnswer = 256;
    const auto allowed = request.document.find("max_tokens");
    return estimatedTokens(request) + (allowed == request.document.end() ? usualAnswer : allowed->get<std::uint32_t>());
}

std::string engineBody(const ChatRequest& request, const VersionName& version, std::uint8_t priority)
{
    json document = request.document;
    document["model"] = version.value;
    document["priority"] = priority;
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string chunkText(std::string_view chunk)
{
    static const json::json_pointer place("/choices/0/delta/content");
    const json document = parseUntrustedJson(chunk);
    if (!document.is_object() || !document.contains(place) || !document.at(place).is_string())
        return {};
    return document.at(place).get<std::string>();
}

std::optional<TokenUsage> chunkUsage(std::string_view chunk)
{
    // Most chunks state none; looking for the name spares parsing them.
    if (chunk.find("\"usage\"") == std::string_view::npos)
        return std::nullopt;
    const json document = parseUntrustedJson(chunk);
    if (!document.is_object() || !document.contains("usage") || !document["usage"].is_object())
        return std::nullopt;
    const json& usage = document["usage"];
    const auto number = [&usage](const char* name) {
        const auto value = usage.find(name);
        return value != usage.end() && value->is_number_unsigned() ? value->get<std::uint64_t>() : 0;
    };
    return TokenUsage { number("prompt_tokens"), number("completion_tokens") };
}

}
