// Makes the strategies that the product is compared with.
#pragma once

#include "internal/Strategy.h"

namespace whinyard::replay {

std::unique_ptr<Strategy> makeBaseline(StrategyKind kind, World& world, std::uint64_t seed);

}
