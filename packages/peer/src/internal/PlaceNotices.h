// The encoding of the notices about permits for scarce services; Notices.cpp calls it.
#pragma once

#include "internal/Fields.h"
#include "internal/NoticeKind.h"
#include "whinyard/peer/Notices.h"

namespace whinyard::peer::internal {

void write(FieldWriter& writer, const PlaceRequestNotice& notice);
void write(FieldWriter& writer, const PlaceAnswerNotice& notice);
void write(FieldWriter& writer, const PlaceReturnNotice& notice);
void write(FieldWriter& writer, const PlacesHeldNotice& notice);

// The kind has been read. What they return counts only if the reader has read all without a fault.
PlaceRequestNotice readPlaceRequest(FieldReader& reader);
PlaceAnswerNotice readPlaceAnswer(FieldReader& reader);
PlaceReturnNotice readPlaceReturn(FieldReader& reader);
PlacesHeldNotice readPlacesHeld(FieldReader& reader);

}
