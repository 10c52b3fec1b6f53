// The names of the configuration's enumerators in its JSON form.
#pragma once

#include "whinyard/config/Document.h"
#include "whinyard/settings/JsonReader.h"

namespace whinyard::config {

inline constexpr settings::Choice<VersionState> versionStates[] {
    { "active", VersionState::active },
    { "withdrawn", VersionState::withdrawn },
};

inline constexpr settings::Choice<RolloutState> rolloutStates[] {
    { "running", RolloutState::running },
    { "paused", RolloutState::paused },
    { "stopped", RolloutState::stopped },
    { "completed", RolloutState::completed },
};

}
