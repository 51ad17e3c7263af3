// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_PROCESSMEMORY_H
#define HALLCHUTE_NET_PROCESSMEMORY_H

#include <cstddef>

namespace Hallchute {

/// \brief The machine's memory as the operating system reports it, in bytes.
/// \ingroup Net
std::size_t physicalMemory();

/// \brief Makes the allocator map large blocks by themselves, so that freeing one returns its
/// memory to the system at once. To be called before other threads start.
/// \ingroup Net
void separateLargeBlocks();

/// \brief Returns free memory of the allocator to the system; takes milliseconds. Any thread.
/// \ingroup Net
void returnFreeMemory();

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_PROCESSMEMORY_H
