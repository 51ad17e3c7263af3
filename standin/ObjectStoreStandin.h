// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_STANDIN_OBJECTSTORESTANDIN_H
#define HALLCHUTE_STANDIN_OBJECTSTORESTANDIN_H

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "standin/StandinServer.h"

namespace Standin {

/// \brief The object store of the gateway's platform: lists, watches and conditional writes. Also
/// accepts the calls of the fleet's duties.
class ObjectStoreStandin {
 public:
  void handle(const Request& request, Poco::Net::HTTPServerResponse& response);

  /// \brief Creates or replaces an object, regardless of its revision.
  void put(const std::string& kind, const std::string& name, const Poco::JSON::Object::Ptr& spec);
  void remove(const std::string& kind, const std::string& name);

 private:
  struct StoredObject {
    std::uint64_t revision = 0;
    Poco::JSON::Object::Ptr spec;
    /// Null until one is written.
    Poco::JSON::Object::Ptr status;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    Poco::JSON::Object::Ptr spec;
    Poco::JSON::Object::Ptr status;
    bool deleted = false;
  };

  void set(const std::string& kind, const std::string& name, const Poco::JSON::Object::Ptr& spec,
           const Poco::JSON::Object::Ptr& status);
  void read(const Request& request, Poco::Net::HTTPServerResponse& response,
            const std::string& kind, const std::string& name);
  void list(Poco::Net::HTTPServerResponse& response, const std::string& kind);
  void watch(const Request& request, Poco::Net::HTTPServerResponse& response,
             const std::string& kind);
  void write(const Request& request, Poco::Net::HTTPServerResponse& response,
             const std::string& kind, std::string name, bool ofStatus);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 0;
  std::map<std::string, std::map<std::string, StoredObject>> objects_;
  std::deque<Event> events_;
};

}  // namespace Standin

#endif  // HALLCHUTE_STANDIN_OBJECTSTORESTANDIN_H
