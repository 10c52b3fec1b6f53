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
