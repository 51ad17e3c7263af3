// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <Poco/Exception.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>
#include <string>
#include <vector>

#include "standin/EngineStandin.h"
#include "standin/LinkStandin.h"
#include "standin/PlainStandin.h"
#include "standin/PlatformStandin.h"
#include "standin/StandinServer.h"

ABSL_FLAG(std::string, listen, "", "ip:port to listen at");
ABSL_FLAG(double, gap_ms, 10, "engine: time per token");
ABSL_FLAG(double, gap_per_stream_ms, 0.2, "engine: time each stream adds to every token");
ABSL_FLAG(double, prefill_ms, 50, "engine: time per thousand prompt tokens");
ABSL_FLAG(int, slots, 32, "engine: streams at a time");
ABSL_FLAG(int, cache_tokens, 50'000, "engine: tokens its prefix cache holds");

namespace {

template <typename T>
void serve(T& standin) {
  Standin::serveHttp(absl::GetFlag(FLAGS_listen),
                     [&](const Standin::Request& request, Poco::Net::HTTPServerResponse& response) {
                       standin.handle(request, response);
                     });
}

Standin::EngineModel engineModel() {
  Standin::EngineModel model;
  model.gapMs = absl::GetFlag(FLAGS_gap_ms);
  model.gapPerStreamMs = absl::GetFlag(FLAGS_gap_per_stream_ms);
  model.prefillMsPerThousand = absl::GetFlag(FLAGS_prefill_ms);
  model.slots = static_cast<std::size_t>(absl::GetFlag(FLAGS_slots));
  model.cacheTokens = static_cast<std::size_t>(absl::GetFlag(FLAGS_cache_tokens));
  return model;
}

int run(const std::string& kind) {
  if (kind == "platform") {
    Standin::PlatformStandin platform;
    serve(platform);
  } else if (kind == "engine") {
    Standin::EngineStandin engine(engineModel());
    serve(engine);
  } else if (kind == "plain") {
    Standin::PlainStandin plain;
    serve(plain);
  } else if (kind == "link") {
    Standin::LinkStandin link;
    serve(link);
  } else {
    std::cerr << "usage: hallchute-standin platform|engine|plain|link --listen=ip:port\n";
    return 2;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<char*> words = absl::ParseCommandLine(argc, argv);
  try {
    return run(words.size() == 2 ? words[1] : "");
  } catch (const Poco::Exception& e) {
    std::cerr << e.displayText() << "\n";
    return 1;
  }
}
