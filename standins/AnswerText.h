// The answers of the engines' stand-in as a pure function, so that a checker can tell the whole
// answer of a request beforehand.
//
// The engine stand-in, the proving program and tests use it.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::standin {

// What an answer is a function of.
struct Question {
    std::string version;
    nlohmann::json messages; // The array of the chat completion.
    std::uint64_t seed = 0; // The request's `seed`.
};

// Writes the messages as the one text that is hashed: `<role>: <content>` and a line feed for each.
// Content that isn't a string is written as compact JSON.
std::string promptText(const nlohmann::json& messages);

// Returns the answer's tokens. Let h = stableHash(version + "\n" + promptText(messages), seed). The
// answer has 8 + h % 41 tokens; token i is word stableHash("<i>", h) % 64 of a fixed list of 64,
// with a space before it unless i is 0.
std::vector<std::string> answerTokens(const Question& question);

// Returns the answer's text when at most `maxTokens` tokens are allowed; 0 sets no bound.
std::string answerText(const Question& question, std::size_t maxTokens = 0);

// Returns the number of words, which stand in for a prompt's tokens.
std::size_t countTokens(std::string_view text);

// Returns the chain of digests of a prompt's blocks of 64 bytes, a shorter rest left out. Each digest is
// that of its block, seeded with the digest before it.
std::vector<std::uint64_t> promptBlocks(std::string_view prompt);

}
