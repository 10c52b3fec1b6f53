#include "internal/PromptPrefix.h"

#include "whinyard/base/Identity.h"

namespace whinyard::router {

std::vector<std::uint64_t> promptPrefix(std::string_view prompt)
{
    constexpr std::size_t blockBytes = 64;
    constexpr std::size_t mostBlocks = 256;
    std::vector<std::uint64_t> chain;
    std::uint64_t digest = 0;
    for (; prompt.size() >= blockBytes && chain.size() < mostBlocks; prompt.remove_prefix(blockBytes)) {
        digest = stableHash(prompt.substr(0, blockBytes), digest);
        chain.push_back(digest);
    }
    return chain;
}

}
