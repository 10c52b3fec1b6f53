#include "whinyard/ledger/StoreCall.h"

namespace whinyard::ledger {

StoreReply execute(backing::KeyValueStore& store, const StoreCall& call)
{
    StoreReply reply;
    Failure failure;
    switch (call.kind) {
    case StoreCallKind::read:
        reply.record = store.read(call.key, failure);
        if (!reply.record)
            reply.failure = failure;
        break;
    case StoreCallKind::swap: {
        const auto revision = store.swap({ .key = call.key, .value = call.value, .expected = call.expected, .lease = {} }, failure);
        if (revision)
            reply.revision = *revision;
        else
            reply.failure = failure;
        break;
    }
    case StoreCallKind::erase:
        if (!store.erase(call.key, call.expected, failure))
            reply.failure = failure;
        break;
    }
    return reply;
}

}
