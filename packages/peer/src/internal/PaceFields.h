// The fields of a PaceNotice.
#pragma once

#include "internal/Fields.h"
#include "whinyard/peer/Notices.h"

namespace whinyard::peer::internal {

void writePaces(FieldWriter& writer, const PaceNotice& notice);

// Leaves the reader failed where a field is out of its bounds.
PaceNotice readPaces(FieldReader& reader);

}
