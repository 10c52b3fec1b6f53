#include "whinyard/backing/WatchableStore.h"

#include <utility>

namespace whinyard::backing {

std::optional<RecordPage> readAll(WatchableStore& store, const std::string& prefix, ReadAge age, Failure& failure)
{
    std::optional<RecordPage> whole;
    std::string after;
    while (true) {
        std::optional<RecordPage> page = store.range(prefix, after, age, failure);
        if (!page)
            return std::nullopt;
        const bool hasMore = page->hasMore && !page->records.empty();
        if (hasMore)
            after = page->records.back().key;
        if (!whole) {
            whole = std::move(page);
        } else if (page->storeRevision.era != whole->storeRevision.era) {
            failure = { .kind = ErrorKind::storeUnavailable, .reason = "the store came back from an older copy between two pages" };
            return std::nullopt;
        } else {
            for (Record& record : page->records)
                whole->records.push_back(std::move(record));
        }
        if (!hasMore)
            break;
    }
    whole->hasMore = false;
    return whole;
}

}
