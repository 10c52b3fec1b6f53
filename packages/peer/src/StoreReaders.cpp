#include "whinyard/peer/StoreReaders.h"

namespace whinyard::peer {

bool mayReadStore(const InstanceName& self, std::size_t instances, SteadyTime now)
{
    if (instances <= mostStoreReaders)
        return true;
    const auto window = static_cast<std::uint64_t>(now.time_since_epoch() / storeReadWindow);
    return stableHash(self.value, window) % instances < mostStoreReaders;
}

}
