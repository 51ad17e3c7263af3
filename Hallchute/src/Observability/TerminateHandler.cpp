// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Observability/TerminateHandler.h"

#include <Poco/Exception.h>
#include <cxxabi.h>
#include <poll.h>
#include <pthread.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <string_view>
#include <typeinfo>

#include "Hallchute/src/Observability/LogFields.h"

namespace Hallchute {
namespace {

/// Below PIPE_BUF, so that a pipe takes the line whole, between two lines of the logger.
constexpr std::size_t kMaxLineBytes = 3'072;
constexpr std::size_t kMaxValueBytes = 1'024;
/// A reader that doesn't read must not keep the process from ending.
constexpr int kMaxWriteWaitMs = 200;
/// Names of threads have up to 15 characters.
constexpr std::size_t kThreadNameBytes = 16;

/// A line of JSON in a buffer of its own.
class FixedLine {
 public:
  void append(std::string_view text) {
    for (const char c : text) put(c);
  }
  void appendMember(std::string_view key, std::string_view value) {
    append(",\"");
    append(key);
    append("\":\"");
    for (const char c : value.substr(0, kMaxValueBytes)) putEscaped(c);
    append("\"");
  }
  std::string_view text() const { return {bytes_.data(), size_}; }

 private:
  void put(char c) {
    if (size_ < bytes_.size()) bytes_[size_++] = c;
  }
  void putEscaped(char c) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      put('\\');
      put(c);
    } else {
      // Other control characters and bytes above ASCII: the text may be of any encoding.
      put(byte < 0x20 || byte >= 0x7f ? '?' : c);
    }
  }

  std::array<char, kMaxLineBytes> bytes_{};
  std::size_t size_ = 0;
};

void appendTime(FixedLine& line) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  tm parts{};
  gmtime_r(&now.tv_sec, &parts);
  std::array<char, 32> seconds{};
  std::strftime(seconds.data(), seconds.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), "%s.%03ldZ", seconds.data(), now.tv_nsec / 1'000'000);
  line.append(R"({"time":")");
  line.append(text.data());
  line.append("\"");
}

void appendException(FixedLine& line) {
  const std::type_info* const type = abi::__cxa_current_exception_type();
  if (type == nullptr) {
    line.appendMember("exception", "none");
    return;
  }
  int status = 0;
  char* const readable = abi::__cxa_demangle(type->name(), nullptr, nullptr, &status);
  line.appendMember("exception", readable == nullptr ? type->name() : readable);
  std::free(readable);
  try {
    throw;
  } catch (const Poco::Exception& e) {
    line.appendMember("text", e.message());
  } catch (const std::exception& e) {
    line.appendMember("text", e.what());
  } catch (...) {
    // Another type has no text.
  }
}

[[noreturn]] void writeAndAbort() {
  FixedLine line;
  appendTime(line);
  line.appendMember("level", "error");
  line.appendMember("event", "daemon.terminated");
  line.append(internal::logLineFields());
  std::array<char, kThreadNameBytes> thread{};
  pthread_getname_np(pthread_self(), thread.data(), thread.size());
  line.appendMember("thread", thread.data());
  appendException(line);
  line.append("}\n");
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  if (poll(&output, 1, kMaxWriteWaitMs) > 0) {
    [[maybe_unused]] const auto written =
        write(STDOUT_FILENO, line.text().data(), line.text().size());
  }
  std::abort();
}

}  // namespace

void installTerminateHandler() {
  std::set_terminate(writeAndAbort);
}

}  // namespace Hallchute
