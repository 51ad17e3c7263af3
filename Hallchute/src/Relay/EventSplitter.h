// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_RELAY_EVENTSPLITTER_H
#define HALLCHUTE_RELAY_EVENTSPLITTER_H

#include <optional>
#include <string>
#include <string_view>

namespace Hallchute {

/// \brief One whole event of a `text/event-stream` body, as its bytes came. \ingroup Relay
struct StreamEvent {
  std::string bytes;
  /// The event's id; empty if it has none.
  std::string id;
};

/// \brief Cuts a `text/event-stream` body into whole events, byte for byte. \ingroup Relay
///
/// An upstream may break off within an event: what is passed on are whole ones only, so that
/// another run can go on after the last.
class EventSplitter {
 public:
  void add(std::string_view bytes) { pending_.append(bytes); }
  /// \brief The next whole event, up to and with its empty line.
  std::optional<StreamEvent> next();
  /// \brief Bytes after the last whole event.
  const std::string& incompleteEvent() const { return pending_; }

 private:
  std::string pending_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_RELAY_EVENTSPLITTER_H
