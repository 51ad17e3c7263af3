// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Upstream/AnswerMemory.h"

#include <algorithm>

#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Upstream/UpstreamChannel.h"

namespace Hallchute {

void AnswerMemory::setHeld(UpstreamChannel& channel, std::size_t bytes) {
  const auto found = held_.find(&channel);
  if (found != held_.end()) {
    total_ -= found->second;
    held_.erase(found);
  }
  if (bytes <= kFreeBytes) return;
  held_.emplace(&channel, bytes);
  total_ += bytes;
  if (total_ <= bounds_.heldBytes || sheds_) return;
  sheds_ = true;
  // Not at once: the exchange that fails may be that of another request.
  loop_.post([weak = weak_from_this()] {
    if (const auto memory = weak.lock()) memory->shed();
  });
}

void AnswerMemory::shed() {
  sheds_ = false;
  while (total_ > bounds_.heldBytes) {
    const auto largest =
        std::max_element(held_.begin(), held_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    UpstreamChannel* const channel = largest->first;
    setHeld(*channel, 0);
    channel->failForMemory();
  }
}

}  // namespace Hallchute
