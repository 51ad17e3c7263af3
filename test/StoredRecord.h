// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_STOREDRECORD_H
#define HALLCHUTE_TEST_STOREDRECORD_H

#include "Hallchute/src/Duty/DutyRecord.h"

namespace Hallchute {

/// \brief What is read of \p record after it was written into the stand-in of the store.
DutyRecord storeAndRead(const DutyRecord& record);

}  // namespace Hallchute

#endif  // HALLCHUTE_TEST_STOREDRECORD_H
