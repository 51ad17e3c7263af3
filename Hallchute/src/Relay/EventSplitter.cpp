// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Relay/EventSplitter.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace Hallchute {
namespace {

constexpr std::string_view kIdField = "id:";

constexpr std::string_view kDataField = "data";
/// The longest end of an event.
constexpr std::string_view kBlankLine = "\r\n\r\n";

/// Where the blank line after \p from ends; 0 if there is none.
std::size_t blockEnd(std::string_view text, std::size_t from) {
  const std::size_t lf = text.find("\n\n", from);
  const std::size_t crlf = text.find(kBlankLine, from);
  const std::size_t afterLf = lf == std::string_view::npos ? text.size() + 1 : lf + 2;
  const std::size_t afterCrlf = crlf == std::string_view::npos ? text.size() + 1 : crlf + 4;
  const std::size_t length = std::min(afterLf, afterCrlf);
  return length > text.size() ? 0 : length;
}

bool hasData(std::string_view block) {
  for (const absl::string_view line :
       absl::StrSplit(absl::string_view(block.data(), block.size()), '\n')) {
    const absl::string_view name = line.substr(0, line.find(':'));
    const absl::string_view text = absl::StripTrailingAsciiWhitespace(name);
    if (std::string_view(text.data(), text.size()) == kDataField) return true;
  }
  return false;
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
  std::size_t length = blockEnd(pending_, searched_);
  while (length != 0 &&
         !hasData(std::string_view(pending_).substr(blockStart_, length - blockStart_))) {
    blockStart_ = length;
    searched_ = length;
    length = blockEnd(pending_, searched_);
  }
  if (length == 0) {
    const std::size_t overlap = kBlankLine.size() - 1;
    searched_ = std::max(blockStart_, pending_.size() - std::min(pending_.size(), overlap));
    return std::nullopt;
  }
  extracted_ = true;
  blockStart_ = 0;
  searched_ = 0;
  StreamEvent event;
  event.bytes = pending_.substr(0, length);
  pending_.erase(0, length);
  event.id = idOf(event.bytes);
  return event;
}

}  // namespace Hallchute
