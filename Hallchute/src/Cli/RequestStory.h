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

/// \brief One request's way through the daemons, put together from their logs. \ingroup Cli
///
/// Takes the lines of any number of daemons in any order. Beside the lines that name the request it
/// shows what the same daemons came to believe in the second before: contact with the store,
/// settings, upstreams that left, the duties.
class RequestStory {
 public:
  explicit RequestStory(std::string requestId) : requestId_(std::move(requestId)) {}

  /// \brief Takes one line; text before its JSON object (a collector's mark) is passed over.
  /// Lines that are none of a daemon's are counted and left out.
  void addLine(std::string_view line);
  /// \brief Writes the story, oldest line first.
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
