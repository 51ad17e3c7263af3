// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CLI_REQUESTSTORY_H
#define HALLCHUTE_CLI_REQUESTSTORY_H

#include <cstddef>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace Hallchute {

/// \brief The history of one request across the daemons, assembled from their logs. \ingroup Cli
///
/// Accepts the lines of any number of daemons in any order. Besides the lines that name the request
/// it shows the state changes of the same daemons in the second before: contact with the store,
/// settings, upstreams that left, the duties.
class RequestStory {
 public:
  explicit RequestStory(std::string requestId) : requestId_(std::move(requestId)) {}

  /// \brief Adds one line; text before its JSON object (a log collector's prefix) is skipped.
  /// Lines that are not from a daemon are counted and omitted.
  void addLine(std::string_view line);
  /// \brief Writes the history, oldest line first.
  /// \returns whether any line names the request.
  bool write(std::ostream& out) const;
  std::size_t unreadable() const { return unreadable_; }

 private:
  struct Line {
    std::string time;
    std::string daemon;
    std::string event;
    /// The remaining fields as `name=value`.
    std::string rest;
    bool ofRequest = false;
  };

  bool belongs(const Line& line, const std::vector<const Line*>& own) const;

  std::string requestId_;
  std::vector<Line> lines_;
  std::size_t unreadable_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_CLI_REQUESTSTORY_H
