// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/MemoryWatch.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <system_error>
#include <utility>

namespace TestSupport {
namespace {

constexpr std::chrono::milliseconds kSampleInterval{10};
constexpr int kHex = 16;
/// A listening socket, in the state column of /proc/net/tcp.
constexpr const char* kListening = "0A";

/// The part of \p text after its last colon, as a hexadecimal number.
std::size_t afterColon(const std::string& text) {
  return std::stoul(text.substr(text.rfind(':') + 1), nullptr, kHex);
}

std::size_t residentBytes(pid_t process) {
  std::ifstream in("/proc/" + std::to_string(process) + "/statm");
  std::size_t all = 0;
  std::size_t resident = 0;
  in >> all >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t openDescriptors(pid_t process) {
  std::error_code error;
  const std::filesystem::directory_iterator open("/proc/" + std::to_string(process) + "/fd", error);
  if (error) return 0;
  return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

}  // namespace

MemoryWatch::MemoryWatch(pid_t process, std::vector<int> ports)
    : process_(process), ports_(std::move(ports)) {
  thread_ = std::thread([this] {
    while (!stopping_) {
      sample();
      std::this_thread::sleep_for(kSampleInterval);
    }
  });
}

MemoryWatch::~MemoryWatch() {
  stopping_ = true;
  thread_.join();
}

void MemoryWatch::sample() {
  peak_ = std::max(peak_.load(), residentBytes(process_) + unreadBytes());
  peakDescriptors_ = std::max(peakDescriptors_.load(), openDescriptors(process_));
}

std::size_t MemoryWatch::unreadBytes() const {
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  std::size_t sum = 0;
  while (std::getline(table, line)) {
    std::istringstream columns(line);
    std::string slot, local, remote, state, queues;
    columns >> slot >> local >> remote >> state >> queues;
    if (state == kListening || queues.empty()) continue;
    const auto port = static_cast<int>(afterColon(local));
    if (std::find(ports_.begin(), ports_.end(), port) != ports_.end()) sum += afterColon(queues);
  }
  return sum;
}

}  // namespace TestSupport
