// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_STANDIN_PLATFORMSTANDIN_H
#define HALLCHUTE_STANDIN_PLATFORMSTANDIN_H

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "standin/StandinServer.h"

namespace Standin {

/// \brief The platform: objects with versions and watches, the host list, and its faults.
class PlatformStandin {
 public:
  void handle(const Request& request, Poco::Net::HTTPServerResponse& response);

 private:
  struct Entry {
    std::uint64_t version = 0;
    std::string value;
  };
  using Objects = std::map<std::string, Entry>;

  /// The faults currently injected.
  struct Faults {
    bool outage = false;
    bool hang = false;
    int slowMs = 0;
    int loseReplies = 0;
  };

  void control(const Request& request, Poco::Net::HTTPServerResponse& response);
  void setFaults(const Poco::JSON::Object::Ptr& json);
  void setHosts(const Poco::JSON::Object::Ptr& json);
  void notice(const Poco::JSON::Object::Ptr& json);
  /// \returns whether to continue with the request.
  bool suffer(const Request& request, Poco::Net::HTTPServerResponse& response);
  void objects(const Request& request, Poco::Net::HTTPServerResponse& response,
               const std::string& key);
  void put(const Request& request, Poco::Net::HTTPServerResponse& response, const std::string& key);
  void list(const Request& request, Poco::Net::HTTPServerResponse& response);
  void watch(const Request& request, Poco::Net::HTTPServerResponse& response);
  void hosts(Poco::Net::HTTPServerResponse& response);
  const Objects& shown() const { return showOld_ ? old_ : objects_; }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t version_ = 0;
  Objects objects_;
  /// What reads return while the platform serves older data.
  Objects old_;
  bool showOld_ = false;
  std::uint64_t hostsVersion_ = 1;
  std::map<std::string, Poco::JSON::Object::Ptr> hosts_;
  Faults faults_;
  std::map<std::string, std::uint64_t> calls_;
};

}  // namespace Standin

#endif  // HALLCHUTE_STANDIN_PLATFORMSTANDIN_H
