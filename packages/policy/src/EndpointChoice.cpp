#include "whinyard/policy/EndpointChoice.h"

namespace whinyard::policy {

std::string_view toText(ChoiceReason reason)
{
    switch (reason) {
    case ChoiceReason::cachedPrefix:
        return "cachedPrefix";
    case ChoiceReason::affinity:
        return "affinity";
    case ChoiceReason::leastLoaded:
        return "leastLoaded";
    case ChoiceReason::otherZone:
        return "otherZone";
    case ChoiceReason::onlyCandidate:
        return "onlyCandidate";
    case ChoiceReason::probe:
        return "probe";
    case ChoiceReason::granted:
        return "granted";
    case ChoiceReason::allEjected:
        return "allEjected";
    case ChoiceReason::mostRoom:
        return "mostRoom";
    case ChoiceReason::askedToWait:
        return "askedToWait";
    case ChoiceReason::noEndpoint:
        return "noEndpoint";
    case ChoiceReason::noneBeforeDeadline:
        return "noneBeforeDeadline";
    case ChoiceReason::noRoom:
        return "noRoom";
    case ChoiceReason::largerThanMemory:
        return "largerThanMemory";
    }
    return "noEndpoint";
}

}
