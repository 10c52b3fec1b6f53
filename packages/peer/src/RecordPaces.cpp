#include "whinyard/peer/RecordPaces.h"

#include "whinyard/backing/WatchableStore.h"
#include "whinyard/peer/HeardRevisions.h"

namespace whinyard::peer {

std::chrono::milliseconds RecordPaces::worstWait() const
{
    return watchWait + backing::watchSlack + answerWait + HeardRevisionsSettings().firstPause;
}

RecordPaces recordPacesFor(std::chrono::milliseconds inForce)
{
    constexpr int parts = 4; // Half of the time for both steps, less what is the same everywhere.
    return { inForce / parts, inForce / parts };
}

}
