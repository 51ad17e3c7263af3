// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Http/SendQueue.h"

#include <utility>

namespace Hallchute {
namespace {

/// Capacity that an empty queue keeps, in bytes: most messages fit, and need no allocation.
constexpr std::size_t kKeptCapacity = std::size_t{4} << 10U;

}  // namespace

std::string_view SendQueue::Piece::unsent() const {
  const std::string& bytes = shared != nullptr ? *shared : own;
  return std::string_view(bytes).substr(sent);
}

void SendQueue::append(std::string_view bytes) {
  if (bytes.empty()) return;
  if (pieces_.empty() || pieces_.back().shared != nullptr) pieces_.emplace_back();
  Piece& last = pieces_.back();
  if (last.sent > last.own.size() / 2) last.own.erase(0, std::exchange(last.sent, 0));
  last.own.append(bytes);
  size_ += bytes.size();
}

void SendQueue::append(SharedBytes bytes) {
  if (bytes == nullptr || bytes->empty()) return;
  if (size_ == 0) pieces_.clear();
  size_ += bytes->size();
  pieces_.push_back({{}, std::move(bytes), 0});
}

std::string_view SendQueue::front() const {
  return pieces_.empty() ? std::string_view() : pieces_.front().unsent();
}

void SendQueue::consume(std::size_t count) {
  size_ -= count;
  Piece& first = pieces_.front();
  first.sent += count;
  if (!first.unsent().empty()) return;
  const bool kept = size_ == 0 && first.shared == nullptr && first.own.capacity() <= kKeptCapacity;
  if (!kept) {
    pieces_.erase(pieces_.begin());
    return;
  }
  first.own.clear();
  first.sent = 0;
}

void SendQueue::clear() {
  pieces_.clear();
  size_ = 0;
}

}  // namespace Hallchute
