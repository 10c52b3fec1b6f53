#include "whinyard/peer/Codec.h"

#include <algorithm>

namespace whinyard::peer {

std::optional<std::vector<PeerKey>> loadPeerKeys(const std::vector<settings::KeySource>& sources, Failure& failure)
{
    std::vector<PeerKey> keys;
    for (const settings::KeySource& source : sources) {
        const auto isSame = [&](const PeerKey& key) { return key.number == source.number; };
        if (std::any_of(keys.begin(), keys.end(), isSame)) {
            failure = { ErrorKind::invalidSettings, "peer key number " + std::to_string(source.number) + " is given twice" };
            return std::nullopt;
        }
        const std::optional<std::string> secret = settings::loadKey(source, failure);
        if (!secret)
            return std::nullopt;
        keys.push_back({ source.number, *secret });
    }
    if (keys.empty()) {
        failure = { ErrorKind::invalidSettings, "at least one peer key is required" };
        return std::nullopt;
    }
    return keys;
}

}
