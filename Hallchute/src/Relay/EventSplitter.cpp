// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Relay/EventSplitter.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace Hallchute {
namespace {

constexpr std::string_view kIdField = "id:";

/// Length of the first event with its blank line; 0 if it is incomplete.
std::size_t eventLength(std::string_view text) {
  const std::size_t lf = text.find("\n\n");
  const std::size_t crlf = text.find("\r\n\r\n");
  const std::size_t afterLf = lf == std::string_view::npos ? text.size() + 1 : lf + 2;
  const std::size_t afterCrlf = crlf == std::string_view::npos ? text.size() + 1 : crlf + 4;
  const std::size_t length = std::min(afterLf, afterCrlf);
  return length > text.size() ? 0 : length;
}

std::string idOf(std::string_view event) {
  std::string id;
  for (const absl::string_view line :
       absl::StrSplit(absl::string_view(event.data(), event.size()), '\n')) {
    if (line.substr(0, kIdField.size()) != absl::string_view(kIdField.data(), kIdField.size())) {
      continue;
    }
    id = std::string(absl::StripAsciiWhitespace(line.substr(kIdField.size())));
  }
  return id;
}

}  // namespace

std::optional<StreamEvent> EventSplitter::next() {
  const std::size_t length = eventLength(pending_);
  if (length == 0) return std::nullopt;
  extracted_ = true;
  StreamEvent event;
  event.bytes = pending_.substr(0, length);
  pending_.erase(0, length);
  event.id = idOf(event.bytes);
  return event;
}

}  // namespace Hallchute
