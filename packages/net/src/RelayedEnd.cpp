#include "whinyard/net/RelayedEnd.h"

namespace whinyard::net {

std::string_view text(RelayedEnd end)
{
    switch (end) {
    case RelayedEnd::serverClosed:
        return "serverClosed";
    case RelayedEnd::serverLost:
        return "serverLost";
    case RelayedEnd::clientLeft:
        return "clientLeft";
    case RelayedEnd::expired:
        break;
    }
    return "expired";
}

}
