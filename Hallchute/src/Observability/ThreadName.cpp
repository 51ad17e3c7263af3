// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Observability/ThreadName.h"

#include <pthread.h>

#include <string>

namespace Hallchute {
namespace {

/// The system refuses a longer name.
constexpr std::size_t kMaxNameLength = 15;

}  // namespace

void nameThread(std::string_view name) {
  pthread_setname_np(pthread_self(), std::string(name.substr(0, kMaxNameLength)).c_str());
}

}  // namespace Hallchute
