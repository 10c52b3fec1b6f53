// Watches an attempt that waits for its engine: gives it up when the caller is gone, or when it has waited so long
// without a first byte that another endpoint is to answer.
//
// Router::tick() looks at all watches; the attempt's own fiber reads the verdict when its wait ends.
#pragma once

#include "internal/RequestContext.h"

#include <functional>

namespace whinyard::router {

// Why an attempt was given up.
enum class GivenUp : std::uint8_t {
    no,
    callerGone,
    redispatched,
};

class AttemptWatch {
public:
    // `wish` is that of the attempt with its endpoint excluded; null for attempts that stay where they are.
    // `close` ends the attempt's wait. Both must outlive the watch.
    AttemptWatch(RequestContext& context, const endpoint::EndpointWish* wish, std::chrono::microseconds unqueuedWait, std::function<void()> close);
    ~AttemptWatch();
    AttemptWatch(const AttemptWatch&) = delete;
    AttemptWatch& operator=(const AttemptWatch&) = delete;

    // Notes the first piece: from now on the attempt stays where it is.
    void noteFirstByte() { m_firstByteSeen = true; }

    // Looks once. Called on the same duty, while the attempt's fiber waits.
    void look(SteadyTime now);

    GivenUp givenUp() const { return m_givenUp; }

private:
    void giveUp(GivenUp why);
    bool isToGoElsewhere(SteadyTime now);

    RequestContext& m_context;
    const endpoint::EndpointWish* m_wish;
    const std::chrono::microseconds m_unqueuedWait;
    const std::function<void()> m_close;
    const SteadyTime m_began;
    bool m_firstByteSeen = false;
    GivenUp m_givenUp = GivenUp::no;
};

}
