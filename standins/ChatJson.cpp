#include "ChatJson.h"

#include "AnswerText.h"

namespace whinyard::standin {

using nlohmann::json;

namespace {

    json usageOf(const Generation& generation)
    {
        return {
            { "prompt_tokens", generation.promptTokens },
            { "completion_tokens", generation.produced },
            { "total_tokens", generation.promptTokens + generation.produced },
        };
    }

    std::string finishReason(const Generation& generation)
    {
        return generation.truncated ? "length" : "stop";
    }

}

json chunkOf(const Generation& generation, const json& delta, const json& finish)
{
    return {
        { "id", "chatcmpl-" + generation.attempt },
        { "object", "chat.completion.chunk" },
        { "model", generation.version },
        { "choices", json::array({ { { "index", 0 }, { "delta", delta }, { "finish_reason", finish } } }) },
    };
}

json pieceOf(const Generation& generation, std::size_t offset)
{
    if (offset < generation.tokens.size()) {
        json delta { { "content", generation.tokens[offset] } };
        if (offset == 0)
            delta["role"] = "assistant";
        return chunkOf(generation, delta, nullptr);
    }
    json chunk = chunkOf(generation, json::object(), finishReason(generation));
    chunk["usage"] = usageOf(generation);
    return chunk;
}

json wholeAnswer(const Generation& generation)
{
    std::string text;
    for (const std::string& token : generation.tokens)
        text += token;
    const json message { { "role", "assistant" }, { "content", text } };
    return {
        { "id", "chatcmpl-" + generation.attempt },
        { "object", "chat.completion" },
        { "model", generation.version },
        { "choices", json::array({ { { "index", 0 }, { "message", message }, { "finish_reason", finishReason(generation) } } }) },
        { "usage", usageOf(generation) },
    };
}

std::string eventText(const std::string& attempt, std::size_t offset, const std::string& data)
{
    return "id: " + attempt + ":" + std::to_string(offset) + "\ndata: " + data + "\n\n";
}

Generation generationOf(const std::string& attempt, const json& body)
{
    const Question question { body.at("model").get<std::string>(), body.at("messages"), body.value("seed", std::uint64_t { 0 }) };
    const std::string prompt = promptText(question.messages);
    Generation generation {
        .attempt = attempt,
        .version = question.version,
        .priority = body.value("priority", 1U),
        .tokens = answerTokens(question),
        .promptTokens = countTokens(prompt),
        .prompt = promptBlocks(prompt),
    };
    const auto maxTokens = body.value("max_tokens", std::size_t { 0 });
    if (maxTokens != 0 && generation.tokens.size() > maxTokens) {
        generation.tokens.resize(maxTokens);
        generation.truncated = true;
    }
    return generation;
}

}
