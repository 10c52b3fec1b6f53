// The JSON of chat completions as the engines' stand-in reads and writes it.
//
// EngineStandIn.cpp uses it.
#pragma once

#include "BatchingEngine.h"

#include <nlohmann/json.hpp>

#include <string>

namespace whinyard::standin {

// Makes the generation that a request asks for. A body of another shape throws nlohmann::json::exception.
Generation generationOf(const std::string& attempt, const nlohmann::json& body);

// Returns the whole answer of a finished generation.
nlohmann::json wholeAnswer(const Generation& generation);

// Returns a chunk of a stream.
nlohmann::json chunkOf(const Generation& generation, const nlohmann::json& delta, const nlohmann::json& finish);

// Returns the piece at `offset`: a token each, and after the last token one with the reason of the
// end and the usage.
nlohmann::json pieceOf(const Generation& generation, std::size_t offset);

// Writes a server-sent event with the id `<attempt>:<offset>`.
std::string eventText(const std::string& attempt, std::size_t offset, const std::string& data);

}
