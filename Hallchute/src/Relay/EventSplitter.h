// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_RELAY_EVENTSPLITTER_H
#define HALLCHUTE_RELAY_EVENTSPLITTER_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Hallchute {

/// \brief A complete event of a `text/event-stream` body, as received. \ingroup Relay
struct StreamEvent {
  std::string bytes;
  /// Value of the id field; empty if there is none.
  std::string id;
};

/// \brief Splits a `text/event-stream` body into events without changing its bytes. \ingroup Relay
///
/// An upstream may fail in the middle of an event. Only complete events are forwarded, so that
/// another run can resume after the last one. A block without a `data` field, such as a comment,
/// is no event: it is part of the next one, so that a stream of keep-alive comments shows no
/// progress. Each byte is searched once or twice, however long the event is.
class EventSplitter {
 public:
  void add(std::string_view bytes) { pending_.append(bytes); }
  /// \brief Extracts the next complete event, including the blank line that ends it.
  std::optional<StreamEvent> next();
  /// \brief The bytes after the last complete event, which the user of this class bounds.
  const std::string& incompleteEvent() const { return pending_; }
  /// \brief Whether the bytes so far may be a whole stream: they end with an event, or with blocks
  /// without data after one. To be called after next() has returned nothing.
  bool endsWithEvent() const { return extracted_ && pending_.size() == blockStart_; }

 private:
  bool extracted_ = false;
  std::string pending_;
  /// Where the first block begins that may be an event: those before it have no data.
  std::size_t blockStart_ = 0;
  /// Before this there is no end of that block.
  std::size_t searched_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_RELAY_EVENTSPLITTER_H
