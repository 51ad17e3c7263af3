// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Net/ProcessMemory.h"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>

namespace Hallchute {
namespace {

/// Without a fixed threshold, glibc raises its own to the size of any large block that is freed,
/// and keeps later blocks of that size in the heap.
constexpr int kLargeBlockBytes = 128 << 10;

}  // namespace

std::size_t physicalMemory() {
  const long pages = ::sysconf(_SC_PHYS_PAGES);
  return static_cast<std::size_t>(std::max(pages, 1L)) *
         static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

void separateLargeBlocks() {
  ::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

void returnFreeMemory() {
  ::malloc_trim(0);
}

}  // namespace Hallchute
