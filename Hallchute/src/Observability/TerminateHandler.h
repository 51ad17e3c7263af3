// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_OBSERVABILITY_TERMINATEHANDLER_H
#define HALLCHUTE_OBSERVABILITY_TERMINATEHANDLER_H

namespace Hallchute {

/// \brief Makes a process that ends by std::terminate() write why. \ingroup Observability
///
/// Before it aborts, it writes one line `daemon.terminated` to standard output, with the type and
/// the text of the exception that nobody caught, and the thread. The line doesn't pass through the
/// logger, whose thread may never get to it, and needs no memory from the heap.
void installTerminateHandler();

}  // namespace Hallchute

#endif  // HALLCHUTE_OBSERVABILITY_TERMINATEHANDLER_H
