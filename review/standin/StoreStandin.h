// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef REVIEW_STANDIN_STORESTANDIN_H
#define REVIEW_STANDIN_STORESTANDIN_H

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Connection.h"

namespace Review {

/// \brief The platform's store: lists, watches and conditional writes of objects by kind and name.
/// Takes the calls of the duties too. Its threads run until the process ends.
class StoreStandin {
 public:
  /// \param listen `ip:port`; port 0 takes a free one.
  explicit StoreStandin(const std::string& listen);

  std::string address() const { return address_; }
  /// \brief Writes an object as the operator or a replica does. \returns when the store had it.
  Instant put(const std::string& kind, const std::string& name, const std::string& spec);
  /// \brief Removes an object, as when a replica's entry lapses.
  void remove(const std::string& kind, const std::string& name);
  /// \brief Connections that are open now neither take nor send anything more; they stay open. New
  /// ones work. \returns when that was so.
  Instant silenceOpenConnections();

 private:
  struct Stored {
    std::uint64_t revision = 0;
    std::string spec;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    std::string object;
    bool deleted = false;
  };
  using Answer = std::pair<int, std::string>;

  void accept(int listener);
  void serve(int socket);
  bool isSilent(int socket);
  Answer handle(const Message& request);
  Answer read(const std::string& kind, const std::string& name);
  Answer list(const std::string& kind);
  Answer watch(const std::string& kind, const std::string& target);
  Answer write(const Message& request, const std::string& kind, const std::string& name);
  void set(const std::string& kind, const std::string& name, const std::string& spec);
  static std::string objectText(const std::string& name, const Stored& stored);

  std::string address_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 10;
  std::map<std::string, std::map<std::string, Stored>> objects_;
  std::vector<Event> events_;
  std::set<int> connections_;
  std::set<int> silent_;
};

}  // namespace Review

#endif  // REVIEW_STANDIN_STORESTANDIN_H
