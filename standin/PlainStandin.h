// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_STANDIN_PLAINSTANDIN_H
#define HALLCHUTE_STANDIN_PLAINSTANDIN_H

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "standin/StandinServer.h"

namespace Standin {

/// \brief A plain service that counts how often it ran each key.
class PlainStandin {
 public:
  void handle(const Request& request, Poco::Net::HTTPServerResponse& response);

 private:
  void control(const Request& request, Poco::Net::HTTPServerResponse& response);

  std::mutex mutex_;
  std::map<std::string, std::uint64_t> runs_;
  std::uint64_t total_ = 0;
  int delayMs_ = 0;
  /// The next answers are lost after the work ran.
  int dropAnswers_ = 0;
  bool leaving_ = false;
};

}  // namespace Standin

#endif  // HALLCHUTE_STANDIN_PLAINSTANDIN_H
