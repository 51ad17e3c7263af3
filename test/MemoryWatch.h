// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_MEMORYWATCH_H
#define HALLCHUTE_TEST_MEMORYWATCH_H

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <thread>
#include <vector>

namespace TestSupport {

/// \brief Watches what a process takes of its machine's memory: its resident pages, and the bytes
/// that have arrived at its listening ports' connections and that it has not read.
class MemoryWatch {
 public:
  MemoryWatch(pid_t process, std::vector<int> ports);
  ~MemoryWatch();
  MemoryWatch(const MemoryWatch&) = delete;
  MemoryWatch& operator=(const MemoryWatch&) = delete;

  /// \brief The most at any time so far, in bytes.
  std::size_t peakBytes() const { return peak_; }
  /// \brief The most open descriptors at any time so far.
  std::size_t peakDescriptors() const { return peakDescriptors_; }

 private:
  void sample();
  std::size_t unreadBytes() const;

  pid_t process_;
  std::vector<int> ports_;
  std::atomic<std::size_t> peak_{0};
  std::atomic<std::size_t> peakDescriptors_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace TestSupport

#endif  // HALLCHUTE_TEST_MEMORYWATCH_H
