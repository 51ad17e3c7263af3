// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_STANDIN_OBJECTSTORESTANDIN_H
#define HALLCHUTE_STANDIN_OBJECTSTORESTANDIN_H

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>

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
  /// \brief From now on reads that allow it are answered from a state this old.
  void setStaleness(std::chrono::milliseconds staleness);

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
    std::chrono::steady_clock::time_point at{};
  };
  using Objects = std::map<std::string, StoredObject>;

  /// The objects of a kind, and the revision of the store, as \p request may see them.
  std::pair<Objects, std::uint64_t> state(const Request& request, const std::string& kind);
  void set(const std::string& kind, const std::string& name, const Poco::JSON::Object::Ptr& spec,
           const Poco::JSON::Object::Ptr& status);
  void read(const Request& request, Poco::Net::HTTPServerResponse& response,
            const std::string& kind, const std::string& name);
  void list(const Request& request, Poco::Net::HTTPServerResponse& response,
            const std::string& kind);
  void watch(const Request& request, Poco::Net::HTTPServerResponse& response,
             const std::string& kind);
  void write(const Request& request, Poco::Net::HTTPServerResponse& response,
             const std::string& kind, std::string name, bool ofStatus);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 0;
  std::chrono::milliseconds staleness_{0};
  std::map<std::string, Objects> objects_;
  std::deque<Event> events_;
};

}  // namespace Standin

#endif  // HALLCHUTE_STANDIN_OBJECTSTORESTANDIN_H
