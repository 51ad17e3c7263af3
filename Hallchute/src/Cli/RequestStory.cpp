// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Cli/RequestStory.h"

#include <Poco/DateTimeParser.h>
#include <Poco/Exception.h>
#include <Poco/Timestamp.h>

#include <algorithm>
#include <array>
#include <ostream>
#include <utility>

#include "Hallchute/src/Core/Finding.h"
#include "Hallchute/src/Settings/JsonTree.h"

namespace Hallchute {
namespace {

/// State changes of a daemon up to this long before a line about the request are shown with it.
constexpr Poco::Timestamp::TimeDiff kBeforeUs = 1'000'000;

/// Events that change a daemon's view of the fleet, the store or its settings.
constexpr std::array<std::string_view, 10> kBeliefs{
    "store.lost",     "store.regained", "store.mode", "settings.applied", "upstream.gone",
    "upstreams.held", "duty.taken",     "duty.left",  "daemon.start",     "daemon.stop",
};

Poco::Timestamp timeOf(const std::string& text) {
  int zone = 0;
  return Poco::DateTimeParser::parse("%Y-%m-%dT%H:%M:%s", text, zone).timestamp();
}

std::string restOf(const JsonObject& json) {
  std::string rest;
  for (const auto& [name, value] : *json) {
    const bool shown = name == "time" || name == "daemon" || name == "event" || name == "level" ||
                       name == "failureDomain" || name == "request";
    if (shown) continue;
    rest += " " + name + "=" + value.toString();
  }
  return rest;
}

}  // namespace

void RequestStory::addLine(std::string_view line) {
  const std::size_t start = line.find('{');
  if (start == std::string_view::npos) {
    ++unreadable_;
    return;
  }
  Findings findings;
  const JsonObject json = parseJsonObject(line.substr(start), findings);
  if (!json || !json->has("time") || !json->has("event")) {
    ++unreadable_;
    return;
  }
  Line read;
  read.time = json->optValue<std::string>("time", "");
  read.daemon = json->optValue<std::string>("daemon", "");
  read.event = json->optValue<std::string>("event", "");
  read.ofRequest = json->optValue<std::string>("request", "") == requestId_;
  const bool belief = std::find(kBeliefs.begin(), kBeliefs.end(), read.event) != kBeliefs.end();
  if (!read.ofRequest && !belief) return;
  read.rest = restOf(json);
  lines_.push_back(std::move(read));
}

bool RequestStory::belongs(const Line& line, const std::vector<const Line*>& own) const {
  return std::any_of(own.begin(), own.end(), [&](const Line* of) {
    if (of->daemon != line.daemon || line.time > of->time) return false;
    return timeOf(of->time) - timeOf(line.time) <= kBeforeUs;
  });
}

bool RequestStory::write(std::ostream& out) const {
  std::vector<const Line*> own;
  for (const Line& line : lines_) {
    if (line.ofRequest) own.push_back(&line);
  }
  std::vector<const Line*> shown = own;
  for (const Line& line : lines_) {
    if (!line.ofRequest && belongs(line, own)) shown.push_back(&line);
  }
  std::stable_sort(shown.begin(), shown.end(),
                   [](const Line* a, const Line* b) { return a->time < b->time; });
  for (const Line* line : shown) {
    out << (line->ofRequest ? "  " : "~ ") << line->time << " " << line->daemon << " "
        << line->event << line->rest << "\n";
  }
  return !own.empty();
}

}  // namespace Hallchute
