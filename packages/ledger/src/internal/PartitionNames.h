// Format names of the records that PartitionLog writes besides head and segments.
#pragma once

#include <string_view>

namespace whinyard::ledger {

inline constexpr std::string_view answerFormat = "whinyard-answer-1";
inline constexpr std::string_view usageFormat = "whinyard-usage-1";

}
