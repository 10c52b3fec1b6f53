#include "AnswerText.h"

#include "whinyard/base/Identity.h"

#include <array>

namespace whinyard::standin {

namespace {

    constexpr std::size_t blockBytes = 64;
    constexpr std::size_t fewestTokens = 8;
    constexpr std::size_t spreadOfTokens = 41;

    constexpr std::array<std::string_view, 64> words {
        "lesson", "mentor", "report", "school", "term", "class", "pupil", "plan",
        "goal", "method", "pace", "voice", "board", "group", "task", "answer",
        "question", "note", "text", "book", "time", "week", "room", "place",
        "saw", "drill", "tool", "blade", "guard", "glove", "cable", "battery",
        "return", "order", "member", "shelf", "safe", "clean", "sharp", "worn",
        "check", "hold", "turn", "press", "wait", "open", "close", "begin",
        "clear", "calm", "short", "long", "first", "second", "next", "last",
        "with", "before", "after", "and", "or", "then", "while", "until"
    };

}

std::string promptText(const nlohmann::json& messages)
{
    std::string text;
    for (const auto& message : messages) {
        const auto content = message.value("content", nlohmann::json(""));
        text += message.value("role", "user") + ": ";
        text += content.is_string() ? content.get<std::string>() : content.dump();
        text += '\n';
    }
    return text;
}

std::vector<std::string> answerTokens(const Question& question)
{
    const std::uint64_t hash = stableHash(question.version + "\n" + promptText(question.messages), question.seed);
    const std::size_t count = fewestTokens + hash % spreadOfTokens;
    std::vector<std::string> tokens;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string_view word = words[stableHash(std::to_string(i), hash) % words.size()];
        tokens.push_back((i == 0 ? "" : " ") + std::string(word));
    }
    return tokens;
}

std::string answerText(const Question& question, std::size_t maxTokens)
{
    std::vector<std::string> tokens = answerTokens(question);
    if (maxTokens != 0 && tokens.size() > maxTokens)
        tokens.resize(maxTokens);
    std::string text;
    for (const std::string& token : tokens)
        text += token;
    return text;
}

std::size_t countTokens(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    std::size_t count = 0;
    std::size_t start = text.find_first_not_of(blanks);
    while (start != std::string_view::npos) {
        ++count;
        const std::size_t end = text.find_first_of(blanks, start);
        start = end == std::string_view::npos ? end : text.find_first_not_of(blanks, end);
    }
    return count;
}

std::vector<std::uint64_t> promptBlocks(std::string_view prompt)
{
    std::vector<std::uint64_t> chain;
    std::uint64_t digest = 0;
    for (; prompt.size() >= blockBytes; prompt.remove_prefix(blockBytes)) {
        digest = stableHash(prompt.substr(0, blockBytes), digest);
        chain.push_back(digest);
    }
    return chain;
}

}
